package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the machines, the same on all of them. pickPorts sets them.
var (
	callerPort, outboundPort, readyPort, controlPort, serverPort uint16
	nodePorts                                                    [2]uint16
)

// Values of the settings, as on the site golob-lb.
const (
	contactMs     = 4000
	ackMs         = 5000
	catchupS      = 4
	configApplyMs = 3000
	evacuateMs    = 5000
	drainMs       = 3000
	heartbeatMs   = 1200
	idleTimeoutMs = 15000
	operatorWait  = time.Second
	graceS        = 6
)

// A machine runs one process of the system.
type machine struct {
	name, role, class, zone, service string
	ip                               netip.Addr
	dataDir                          string
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

// A system is a small deployment on loopback addresses.
type system struct {
	folder  string
	network byte
	zones   []string
	edges   []*machine
	sides   []*machine
	seeds   []netip.AddrPort
	record  *recorder
}

// A recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newSystem chooses free ports and an unused loopback network.
func newSystem(folder string, record *recorder) (*system, error) {
	s := &system{folder: folder, zones: []string{"zone-a", "zone-b", "zone-c"}, record: record}
	s.network = byte(64 + os.Getpid()%128)
	for range 64 {
		if base, ok := freePorts(s.address(1, 1)); ok {
			callerPort, outboundPort, readyPort, controlPort, serverPort = base, base+1, base+2, base+3, base+4
			nodePorts = [2]uint16{base + 10, base + 25}
			return s, nil
		}
		s.network++
	}
	return nil, fmt.Errorf("no free ports")
}

func freePorts(ip netip.Addr) (uint16, bool) {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return 0, false
	}
	defer l.Close()
	port := uint16(l.Addr().(*net.TCPAddr).Port)
	if port > 65000 {
		return 0, false
	}
	return port + 1, true
}

func (s *system) address(zone, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network, byte(zone), byte(number)})
}

// addEdge adds a machine that serves callers and the operator; it has a disk if disk is set.
func (s *system) addEdge(zone, number int, disk bool) *machine {
	m := &machine{name: fmt.Sprintf("edge-%s-%d", s.zones[zone], number), role: "balancer", class: "edge", zone: s.zones[zone], ip: s.address(zone+1, number)}
	if disk {
		m.dataDir = filepath.Join(s.folder, "data-"+m.name)
	}
	s.edges = append(s.edges, m)
	return m
}

func (s *system) addSide(zone, number int, service string) *machine {
	m := &machine{name: fmt.Sprintf("side-%s-%d", s.zones[zone], number), role: "gate", class: "side", zone: s.zones[zone], service: service, ip: s.address(zone+1, number)}
	s.sides = append(s.sides, m)
	return m
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// start writes the settings of the machine and starts its process. bootstrap is true only
// when the whole system starts for the first time.
func (s *system) start(m *machine, bootstrap bool) error {
	if m.dataDir != "" {
		if err := os.MkdirAll(m.dataDir, 0o700); err != nil {
			return err
		}
	}
	zones := map[string]string{}
	for _, z := range s.zones {
		zones[z] = "region-1"
	}
	settings := map[string]any{
		"nodeName": m.name, "role": m.role, "machineClass": m.class, "ip": m.ip, "zone": m.zone, "region": "region-1", "zones": zones,
		"portRange": nodePorts, "seeds": s.seeds, "bootstrap": bootstrap, "inFailureBudget": m.dataDir != "", "discovery": "local", "entry": "announce",
		"limits":      map[string]any{"cpuShare": 0.72, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 64},
		"heartbeatMs": heartbeatMs, "contracts": []string{"base", "drain", "config", "cost", "recover", "flows", "places"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": contactMs, "ackMs": ackMs, "catchupS": catchupS, "drainMs": drainMs, "graceS": graceS,
			"lossSlackMs": 200, "configApplyMs": configApplyMs, "backMs": 250, "maxStretchMs": 12000, "coldOverage": 1.5, "coldSlack": 5,
			"evacuateMs": evacuateMs, "recoveryS": 12, "reorderMs": 2000, "flowTtlS": 60,
		},
		"config_mode": "highest", "hashScheme": "steady", "forwardMode": "agent",
	}
	listen := map[string]any{"datagramAddr": m.at(callerPort), "readyAddr": m.at(readyPort), "control": m.at(controlPort)}
	if m.class == "side" {
		listen["outbound"] = m.at(outboundPort)
		settings["service"], settings["app"] = m.service, m.at(serverPort)
		settings["serves"] = []string{"side"}
	} else {
		settings["serves"] = []string{"edge", "control"}
	}
	settings["listen"] = listen
	settings["dataDir"] = nil
	if m.dataDir != "" {
		settings["dataDir"] = m.dataDir
	}
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(s.folder, m.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("target/pollenstep", "serve", m.role)
	m.cmd.Env = append(os.Environ(), "POLLENSTEP_SETTINGS="+path)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	s.record.printf("platform  %s starts", m.name)
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(m.cmd, m.exited)
	return nil
}

func (m *machine) signal(sig syscall.Signal) { _ = m.cmd.Process.Signal(sig) }

// kill ends the process at once, as the loss of the machine does.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// running reports whether the process has not ended by itself.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// stop ends every process that the system has started.
func (s *system) stop() {
	for _, m := range append(append([]*machine(nil), s.edges...), s.sides...) {
		if m.cmd == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.kill()
	}
}

// An operator sends orders to the edges in turn.
type operator struct {
	system *system
	client *http.Client
	// gone holds the machines that the operator's list does not contain any more.
	gone map[*machine]bool
	next int
}

func newOperator(s *system) *operator {
	// One request a connection, a second for each answer, and redirects are followed.
	return &operator{system: s, gone: map[*machine]bool{}, client: &http.Client{Timeout: operatorWait, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends one request to one machine and returns the status, or 0 for no answer.
func (o *operator) call(m *machine, method, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+m.at(controlPort).String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(request)
	if err != nil {
		o.system.record.printf("operator  %s %s to %s: no answer", method, path, m.name)
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	o.system.record.printf("operator  %s %s to %s: %d", method, path, m.name, response.StatusCode)
	return response.StatusCode, data
}

// send sends an order to one machine after the other until one acknowledges it. first is
// the first machine, or nil.
func (o *operator) send(first *machine, method, path string, body []byte, limit time.Duration) (time.Time, bool) {
	pause := 100 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); {
		m := first
		first = nil
		for m == nil || o.gone[m] {
			o.next++
			m = o.system.edges[o.next%len(o.system.edges)]
		}
		status, _ := o.call(m, method, path, body)
		if status >= 200 && status < 300 {
			return time.Now(), true
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return time.Time{}, false
}

// document returns a desired state with one route to each service.
func document(version int, routes map[string]netip.AddrPort, extraTimeout int) []byte {
	var list, services []map[string]any
	for name, address := range routes {
		list = append(list, map[string]any{
			"name": "r-" + name, "host": address.Addr(), "pathPrefix": fmt.Sprintf("/%d/", address.Port()), "type": "safe",
			"timeoutMs": 1500 + extraTimeout, "latencySloMs": 150, "priority": 2, "service": name, "maxAttempts": 2,
		})
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxFlows": 2000, "protocol": "h1", "tls": false, "coldStartS": 2.0, "coldPerS": 0.0})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeoutMs},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// waitReady waits until the edges answer readiness probes with 200.
func (s *system) waitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, m := range s.edges {
			if r, err := client.Get("http://" + m.at(readyPort).String() + "/pollenstep/ready"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.edges) {
			return true
		}
	}
	return false
}

// serviceAddress returns the address of the route, which no process binds.
func (s *system) serviceAddress() netip.AddrPort {
	const block, port = 250, 443
	return netip.AddrPortFrom(s.address(block, 1), port)
}
