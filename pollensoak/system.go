// Package pollensoak runs the programs of the platform as processes on loopback
// addresses, injects faults from outside of them, and meanwhile checks the guarantees to
// callers, backend servers and operators.
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

// Layout of the system under test.
const (
	domainCount = 3
	callerCount = 4
	// firstGateNumber is the number of the first gate's host in its failure domain; the
	// lower numbers are those of balancers.
	firstGateNumber = 50
	// callerBlock is the third byte of the addresses of callers. Services and proxies
	// have the next two.
	callerBlock = 200
)

// linkMbps is the stated link rate of every second balancer without a disk. A burst exceeds
// it: the admission of uploads closes and the queue drops packets.
const linkMbps = 4

// services holds the services of the stand-in platform.
var services = []string{"feeds", "orders"}

// A route is a route to one of the services. Only requests to routes of kind safe may be
// repeated. The routes to orders differ in priority, so that their gates have admission
// levels.
type route struct {
	name, kind, service string
	priority            int
	objective, timeout  time.Duration
	// size is the size of a request in bytes, which begins with its ID.
	size uint32
	// flows is the number of flows that a caller uses at a time.
	flows int
}

var routes = []route{
	{"feeds", "safe", "feeds", 1, 200 * time.Millisecond, requestTimeout, idSize, 4},
	{"orders", "unsafe", "orders", 1, 200 * time.Millisecond, requestTimeout, idSize, 4},
	{"uploads", "upload", "orders", 2, 800 * time.Millisecond, 2 * requestTimeout, uploadSize, 1},
}

// uploadRoute is the index of the upload route in routes.
const uploadRoute = 2

// A host runs one process of the system, a balancer or a gate.
type host struct {
	platform.Host
	binary, folder, role string
	disk                 bool
	process              *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// lastDisturbed is the time at which an unplanned fault last affected the host.
	lastDisturbed time.Time
	// server is the backend server beside a gate, and nil beside a balancer.
	server *server
}

func domainName(d int) string { return fmt.Sprintf("domain-%d", d+1) }

// address returns a loopback address. The blocks 1 to domainCount belong to the failure
// domains.
func address(network, block, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(network), byte(block), byte(number)})
}

// start writes the host's settings file and starts its process, which starts no further
// ones. The process appends to the host's log file. firstStart is passed on as the
// bootstrap setting.
func (h *host) start(firstStart bool) error {
	h.FirstStart = firstStart
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
		return errors.Wrapf(err, "start process of %s", h.Name)
	}
	exited, process := make(chan struct{}), h.process
	h.exited = exited
	go func() {
		// The exit status is ignored: a run is checked by what callers, backend
		// servers and the operator observe.
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the host's process only, by its ID.
func (h *host) signal(s syscall.Signal) {
	// The error is ignored, as it means that the process has just ended.
	_ = h.process.Process.Signal(s)
}

// waitOrKill waits until the process has ended, and kills it after the limit.
func (h *host) waitOrKill(limit time.Duration) {
	select {
	case <-h.exited:
	case <-time.After(limit):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
}
