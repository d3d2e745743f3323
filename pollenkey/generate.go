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

// Names of the files that Generate writes.
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
	fileMode   = 0o600
	folderMode = 0o700
	serialBits = 120
)

// Generate writes a new authority, a process certificate, a caller certificate for
// the names and addresses, and a datagram key into the folder, which it creates if
// necessary. The certificates are valid from one hour before now until now plus
// lifetime. Generate fails when the folder already contains an authority key.
func Generate(now time.Time, folder string, lifetime time.Duration, names []string, addresses []netip.Addr) error {
	if _, err := os.Stat(filepath.Join(folder, AuthorityKeyFile)); err == nil {
		return errors.Errorf("folder %s already contains an authority", folder)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create key folder")
	}
	g := &generator{folder: folder, start: now.Add(-time.Hour), end: now.Add(lifetime)}
	if err := g.authority(); err != nil {
		return err
	}
	if err := g.certificate(CertificateFile, KeyFile, []string{ServerName}, nil); err != nil {
		return err
	}
	if err := g.certificate(CallerCertificateFile, CallerKeyFile, names, addresses); err != nil {
		return err
	}
	secret := make([]byte, datagramKeyBytes)
	if _, err := rand.Read(secret); err != nil {
		return errors.Wrap(err, "generate datagram key")
	}
	return g.write(DatagramFile, []byte(hex.EncodeToString(secret)+"\n"))
}

// generator creates the files of one folder. Its root signs every certificate.
type generator struct {
	folder     string
	start, end time.Time
	root       *x509.Certificate
	rootKey    *ecdsa.PrivateKey
}

func (g *generator) template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    g.start,
		NotAfter:     g.end,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, nil
}

// authority creates the self-signed authority.
func (g *generator) authority() error {
	root, err := g.template("pollenstep authority")
	if err != nil {
		return err
	}
	root.IsCA = true
	root.BasicConstraintsValid = true
	root.KeyUsage |= x509.KeyUsageCertSign
	g.rootKey, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate authority key")
	}
	g.root = root
	return g.sign(AuthorityFile, AuthorityKeyFile, root, g.rootKey)
}

// certificate creates a certificate that the authority signs.
func (g *generator) certificate(file, keyFile string, names []string, addresses []netip.Addr) error {
	certificate, err := g.template("pollenstep")
	if err != nil {
		return err
	}
	certificate.DNSNames = names
	for _, a := range addresses {
		certificate.IPAddresses = append(certificate.IPAddresses, net.IP(a.AsSlice()))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrapf(err, "generate key for %s", file)
	}
	return g.sign(file, keyFile, certificate, key)
}

func (g *generator) sign(file, keyFile string, certificate *x509.Certificate, key *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, certificate, g.root, &key.PublicKey, g.rootKey)
	if err != nil {
		return errors.Wrapf(err, "sign certificate for %s", file)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrapf(err, "encode key for %s", keyFile)
	}
	if err := g.write(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})); err != nil {
		return err
	}
	return g.write(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
}

func (g *generator) write(name string, data []byte) error {
	return errors.Wrap(os.WriteFile(filepath.Join(g.folder, name), data, fileMode), "write key file")
}
