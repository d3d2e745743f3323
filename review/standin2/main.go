// Command standin2 plays one scenario of the second review: it starts the programs of the
// system on loopback addresses, stands in for the platform, the operator, the targets and
// the consumers, and reports whether a rule was broken. It exits with 1 if one was, with 0 if
// all held, and with 2 if the scenario could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

var (
	zoneNames    = []string{"celje-a", "celje-b", "velenje"}
	serviceNames = []string{"ringbook", "sheetpress"}
)

type route struct {
	name, kind, method, service string
	address                     netip.AddrPort
	limit                       time.Duration
	perFlow                     int // requests on each flow
}

// A scenario is the state that all stand-ins share.
type scenario struct {
	binary, folder string
	trouble        bool
	ownZoneFirst   bool
	record         *record
	network        byte
	seeds          []netip.AddrPort
	machines       []*machine
	targets        []*target
	routes         []route
	router         *router
	operator       *operator
	work           time.Duration
	stopped        atomic.Bool
	nextID         atomic.Int64

	mu       sync.Mutex
	broken   []string
	runs     map[string]int
	sent     int
	served   int
	outcomes map[outcome]int
	// resets holds the flows that were reset while open, checked against their targets.
	resets int
}

func (c *scenario) ended() bool { return c.stopped.Load() }

func (c *scenario) address(block, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, c.network, byte(block), byte(number)})
}

func (c *scenario) violation(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.record.printf("RULE BROKEN %s", text)
	c.mu.Lock()
	c.broken = append(c.broken, text)
	c.mu.Unlock()
}

func (c *scenario) ran(id string) {
	c.mu.Lock()
	c.runs[id]++
	c.mu.Unlock()
}

func (c *scenario) routeService(a netip.AddrPort) string {
	for _, r := range c.routes {
		if r.address == a {
			return r.service
		}
	}
	return ""
}

func (c *scenario) edges() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var edges []*machine
	for _, m := range c.machines {
		if m.role == "balancer" {
			edges = append(edges, m)
		}
	}
	return edges
}

func (c *scenario) remove(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = slices.DeleteFunc(slices.Clone(c.machines), func(o *machine) bool { return o == m })
}

func (c *scenario) add(m *machine) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(slices.Clone(c.machines), m)
	return m
}

// build lists the machines: in each zone an edge with a disk and one without, and the
// machines of the targets.
func (c *scenario) build(gates int) {
	for z, zone := range zoneNames {
		for n := 1; n <= 2; n++ {
			c.add(&machine{name: fmt.Sprintf("edge-%s-%d", zone, n), role: "balancer", zone: zone, ip: c.address(z+1, n), disk: n == 1})
		}
		c.seeds = append(c.seeds, netip.AddrPortFrom(c.address(z+1, 1), controlPort))
	}
	for n := range gates {
		z := n % len(zoneNames)
		service := serviceNames[0]
		if n == gates-1 {
			service = serviceNames[1]
		}
		c.add(&machine{name: fmt.Sprintf("side-%d", n+1), role: "gate", zone: zoneNames[z], ip: c.address(z+1, 50+n), service: service})
	}
	c.routes = []route{
		{"loft-feed", "safe", "GET", "ringbook", netip.AddrPortFrom(c.address(200, 1), 8443), 1500 * time.Millisecond, 20},
		{"ring-reg", "unsafe", "POST", "ringbook", netip.AddrPortFrom(c.address(200, 1), 8080), 2 * time.Second, 1},
		{"label-sheet", "download", "GET", "sheetpress", netip.AddrPortFrom(c.address(200, 2), 8443), 5 * time.Second, 1},
	}
}

// start starts every machine, and the targets.
func (c *scenario) start() error {
	for _, m := range c.machines {
		if err := m.start(c, true); err != nil {
			return err
		}
		if m.role == "balancer" {
			go c.router.probe(m)
			continue
		}
		t, err := startTarget(c, m)
		if err != nil {
			return err
		}
		c.targets = append(c.targets, t)
	}
	return nil
}

// traffic starts consumers in each zone that send requests until the given time.
func (c *scenario) traffic(until time.Time) (wait func(), err error) {
	var group sync.WaitGroup
	for z, zone := range zoneNames {
		u, err := startConsumer(c, zone, c.address(210, z+1))
		if err != nil {
			return nil, err
		}
		for _, r := range c.routes {
			for range 3 {
				group.Add(1)
				go func() {
					defer group.Done()
					for time.Now().Before(until) && !c.ended() {
						u.converse(r, until)
					}
				}()
			}
		}
	}
	return group.Wait, nil
}

// converse opens a flow and sends the requests of the route on it.
func (u *consumer) converse(r route, until time.Time) {
	c := u.c
	v, opened := u.open(r.address)
	if opened != answered {
		c.count(r, "-", opened)
		time.Sleep(200 * time.Millisecond)
		return
	}
	for n := 0; n < r.perFlow && time.Now().Before(until); n++ {
		id := fmt.Sprintf("%s-%d", r.name, c.nextID.Add(1))
		o := v.request(id, r.method, r.limit)
		c.count(r, id, o)
		reset := o == broken
		if o == answered && n+1 < r.perFlow {
			reset = v.wait(250 * time.Millisecond)
		}
		if reset {
			c.checkReset(v.k, id)
		}
		if reset || o != answered {
			v.forget()
			time.Sleep(100 * time.Millisecond)
			return
		}
	}
	v.close()
	time.Sleep(100 * time.Millisecond)
}

// checkReset checks a reset on an open flow against the target that holds the flow.
func (c *scenario) checkReset(k flowKey, id string) {
	c.mu.Lock()
	c.resets++
	c.mu.Unlock()
	for _, t := range c.targets {
		if t.holds(k) {
			c.violation("FLOW", "consumer %s got a reset on its open flow to %s (last request %s); target %s holds the flow and sent none", k.consumer, k.route, id, t.id)
			return
		}
	}
}

func (c *scenario) count(r route, id string, o outcome) {
	c.mu.Lock()
	c.sent++
	if o == answered {
		c.served++
	}
	c.outcomes[o]++
	c.mu.Unlock()
	c.record.printf("consumer sends %s request %s: %s", r.name, id, o)
	if o == foreign {
		c.violation("MIXED", "request %s got an answer to another request", id)
	}
}

func (c *scenario) stop() {
	c.stopped.Store(true)
	for _, t := range c.targets {
		t.stop()
	}
	for _, m := range c.machines {
		m.kill(c)
	}
}

// cannotRun is the exit status of a scenario that could not run.
const cannotRun = 2

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("scenario", "", "scenario to play")
	binary := flag.String("binary", "target/pollenstep", "path of the pollenstep program")
	path := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", *name)
		return cannotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.RemoveAll(folder)
		folder = keep
		_ = os.MkdirAll(folder, 0o700)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	c := &scenario{
		binary: *binary, folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: r, work: 20 * time.Millisecond,
		runs: map[string]int{}, outcomes: map[outcome]int{},
	}
	network, reservation, err := reserveNetwork()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = reservation.Close() }()
	c.network = network
	c.router = &router{c: c, misses: map[*machine]int{}}
	c.operator = newOperator(c)
	r.printf("scenario %s, trouble %t", *name, c.trouble)
	err = play(c)
	c.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	r.printf("requests sent %d, answered %d, by outcome %v; resets on open flows %d; rules broken %d", c.sent, c.served, c.outcomes, c.resets, len(c.broken))
	fmt.Printf("%s trouble=%t: sent %d, answered %d, rules broken %d\n", *name, c.trouble, c.sent, c.served, len(c.broken))
	for i, b := range c.broken {
		if i == 3 {
			fmt.Println("  ...")
			break
		}
		fmt.Println("  " + b)
	}
	if err != nil {
		r.printf("the scenario could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the scenario could not run:", err)
	}
	r.close()
	switch {
	case len(c.broken) > 0:
		return 1
	case err != nil:
		return cannotRun
	}
	return 0
}

// reserveNetwork returns a second byte of loopback addresses that no other scenario uses, and
// a listener that reserves it while it is open.
func reserveNetwork() (byte, net.Listener, error) {
	for n := 101; n < 200; n++ {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(n), 250, 1}), controlPort)
		if l, err := net.Listen("tcp4", a.String()); err == nil {
			return byte(n), l, nil
		}
	}
	return 0, nil, errors.New("no network of loopback addresses is free")
}
