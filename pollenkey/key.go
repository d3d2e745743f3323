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

// ServerName is the name that every process certificate carries, since
// processes know each other by address only.
const ServerName = "pollenstep"

// datagramKeyBytes is the length of an AES-128 key.
const datagramKeyBytes = 16

// Files names the files that a Ring is loaded from.
type Files struct {
	// Authority holds the PEM certificates that sign process certificates.
	Authority string
	// Certificate and Key hold this process's PEM certificate and key.
	Certificate string
	Key         string
	// Datagram holds one key a line, in hexadecimal; the first one seals, all
	// of them open.
	DatagramKeys string
	// CallerCertificate and CallerKey are shown to callers by agents that end
	// HTTP/3; both are empty elsewhere.
	CallerCertificate string
	CallerKey         string
}

// A Ring is the set of keys in force. It is safe for concurrent use.
type Keyring struct {
	files   Files
	present atomic.Pointer[keys]
}

type keys struct {
	authority   *x509.CertPool
	certificate tls.Certificate
	caller      *tls.Certificate
	datagram    [][]byte
}

// Load returns a new Ring with the content of the files.
func Load(files Files) (*Keyring, error) {
	r := &Keyring{files: files}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the files again. On an error the keys in force stay.
func (r *Keyring) Reload() error {
	k := &keys{authority: x509.NewCertPool()}
	pem, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return errors.Wrap(err, "read authority")
	}
	if !k.authority.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority file %s holds no certificate", r.files.Authority)
	}
	k.certificate, err = tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return errors.Wrap(err, "load process certificate")
	}
	if r.files.CallerCertificate != "" {
		pair, err := tls.LoadX509KeyPair(r.files.CallerCertificate, r.files.CallerKey)
		if err != nil {
			return errors.Wrap(err, "load caller certificate")
		}
		k.caller = &pair
	}
	if k.datagram, err = readDatagramKeys(r.files.DatagramKeys); err != nil {
		return err
	}
	r.present.Store(k)
	return nil
}

func readDatagramKeys(path string) ([][]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read datagram keys")
	}
	var datagram [][]byte
	for i, line := range strings.Fields(string(text)) {
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != datagramKeyBytes {
			return nil, errors.Errorf("%s:%d: allowed: %d bytes in hexadecimal", path, i+1, datagramKeyBytes)
		}
		datagram = append(datagram, key)
	}
	if len(datagram) == 0 {
		return nil, errors.Errorf("datagram key file %s holds no key", path)
	}
	return datagram, nil
}

// Datagram returns the datagram keys; the first one seals.
func (r *Keyring) Datagram() [][]byte { return r.present.Load().datagram }

// Server returns the TLS settings of the side that takes calls. They follow
// later reloads.
func (r *Keyring) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k := r.present.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{k.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    k.authority,
			}, nil
		},
	}
}

// Client returns the TLS settings of the side that makes calls, as of now.
func (r *Keyring) ClientTLS() *tls.Config {
	k := r.present.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.authority,
		ServerName:   ServerName,
	}
}

// Caller returns the TLS settings towards callers, with the application
// protocol. They follow later reloads.
func (r *Keyring) Caller(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			k := r.present.Load()
			if k.caller == nil {
				return nil, errors.New("no caller certificate is set")
			}
			return k.caller, nil
		},
	}
}
