package pollendeployment

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkey"
	"pollenstep.example/pollenstep/pollenstandin"
)

// A System is a running Layout.
type System struct {
	Layout Layout
	Tally  *pollenstandin.Tally
	// Fabric is nil before StartAll.
	Fabric *pollenstandin.Fabric
	// Backends holds the stand-in backend servers, keyed by agent name.
	Backends map[string]*pollenstandin.Backend

	binary    string
	folder    string
	logFile   *os.File
	authority *x509.CertPool
	serverTLS *tls.Config

	mu sync.Mutex
	// processes holds the running processes, keyed by name.
	processes map[string]*process
}

type process struct {
	command *exec.Cmd
	// done is closed once the process has exited and err holds the result of
	// waiting for it.
	done chan struct{}
	err  error
}

// keyValidity is how long the generated certificates are valid.
const keyValidity = 24 * time.Hour

// New returns a new System that runs the binary. It writes keys and settings to
// the folder, which also receives data and logs. It starts no process.
func New(layout Layout, binary, folder string) (*System, error) {
	s := &System{
		Layout: layout, Tally: pollenstandin.NewTally(), Backends: map[string]*pollenstandin.Backend{},
		binary: binary, folder: folder, processes: map[string]*process{},
	}
	if err := pollenkey.Generate(time.Now(), s.path("keys"), keyValidity, nil, []netip.Addr{layout.ServiceAddress(0).Addr()}); err != nil {
		return nil, err
	}
	var err error
	if s.logFile, err = os.Create(s.path("processes.log")); err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(s.path("keys", pollenkey.AuthorityFile))
	if err != nil {
		return nil, err
	}
	s.authority = x509.NewCertPool()
	s.authority.AppendCertsFromPEM(pem)
	pair, err := tls.LoadX509KeyPair(s.path("keys", pollenkey.CallerCertificateFile), s.path("keys", pollenkey.CallerKeyFile))
	if err != nil {
		return nil, err
	}
	s.serverTLS = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	return s, s.writeSettings()
}

func (s *System) path(parts ...string) string {
	return filepath.Join(append([]string{s.folder}, parts...)...)
}

func (s *System) writeSettings() error {
	common := fmt.Sprintf("control: %s\nauthority: %s\ncertificate: %s\nkey: %s\ndatagram-keys: %s\n",
		s.Layout.controlAddresses(), s.path("keys", pollenkey.AuthorityFile), s.path("keys", pollenkey.CertificateFile),
		s.path("keys", pollenkey.KeyFile), s.path("keys", pollenkey.DatagramFile))
	write := func(name, text string) error {
		return os.WriteFile(s.path(name+".yaml"), []byte(common+text), 0o600)
	}
	if err := write("operator", ""); err != nil {
		return err
	}
	for i := 1; i <= s.Layout.Control; i++ {
		name := fmt.Sprintf("control-%d", i)
		text := s.processSettings(name, s.Layout.domain(i), blockControl, i) + fmt.Sprintf("data: %s\n", s.path(name))
		if err := write(name, text); err != nil {
			return err
		}
	}
	for i := 1; i <= s.Layout.Balancers; i++ {
		name := fmt.Sprintf("balancer-%d", i)
		text := s.processSettings(name, s.Layout.domain(i), blockBalancer, i) +
			fmt.Sprintf("bind: %s\n", s.Layout.address(blockBalancer, i))
		if err := write(name, text); err != nil {
			return err
		}
	}
	for _, a := range s.Layout.agents() {
		text := s.processSettings(a.name, a.domain, blockAgent, a.number) +
			fmt.Sprintf("announce: %s\n", netip.AddrPortFrom(s.Layout.address(blockAgent, a.number), portAnnounce))
		if a.service.Service.Delivery == pollendocument.DeliveryHTTP {
			text += fmt.Sprintf("caller-certificate: %s\ncaller-key: %s\n",
				s.path("keys", pollenkey.CallerCertificateFile), s.path("keys", pollenkey.CallerKeyFile))
		}
		if err := write(a.name, text); err != nil {
			return err
		}
	}
	return nil
}

// processSettings returns the settings that processes of all roles have.
func (s *System) processSettings(name string, domain pollendocument.DomainName, block, number int) string {
	ip := s.Layout.address(block, number)
	return fmt.Sprintf("name: %s\ndomain: %s\naddress: %s\nadmin: %s\n",
		name, domain, netip.AddrPortFrom(ip, portProcess), netip.AddrPortFrom(ip, portAdmin))
}

// Start runs a process of the role with the settings file of the given name.
// It does not wait until the process is ready.
func (s *System) Start(role, name string, flags ...string) error {
	arguments := append([]string{role, "--settings", s.path(name + ".yaml")}, flags...)
	command := exec.Command(s.binary, arguments...)
	command.Stdout, command.Stderr = s.logFile, s.logFile
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	p := &process{command: command, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = p
	return nil
}

// Signal sends a signal to the process.
func (s *System) Signal(name string, signal syscall.Signal) error {
	s.mu.Lock()
	p := s.processes[name]
	s.mu.Unlock()
	if p == nil {
		return errors.Errorf("process %s is not running", name)
	}
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", name)
}

// Stop sends the signal to a process and waits until it has exited. It fails if
// the process does not exit within the timeout, or if the signal is SIGTERM and
// the exit code is not 0.
func (s *System) Stop(name string, signal syscall.Signal, timeout time.Duration) error {
	if err := s.Signal(name, signal); err != nil {
		return err
	}
	s.mu.Lock()
	p := s.processes[name]
	s.mu.Unlock()
	select {
	case <-p.done:
	case <-time.After(timeout):
		return errors.Errorf("process %s did not exit within %s", name, timeout)
	}
	s.mu.Lock()
	delete(s.processes, name)
	s.mu.Unlock()
	if signal == syscall.SIGTERM {
		return errors.Wrapf(p.err, "stop %s by SIGTERM", name)
	}
	return nil
}

// RemoveData removes the data folder of a control host to simulate a lost disk.
func (s *System) RemoveData(name string) error { return os.RemoveAll(s.path(name)) }

// Folder returns the folder that holds the run's files.
func (s *System) Folder() string { return s.folder }

// Close kills all running processes, including those frozen by SIGSTOP, and closes
// the stand-ins.
func (s *System) Close() {
	if s.Fabric != nil {
		s.Fabric.Close()
	}
	s.mu.Lock()
	running := make([]*process, 0, len(s.processes))
	for _, p := range s.processes {
		running = append(running, p)
	}
	s.processes = map[string]*process{}
	s.mu.Unlock()
	for _, p := range running {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range running {
		<-p.done
	}
	for _, b := range s.Backends {
		b.Close()
	}
	_ = s.logFile.Close()
}

// RunCommand runs a command of the binary with the operator's settings. It returns
// the combined output and the exit code, which is -1 if a signal ended the
// command. The error is set only if the command could not be run.
func (s *System) RunCommand(ctx context.Context, arguments ...string) (output string, code int, err error) {
	var buffer bytes.Buffer
	command := exec.CommandContext(ctx, s.binary, arguments...)
	command.Env = append(os.Environ(), "POLLENSTEP_SETTINGS="+s.path("operator.yaml"))
	command.Stdout, command.Stderr = &buffer, &buffer
	err = command.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return buffer.String(), exit.ExitCode(), nil
	}
	return buffer.String(), 0, err
}

// Submit writes the document to a file and submits it. It returns the output and
// the exit code of the submit command.
func (s *System) Submit(ctx context.Context, d *pollendocument.Document, flags ...string) (string, int, error) {
	text, err := pollendocument.Write(d)
	if err != nil {
		return "", 0, err
	}
	file := s.path("document.yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return "", 0, err
	}
	return s.RunCommand(ctx, append(append([]string{"submit", "--by", "quickstart"}, flags...), file)...)
}

// CurrentDocument returns the document that is in force.
func (s *System) CurrentDocument(ctx context.Context) (*pollendocument.Document, error) {
	text, code, err := s.RunCommand(ctx, "show")
	if err != nil || code != 0 {
		return nil, errors.Errorf("show: exit %d: %v: %s", code, err, text)
	}
	return pollendocument.Read("show", []byte(text))
}

// CallerTLS returns a TLS configuration for callers that trusts the generated
// authority.
func (s *System) CallerTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: s.authority}
}

// WaitReady polls the admin address of a process until it reports readiness.
func (s *System) WaitReady(ctx context.Context, admin netip.AddrPort) error {
	const poll = 50 * time.Millisecond
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + admin.String() + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(poll)
	}
	return errors.Wrapf(ctx.Err(), "wait until %s reports readiness", admin)
}
