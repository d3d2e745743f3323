// Package pollenkey loads the keys of a process: its certificate for calls,
// the authorities it trusts, and the keys that authenticate datagrams.
package pollenkey

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"os"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ServerName is the DNS name in every process certificate. It is the same for all,
// since processes identify each other by address only.
const ServerName = "pollenstep"

// datagramKeyBytes is the length of an AES-128 key in bytes.
const datagramKeyBytes = 16

// Files holds the paths of the files that a Keyring is loaded from.
type Files struct {
	// Authority contains the PEM certificates that sign process certificates.
	Authority string
	// Certificate and Key contain this process's PEM certificate and key.
	Certificate string
	Key         string
	// DatagramKeys contains one hexadecimal AES-128 key per line. The first key
	// seals datagrams; all keys open them.
	DatagramKeys string
	// CallerCertificate and CallerKey contain the PEM certificate and key that
	// agents with HTTP/3 present to callers; both are empty elsewhere.
	CallerCertificate string
	CallerKey         string
}

// A Keyring holds the keys in use. It is safe for concurrent use.
type Keyring struct {
	files   Files
	current atomic.Pointer[keys]
}

type keys struct {
	authority   *x509.CertPool
	certificate tls.Certificate
	caller      *tls.Certificate
	datagram    [][]byte
}

// Load returns a new Keyring with the content of the files. It fails like Reload.
func Load(files Files) (*Keyring, error) {
	r := &Keyring{files: files}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the files again. It fails when a file cannot be read, a certificate
// and its key do not match, or there is no authority or no datagram key. On an
// error the previous keys stay in use.
func (r *Keyring) Reload() error {
	k := &keys{authority: x509.NewCertPool()}
	pem, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return errors.Wrap(err, "read authority file")
	}
	if !k.authority.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority file %s contains no certificate", r.files.Authority)
	}
	k.certificate, err = tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return errors.Wrapf(err, "load process certificate %s", r.files.Certificate)
	}
	if r.files.CallerCertificate != "" {
		pair, err := tls.LoadX509KeyPair(r.files.CallerCertificate, r.files.CallerKey)
		if err != nil {
			return errors.Wrapf(err, "load caller certificate %s", r.files.CallerCertificate)
		}
		k.caller = &pair
	}
	if k.datagram, err = readDatagramKeys(r.files.DatagramKeys); err != nil {
		return err
	}
	r.current.Store(k)
	return nil
}

// readDatagramKeys reads a datagram key file. Errors name the line but not its
// content, which is secret.
func readDatagramKeys(path string) ([][]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read datagram key file")
	}
	var datagram [][]byte
	for i, line := range strings.Fields(string(text)) {
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != datagramKeyBytes {
			return nil, errors.Errorf("%s:%d: invalid datagram key: want %d bytes in hexadecimal", path, i+1, datagramKeyBytes)
		}
		datagram = append(datagram, key)
	}
	if len(datagram) == 0 {
		return nil, errors.Errorf("datagram key file %s contains no key", path)
	}
	return datagram, nil
}

// DatagramKeys returns the datagram keys. The first key seals datagrams; all keys
// open them.
func (r *Keyring) DatagramKeys() [][]byte { return r.current.Load().datagram }

// ServerTLS returns the TLS settings of the side that answers calls, which requires
// a client certificate. Later reloads apply to new connections.
func (r *Keyring) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k := r.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{k.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    k.authority,
			}, nil
		},
	}
}

// ClientTLS returns the TLS settings of the side that makes calls, with the keys in
// use at the time of the call. Later reloads do not change them.
func (r *Keyring) ClientTLS() *tls.Config {
	k := r.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.authority,
		ServerName:   ServerName,
	}
}

// CallerTLS returns the TLS settings towards callers, with the application protocol
// for ALPN. Later reloads apply to new connections. Handshakes fail without a
// caller certificate.
func (r *Keyring) CallerTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			k := r.current.Load()
			if k.caller == nil {
				return nil, errors.New("no caller certificate is configured")
			}
			return k.caller, nil
		},
	}
}
