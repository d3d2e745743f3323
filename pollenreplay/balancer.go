package pollenreplay

import (
	"fmt"
	"net/netip"

	"pollenstep.example/pollenstep/pollenbalancer"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenview"
)

// balancer simulates one balancer with its routes.
type balancer struct {
	*process
	sim             *simulation
	routes          *pollenbalancer.Routes
	routesByService map[pollendocument.ServiceName]*pollenbalancer.Route
	// leaving is set when the network no longer sends callers' packets here
	// because of a planned restart.
	leaving bool
	// table is the flow table; only VariantTable uses it.
	table map[tableKey]pollenbalancer.Target
}

type tableKey struct {
	service pollendocument.ServiceName
	key     pollenflow.Key
}

func (sim *simulation) addBalancer(number int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(number + 1)}), processPort)
	p := sim.newProcess(fmt.Sprintf("balancer-%d", number+1), pollenview.RoleBalancer, number, address)
	b := &balancer{process: p, sim: sim}
	p.balancer = b
	sim.balancers = append(sim.balancers, b)
	sim.boot(p)
	b.boot()
	sim.join(p)
}

// boot creates the routes of a new incarnation.
func (b *balancer) boot() {
	b.leaving = false
	b.routes = pollenbalancer.NewRoutes()
	b.routesByService = map[pollendocument.ServiceName]*pollenbalancer.Route{}
	b.table = map[tableKey]pollenbalancer.Target{}
}

func (b *balancer) changeView() {
	for _, c := range b.routes.Update(b.replica.View()) {
		if c.Removed {
			delete(b.routesByService, c.Route.Service)
		} else {
			b.routesByService[c.Route.Service] = c.Route
		}
	}
}

// receivesTraffic reports whether the network sends callers' packets to the
// balancer.
func (b *balancer) receivesTraffic() bool { return b.up && !b.leaving && b.replica.Revision() > 0 }

// decide returns the agent to which a packet of the flow is sent. ok is false
// if there is none.
func (b *balancer) decide(service pollendocument.ServiceName, key pollenflow.Key) (pollenbalancer.Target, bool) {
	route, ok := b.routesByService[service]
	if !ok {
		return pollenbalancer.Target{}, false
	}
	switch b.sim.variant {
	case VariantHash:
		return b.decideHash(route, key)
	case VariantTable:
		return b.decideTable(route, key)
	default:
		target, ok := route.Decide(key)
		if !ok {
			return pollenbalancer.Target{}, false
		}
		return *target, true
	}
}

// decideHash returns the agent at the hash of the key modulo the number of
// agents that take new work.
func (b *balancer) decideHash(route *pollenbalancer.Route, key pollenflow.Key) (pollenbalancer.Target, bool) {
	view := b.replica.View()
	var available []pollenview.Member
	for _, m := range view.Agents(route.Service) {
		if view.TakesNewWork(m) {
			available = append(available, m)
		}
	}
	if len(available) == 0 {
		return pollenbalancer.Target{}, false
	}
	m := available[int(pollenflow.BucketOf(route.Digest, key))%len(available)]
	return pollenbalancer.Target{Address: m.Address, Digest: pollenflow.DigestOf(m.Name)}, true
}

// decideTable returns the agent in the flow table. For a flow that is not in
// the table, or whose agent is no longer a member, it stores the agent that the
// route decides on.
func (b *balancer) decideTable(route *pollenbalancer.Route, key pollenflow.Key) (pollenbalancer.Target, bool) {
	entryKey := tableKey{service: route.Service, key: key}
	if cached, ok := b.table[entryKey]; ok {
		view := b.replica.View()
		for _, m := range view.Agents(route.Service) {
			if m.Address == cached.Address {
				return cached, true
			}
		}
	}
	target, ok := route.Decide(key)
	if !ok {
		return pollenbalancer.Target{}, false
	}
	b.table[entryKey] = *target
	return *target, true
}
