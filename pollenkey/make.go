package pollenkey

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Names of the files that Make writes.
const (
	AuthorityFile         = "authority.pem"
	AuthorityKeyFile      = "authority.key"
	CertificateFile       = "process.pem"
	KeyFile               = "process.key"
	CallerCertificateFile = "caller.pem"
	CallerKeyFile         = "caller.key"
	DatagramFile          = "datagram.keys"
)

const (
	secretMode = 0o600
	folderMode = 0o700
	serialBits = 120
)

// Make writes a new authority, a process certificate, a caller certificate for
// the names and addresses, and a datagram key into the folder. It refuses to
// replace an authority.
func Generate(now time.Time, folder string, life time.Duration, names []string, addresses []netip.Addr) error {
	if _, err := os.Stat(filepath.Join(folder, AuthorityKeyFile)); err == nil {
		return errors.Errorf("folder %s holds an authority already", folder)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "make key folder")
	}
	m := &maker{folder: folder, start: now.Add(-time.Hour), end: now.Add(life)}
	if err := m.authority(); err != nil {
		return err
	}
	if err := m.certificate(CertificateFile, KeyFile, []string{ServerName}, nil); err != nil {
		return err
	}
	if err := m.certificate(CallerCertificateFile, CallerKeyFile, names, addresses); err != nil {
		return err
	}
	secret := make([]byte, datagramKeyBytes)
	if _, err := rand.Read(secret); err != nil {
		return errors.Wrap(err, "draw datagram key")
	}
	return m.write(DatagramFile, []byte(hex.EncodeToString(secret)+"\n"))
}

type maker struct {
	folder     string
	start, end time.Time
	root       *x509.Certificate
	rootKey    *ecdsa.PrivateKey
}

func (m *maker) template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "draw serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    m.start,
		NotAfter:     m.end,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, nil
}

func (m *maker) authority() error {
	root, err := m.template("pollenstep authority")
	if err != nil {
		return err
	}
	root.IsCA = true
	root.BasicConstraintsValid = true
	root.KeyUsage |= x509.KeyUsageCertSign
	m.rootKey, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make authority key")
	}
	m.root = root
	return m.sign(AuthorityFile, AuthorityKeyFile, root, m.rootKey)
}

func (m *maker) certificate(file, keyFile string, names []string, addresses []netip.Addr) error {
	certificate, err := m.template("pollenstep")
	if err != nil {
		return err
	}
	certificate.DNSNames = names
	for _, a := range addresses {
		certificate.IPAddresses = append(certificate.IPAddresses, net.IP(a.AsSlice()))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make key")
	}
	return m.sign(file, keyFile, certificate, key)
}

func (m *maker) sign(file, keyFile string, certificate *x509.Certificate, key *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, certificate, m.root, &key.PublicKey, m.rootKey)
	if err != nil {
		return errors.Wrap(err, "sign certificate")
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	if err := m.write(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})); err != nil {
		return err
	}
	return m.write(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
}

func (m *maker) write(name string, data []byte) error {
	return errors.Wrap(os.WriteFile(filepath.Join(m.folder, name), data, secretMode), "write key file")
}
