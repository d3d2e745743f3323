// Package pollenagent is the state machine of an agent: the flows it holds, its
// share of the flow directory, and the safe keeping of its peers' records.
package pollenagent

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenview"
)

// A Config holds the settings of a Flows.
type Config struct {
	Self    pollenview.Member
	Limiter *pollenadmission.Limiter
	// Placement chooses the holder of a new flow.
	Placement pollenflow.Placement
	// Window is how long two processes may hold different views of a change;
	// until it has passed, earlier homes are asked before a flow is placed.
	Window time.Duration
	// Lease is how long a directory entry lives; holders renew at a third.
	Lease time.Duration
	// OpenTimeout is how long a flow may go without a first answer from the
	// backend server.
	OpenTimeout time.Duration
	// SearchRate bounds the searches begun in a second.
	SearchRate int
	// Generations is the number of earlier homes that are remembered.
	MaxPastOwners int
	Seed          uint64
}

// Defaults of a Config.
const (
	defaultWindow      = 5 * time.Second
	defaultLease       = 30 * time.Second
	defaultOpenTimeout = 3 * time.Second
	defaultSearchRate  = 500
	defaultGenerations = 16
)

// NewConfig returns a new Config with the defaults.
func NewConfig(self pollenview.Member, limiter *pollenadmission.Limiter, placement pollenflow.Placement, seed uint64) Config {
	return Config{
		Self: self, Limiter: limiter, Placement: placement, Window: defaultWindow, Lease: defaultLease,
		OpenTimeout: defaultOpenTimeout, SearchRate: defaultSearchRate, MaxPastOwners: defaultGenerations, Seed: seed,
	}
}

// A Record is a flow that the agent holds.
type Record struct {
	Key pollenflow.Key
	// Port is the local port towards the backend server; zero when the agent
	// ends the flow itself.
	Port uint16
	// Balancer is where the last packet came through.
	Balancer netip.AddrPort
	Seen     time.Time
	Opened   time.Time
	// Established is set once the backend server has answered.
	Established bool
	// registered is when the home was last told.
	registered time.Time
}

// Flows decides about packets. It is not safe for concurrent use.
type Flows struct {
	config  Config
	random  *rand.Rand
	self    pollenflow.Digest
	service pollenflow.Digest

	view    *pollenview.View
	heard   pollenview.Revision
	heardAt time.Time
	started time.Time
	serving bool
	// draining follows the view; stopping is set by Drain.
	draining bool
	stopping bool
	delivery pollendocument.Delivery
	idle     time.Duration

	homes *pollenflow.Homes
	// generations holds the homes before the present ones, latest first, each
	// with the time at which it was replaced.
	generations []generation
	// agents holds the service's agents in failure domains that are in, sorted
	// by name.
	agents    []pollenview.Member
	balancers []pollenview.Member

	records   map[pollenflow.Key]*Record
	directory *pollenflow.LeaseMap[pollenflow.Key, pollenview.ReplicaRef]
	absent    *pollenflow.LeaseMap[pollenflow.Key, struct{}]
	loads     *pollenflow.Loads
	scratch   []pollenflow.Load
	indexes   []int
	searches  budget
	keeping   keeper
	swept     time.Time
	// running is the smoothed number of units of work.
	running float64
}

type generation struct {
	homes    *pollenflow.Homes
	replaced time.Time
}

// absentLease is how long a flow that no agent held is not searched again.
const absentLease = time.Second

// loadLease is how long a peer's load is believed.
const loadLease = 5 * time.Second

// NewFlows returns a new Flows that serves nothing until it is given a view.
func NewFlows(now time.Time, config Config) *Flows {
	return &Flows{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		self:      pollenflow.DigestOf(config.Self.Name),
		service:   pollenflow.DigestOf(config.Self.Service),
		view:      pollenview.NewView(),
		started:   now,
		records:   map[pollenflow.Key]*Record{},
		directory: pollenflow.NewLeaseMap[pollenflow.Key, pollenview.ReplicaRef](config.Lease),
		absent:    pollenflow.NewLeaseMap[pollenflow.Key, struct{}](absentLease),
		loads:     pollenflow.NewLoads(loadLease),
		searches:  budget{rate: float64(config.SearchRate), burst: float64(config.SearchRate)},
	}
}

// RouteAnswer notes that the backend server sent a packet to the flow's caller,
// and returns the balancer that the answer goes through; ok is false when the
// flow is not held or no balancer is left.
func (f *Flows) RouteAnswer(now time.Time, key pollenflow.Key) (balancer netip.AddrPort, ok bool) {
	r, held := f.records[key]
	if !held || !f.serving {
		return netip.AddrPort{}, false
	}
	r.Seen = now
	if !r.Established {
		r.Established = true
		f.config.Limiter.End(now, pollenadmission.SignalSuccess)
	}
	return f.answerRoute(r)
}

// answerRoute returns the flow's last balancer, or another one when that is
// gone or its failure domain is out.
func (f *Flows) answerRoute(r *Record) (netip.AddrPort, bool) {
	for i := range f.balancers {
		if f.balancers[i].Address == r.Balancer {
			return r.Balancer, true
		}
	}
	if len(f.balancers) == 0 {
		return r.Balancer, r.Balancer.IsValid()
	}
	return f.AnyBalancer()
}

// AnyBalancer returns a balancer for a packet that belongs to no held flow; ok
// is false when there is none.
func (f *Flows) AnyBalancer() (balancer netip.AddrPort, ok bool) {
	if len(f.balancers) == 0 {
		return netip.AddrPort{}, false
	}
	return f.balancers[f.random.IntN(len(f.balancers))].Address, true
}

// BackendRefused notes that the backend server refused the flow's packet. A flow that
// was being opened is given up, so that the caller's next packet finds another
// backend server.
func (f *Flows) BackendRefused(now time.Time, key pollenflow.Key) (closed *Record, ok bool) {
	r, held := f.records[key]
	if !held || r.Established {
		return nil, false
	}
	f.config.Limiter.Observe(now, pollenadmission.SignalRefused)
	f.close(now, r, pollenadmission.SignalRefused)
	return r, true
}

// close drops a record.
func (f *Flows) close(now time.Time, r *Record, signal pollenadmission.Signal) {
	delete(f.records, r.Key)
	f.config.Limiter.CloseFlow()
	if !r.Established {
		f.config.Limiter.End(now, signal)
	}
	f.keeping.changed(r.Key)
}

// Load returns the agent's own load.
func (f *Flows) Load() pollenflow.Load {
	u := f.config.Limiter.Usage()
	return pollenflow.Load{
		Name: f.config.Self.Name, Incarnation: f.config.Self.Incarnation,
		Running: u.Running, Limit: u.Limit, Flows: u.Flows, FlowLimit: u.Connections,
	}
}

// Loads returns what is known of the peers' loads.
func (f *Flows) Loads() *pollenflow.Loads { return f.loads }

// Record returns the flow with the key.
func (f *Flows) Record(key pollenflow.Key) (*Record, bool) {
	r, ok := f.records[key]
	return r, ok
}

// Len returns the numbers of held flows and of directory entries.
func (f *Flows) Len() (held, directory int) { return len(f.records), f.directory.Len() }
