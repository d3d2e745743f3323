// Package pollenagent implements the state machine of an agent: the flows it
// holds, its part of the flow directory, and the backups of flow records that
// agents store for each other.
package pollenagent

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollenbucket"
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
	// MaxViewSkew is the maximum time during which two processes have
	// different views after a change. Until it has passed, previous directory
	// owners are searched before a flow is placed.
	MaxViewSkew time.Duration
	// DirectoryLease is the lifetime of a directory entry. Holders renew their
	// entries after a third of it.
	DirectoryLease time.Duration
	// OpenTimeout is the maximum wait for the backend server's first answer to
	// a new flow.
	OpenTimeout time.Duration
	// SearchRate is the maximum number of searches started per second.
	SearchRate int
	// MaxPastOwners is the maximum number of previous owner assignments that
	// are stored for searches.
	MaxPastOwners int
	// Seed seeds the random choices.
	Seed uint64
}

// Defaults of Config.
const (
	defaultMaxViewSkew    = 5 * time.Second
	defaultDirectoryLease = 30 * time.Second
	defaultOpenTimeout    = 3 * time.Second
	defaultSearchRate     = 500
	defaultMaxPastOwners  = 16
)

// NewConfig returns a Config with the default durations and limits.
func NewConfig(self pollenview.Member, limiter *pollenadmission.Limiter, placement pollenflow.Placement, seed uint64) Config {
	return Config{
		Self: self, Limiter: limiter, Placement: placement, MaxViewSkew: defaultMaxViewSkew, DirectoryLease: defaultDirectoryLease,
		OpenTimeout: defaultOpenTimeout, SearchRate: defaultSearchRate, MaxPastOwners: defaultMaxPastOwners, Seed: seed,
	}
}

// A Record is a flow that the agent holds.
type Record struct {
	Key pollenflow.Key
	// Port is the local port of the socket to the backend server, or zero when
	// the agent terminates the flow itself.
	Port uint16
	// Balancer is the balancer that forwarded the latest packet.
	Balancer netip.AddrPort
	// LastSeen is when the latest packet passed in either direction.
	LastSeen time.Time
	OpenedAt time.Time
	// Established is set once the backend server has answered. It is set from
	// the start when the agent terminates the flow itself.
	Established bool
	// registeredAt is when the flow was last registered with its directory
	// owner.
	registeredAt time.Time
}

// Flows holds an agent's flows and decides how to handle their packets. It is
// not safe for concurrent use.
type Flows struct {
	config Config
	random *rand.Rand
	// self and service are the digests of the names of this agent and of its
	// service.
	self    pollenflow.Digest
	service pollenflow.Digest

	view *pollenview.View
	// latestRevision is the highest revision that another process has reported,
	// and latestRevisionAt the time at which one above that of view was first
	// reported.
	latestRevision   pollenview.Revision
	latestRevisionAt time.Time
	startTime        time.Time
	serving          bool
	// draining is set by the view, stopping by Drain.
	draining    bool
	stopping    bool
	delivery    pollendocument.Delivery
	idleTimeout time.Duration

	owners *pollenflow.Owners
	// pastOwners holds the previous owner assignments, latest first.
	pastOwners []replacedOwners
	// agents holds the agents of the service in failure domains that take
	// traffic, sorted by name.
	agents    []pollenview.Member
	balancers []pollenview.Member

	records map[pollenflow.Key]*Record
	// directory holds the registered holders of flows in the buckets that this
	// agent owns, and notFound the flows that a search did not find.
	directory *pollenflow.LeaseMap[pollenflow.Key, pollenview.MemberRef]
	notFound  *pollenflow.LeaseMap[pollenflow.Key, struct{}]
	loads     *pollenflow.Loads
	// loadScratch and candidateIndexes are reused to avoid allocations.
	loadScratch      []pollenflow.Load
	candidateIndexes []int
	searches         pollenbucket.Bucket
	backups          backupState
	lastSweep        time.Time
	// averageRunning is the smoothed number of running units of work.
	averageRunning float64
}

// A replacedOwners is a previous owner assignment and the time at which it was
// replaced.
type replacedOwners struct {
	owners     *pollenflow.Owners
	replacedAt time.Time
}

// notFoundLease is how long a flow that a search did not find is not searched
// for again.
const notFoundLease = time.Second

// loadLease is how long the load reported by a peer is used.
const loadLease = 5 * time.Second

// NewFlows returns a Flows that drops all packets until ChangeView provides a
// view.
func NewFlows(now time.Time, config Config) *Flows {
	return &Flows{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		self:      pollenflow.DigestOf(config.Self.Name),
		service:   pollenflow.DigestOf(config.Self.Service),
		view:      pollenview.NewView(),
		startTime: now,
		records:   map[pollenflow.Key]*Record{},
		directory: pollenflow.NewLeaseMap[pollenflow.Key, pollenview.MemberRef](config.DirectoryLease),
		notFound:  pollenflow.NewLeaseMap[pollenflow.Key, struct{}](notFoundLease),
		loads:     pollenflow.NewLoads(loadLease),
		searches:  pollenbucket.New(float64(config.SearchRate), float64(config.SearchRate)),
	}
}

// RouteAnswer records that the backend server sent a packet to the flow's
// caller, and returns the balancer to send it through. The first such packet
// establishes the flow and ends its unit of work with a success. ok is false if
// the agent does not serve, does not hold the flow or knows no balancer.
func (f *Flows) RouteAnswer(now time.Time, key pollenflow.Key) (balancer netip.AddrPort, ok bool) {
	r, held := f.records[key]
	if !held || !f.serving {
		return netip.AddrPort{}, false
	}
	r.LastSeen = now
	if !r.Established {
		r.Established = true
		f.config.Limiter.End(now, pollenadmission.SignalSuccess)
	}
	return f.answerBalancer(r)
}

// answerBalancer returns the balancer of the flow's latest packet, or another
// one if that is no longer a member or its failure domain is out.
func (f *Flows) answerBalancer(r *Record) (netip.AddrPort, bool) {
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

// AnyBalancer returns a random balancer, for a packet to a caller whose flow
// the agent does not hold. ok is false if there is no balancer.
func (f *Flows) AnyBalancer() (balancer netip.AddrPort, ok bool) {
	if len(f.balancers) == 0 {
		return netip.AddrPort{}, false
	}
	return f.balancers[f.random.IntN(len(f.balancers))].Address, true
}

// BackendRefused records that the backend server refused the flow's packet. A
// flow that is not established is closed and returned, so that the caller's
// next packet can be placed at another backend server. ok is false if no flow
// was closed.
func (f *Flows) BackendRefused(now time.Time, key pollenflow.Key) (closed *Record, ok bool) {
	r, held := f.records[key]
	if !held || r.Established {
		return nil, false
	}
	f.config.Limiter.Observe(now, pollenadmission.SignalRefused)
	f.removeRecord(now, r, pollenadmission.SignalRefused)
	return r, true
}

// removeRecord removes a flow and releases its work. The signal is the outcome
// reported to the limiter for a flow that was not established.
func (f *Flows) removeRecord(now time.Time, r *Record, signal pollenadmission.Signal) {
	delete(f.records, r.Key)
	f.config.Limiter.CloseFlow()
	if !r.Established {
		f.config.Limiter.End(now, signal)
	}
	f.backups.markChanged(r.Key)
}

// Load returns this agent's load.
func (f *Flows) Load() pollenflow.Load {
	u := f.config.Limiter.Usage()
	return pollenflow.Load{
		Name: f.config.Self.Name, Incarnation: f.config.Self.Incarnation,
		Running: u.Running, Limit: u.Limit, Flows: u.Flows, ConnectionLimit: u.ConnectionLimit,
	}
}

// Loads returns the loads reported by the peers.
func (f *Flows) Loads() *pollenflow.Loads { return f.loads }

// Record returns the flow with the key.
func (f *Flows) Record(key pollenflow.Key) (*Record, bool) {
	r, ok := f.records[key]
	return r, ok
}

// Len returns the number of flows held and of directory entries, including
// expired entries that have not been removed yet.
func (f *Flows) Len() (held, directory int) { return len(f.records), f.directory.Len() }
