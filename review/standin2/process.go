package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Ports of every machine. The metrics ports are those of the deploy file.
const (
	datagramPort = 8172
	controlPort  = 8166
	readyPort    = 8167
	outboundPort = 8173
	appPort      = 8080
	nodePort     = 7720
)

// Bounds of the sheet of golob-lb.
const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 3 * time.Second
	applyTime = 3 * time.Second
)

// A machine runs one process of the system.
type machine struct {
	name, role, zone, service string
	ip                        netip.Addr
	disk                      bool
	process                   *exec.Cmd
	exited                    chan struct{}
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// seedsOf returns the seeds of a machine: the same addresses everywhere, which begin with the
// one in the zone of the machine if the scenario asks for that.
func (c *scenario) seedsOf(m *machine) []netip.AddrPort {
	if !c.ownZoneFirst {
		return c.seeds
	}
	z := slices.Index(zoneNames, m.zone)
	return append(slices.Clone(c.seeds[z:]), c.seeds[:z]...)
}

func (m *machine) dataDir(c *scenario) string { return filepath.Join(c.folder, "data-"+m.name) }

// start writes the settings file and starts the process with the command of the deploy file.
func (m *machine) start(c *scenario, bootstrap bool) error {
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = "si-east"
	}
	class, serves := "edge", []string{"edge", "control"}
	if m.role == "gate" {
		class, serves = "side", []string{"side"}
	}
	listen := map[string]any{"datagramAddr": m.at(datagramPort), "readyAddr": m.at(readyPort), "control": m.at(controlPort)}
	settings := map[string]any{
		"nodeName": m.name, "role": m.role, "machineClass": class, "serves": serves, "ip": m.ip, "zone": m.zone, "region": "si-east", "zones": zones,
		"listen": listen, "portRange": []int{nodePort, nodePort + 15}, "seeds": c.seedsOf(m), "bootstrap": bootstrap, "inFailureBudget": m.disk,
		"limits":    map[string]any{"cpuShare": 0.72, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 64},
		"discovery": "local", "entry": "announce", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "flows", "places"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchupS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 3000, "backMs": 250, "maxStretchMs": 12000, "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
			"reorderMs": 2000, "flowTtlS": 60,
		},
		"config_mode": "highest", "hashScheme": "steady", "forwardMode": "agent",
	}
	if m.disk {
		settings["dataDir"] = m.dataDir(c)
	}
	if m.role == "gate" {
		listen["outbound"] = m.at(outboundPort)
		settings["service"], settings["app"] = m.service, m.at(appPort)
	}
	body, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(c.folder, m.name+".json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process = exec.Command(c.binary, "serve", m.role)
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder, "POLLENSTEP_SETTINGS=" + path}
	m.process.Stdout, m.process.Stderr = log, log
	if err := m.process.Start(); err != nil {
		return err
	}
	exited, process := make(chan struct{}), m.process
	m.exited = exited
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	c.record.printf("platform starts %s (%s) at %s, bootstrap %t, pid %d", m.name, m.role, m.ip, bootstrap, process.Process.Pid)
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (m *machine) kill(c *scenario) {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(syscall.SIGKILL)
	<-m.exited
	m.process = nil
	c.record.printf("platform kills %s", m.name)
}

// wipe removes the data folder, as after the loss of the disk.
func (m *machine) wipe(c *scenario) error {
	c.record.printf("platform removes the data folder of %s", m.name)
	return os.RemoveAll(m.dataDir(c))
}

// record writes what was sent, answered and run.
type record struct {
	file  *os.File
	start time.Time
	lines chan string
	done  chan struct{}
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r := &record{file: f, start: time.Now(), lines: make(chan string, 4096), done: make(chan struct{})}
	go func() {
		for l := range r.lines {
			fmt.Fprintln(f, l)
		}
		close(r.done)
	}()
	return r, nil
}

func (r *record) printf(format string, args ...any) {
	r.lines <- fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
}

func (r *record) close() {
	close(r.lines)
	<-r.done
	_ = r.file.Close()
}
