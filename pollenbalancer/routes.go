// Package pollenbalancer chooses the agent that a caller's packet is sent to. It
// has no state per flow.
package pollenbalancer

import (
	"cmp"
	"net"
	"net/netip"
	"slices"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenview"
)

// A Target is the agent that a packet is sent to.
type Target struct {
	Address netip.AddrPort
	// UDP is Address in the form that UDP sockets accept.
	UDP *net.UDPAddr
	// Digest is the digest of the agent's name.
	Digest pollenflow.Digest
}

// A Route maps the flows of a service to agents. It is immutable.
type Route struct {
	Service pollendocument.ServiceName
	// Address is the address at which callers reach the service.
	Address netip.AddrPort
	Digest  pollenflow.Digest
	// Revision is the revision of the view that the route was built from, or of
	// a later one that did not change the route.
	Revision pollenview.Revision
	owners   *pollenflow.Owners
	// targets holds one entry for each member of owners, in the same order.
	targets []Target
	agents  []pollenview.Member
	weights []int
}

// Decide returns the directory owner of a flow's bucket, which the flow's packets
// are sent to. ok is false if the service has no agent. It does not allocate.
func (r *Route) Decide(key pollenflow.Key) (target *Target, ok bool) {
	at, ok := r.owners.Index(pollenflow.BucketOf(r.Digest, key))
	if !ok {
		return nil, false
	}
	return &r.targets[at], true
}

// Routes holds the routes of all services. It is not safe for concurrent use.
type Routes struct {
	routes map[pollendocument.ServiceName]*Route
}

// NewRoutes returns an empty Routes.
func NewRoutes() *Routes {
	return &Routes{routes: map[pollendocument.ServiceName]*Route{}}
}

// Len returns the number of routes.
func (r *Routes) Len() int { return len(r.routes) }

// A Change is a route that was added, replaced or removed. Removed is set if the
// service is no longer declared.
type Change struct {
	Route   *Route
	Removed bool
}

// Update applies a newer view and returns the changed routes, sorted by service
// name. It rebuilds only the routes whose agents, weights or address changed.
func (r *Routes) Update(view *pollenview.View) []Change {
	agents := groupAgents(view)
	var changes []Change
	declared := map[pollendocument.ServiceName]bool{}
	for i := range view.Document.Sections {
		for _, s := range view.Document.Sections[i].Services {
			declared[s.Name] = true
			if route := r.update(view, s, agents[s.Name]); route != nil {
				changes = append(changes, Change{Route: route})
			}
		}
	}
	for name, route := range r.routes {
		if !declared[name] {
			delete(r.routes, name)
			changes = append(changes, Change{Route: route, Removed: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Route.Service, b.Route.Service) })
	return changes
}

// update builds and stores a service's new route, or returns nil if the route is
// unchanged.
func (r *Routes) update(view *pollenview.View, s pollendocument.Service, agents []pollenview.Member) *Route {
	weights := make([]int, len(agents))
	for i, m := range agents {
		if setting := view.ServerSetting(m.Name); setting.State == pollendocument.ServerActive {
			weights[i] = setting.Weight
		}
	}
	old := r.routes[s.Name]
	if old != nil && old.Address == s.Address && slices.Equal(old.agents, agents) && slices.Equal(old.weights, weights) {
		return nil
	}
	route := &Route{
		Service: s.Name, Address: s.Address, Digest: pollenflow.DigestOf(s.Name),
		Revision: view.Revision, agents: agents, weights: weights,
	}
	route.owners = pollenflow.OwnersOf(view, agents)
	for _, m := range route.owners.Members() {
		route.targets = append(route.targets, Target{
			Address: m.Address, UDP: net.UDPAddrFromAddrPort(m.Address), Digest: pollenflow.DigestOf(m.Name),
		})
	}
	r.routes[s.Name] = route
	return route
}

// groupAgents returns the agents of each service in failure domains that take
// traffic, sorted by name.
func groupAgents(view *pollenview.View) map[pollendocument.ServiceName][]pollenview.Member {
	agents := map[pollendocument.ServiceName][]pollenview.Member{}
	for _, m := range view.Members {
		if m.Role == pollenview.RoleAgent && view.DomainTakesTraffic(m.Domain) {
			agents[m.Service] = append(agents[m.Service], m)
		}
	}
	for _, group := range agents {
		slices.SortFunc(group, func(a, b pollenview.Member) int { return cmp.Compare(a.Name, b.Name) })
	}
	return agents
}

// Versions of QUIC whose Initial packets are recognized.
const (
	quicVersion1 = 0x00000001
	quicVersion2 = 0x6b3343cf
)

// OpensFlow reports whether a packet is a QUIC Initial packet, which may open a
// flow, as specified in RFC 9000 section 17.2.2 and RFC 9369 section 3.2.
func OpensFlow(packet []byte) bool {
	if len(packet) < 5 || packet[0]&0xc0 != 0xc0 {
		return false
	}
	version := uint32(packet[1])<<24 | uint32(packet[2])<<16 | uint32(packet[3])<<8 | uint32(packet[4])
	switch version {
	case quicVersion1:
		return packet[0]&0x30 == 0x00
	case quicVersion2:
		return packet[0]&0x30 == 0x10
	}
	return false
}
