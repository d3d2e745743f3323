// Package pollensoak runs the programs of the platform as processes on loopback
// addresses, injects faults from outside them, and checks the promises to callers,
// backend servers and operators while it does.
package pollensoak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/platform"
)

// Shape of the system under test.
const (
	domainCount = 3
	callerCount = 4
	// firstServer is the number of the first host beside a backend server in its
	// domain, and callerBlock the block of the addresses of callers.
	firstGateNumber = 50
	callerBlock     = 200
)

// services of the stand-in platform; the last one's requests may not be repeated.
var services = []struct{ name, kind string }{{"feeds", "safe"}, {"orders", "unsafe"}}

// A host runs one process of the system.
type host struct {
	platform.Host
	binary, folder, role string
	disk                 bool
	process              *exec.Cmd
	exited               chan struct{}
	// disturbed is when a fault last hit the host.
	lastDisturbed time.Time
	// server is set beside a backend server.
	server *server
}

func domainName(d int) string { return fmt.Sprintf("domain-%d", d+1) }

func address(network, block, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(network), byte(block), byte(number)})
}

// start runs the process; it starts no other.
func (h *host) start(first bool) error {
	h.FirstStart = first
	settings := filepath.Join(h.folder, h.Name+".json")
	if err := os.WriteFile(settings, platform.StandInSettings(&h.Host), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(filepath.Join(h.folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	h.process = exec.Command(h.binary, "serve", h.role)
	h.process.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return errors.Wrapf(err, "start %s", h.Name)
	}
	done, process := make(chan struct{}), h.process
	h.exited = done
	go func() {
		// The way a process ends is judged by what callers see.
		_ = process.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process, by its own id.
func (h *host) signal(s syscall.Signal) {
	// A process that has just ended takes none.
	_ = h.process.Process.Signal(s)
}

// end waits until the process is gone, and kills it after the limit.
func (h *host) waitOrKill(limit time.Duration) {
	select {
	case <-h.exited:
	case <-time.After(limit):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
}
