package pollengate

import (
	"maps"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpriority"
)

// A Level describes the admission level of a gate, for logs.
type Level struct {
	// Step is zero if flows of all priorities are admitted, and AdmitBelow that of
	// pollenpeer.Server.
	Step, AdmitBelow int
	// Wait is the expected time until a request that arrives now runs; Objective is the
	// objective that it is compared with.
	Wait, Objective time.Duration
}

// Level returns the admission level.
func (g *Gate) Level() Level {
	return Level{Step: g.level.Step(), AdmitBelow: g.level.AdmitBelow(), Wait: g.expectedWait(), Objective: g.level.Objective()}
}

func (g *Gate) configureLevel() { g.level.Configure(pollenpriority.ConfigOf(maps.Values(g.routes))) }

// admitsPriority reports whether the level admits an opening packet of the route, which
// is nil if it is unknown here. The balancer marks flows that it passes as the minimum
// share of a declined priority. If they were counted again here, one in a hundred would
// be admitted.
func (g *Gate) admitsPriority(h *pollenlink.Header, p *pollenpacket.Packet, r *pollendocument.Route) bool {
	return r == nil || h.Reason == pollenkernel.RefusalPriority || g.level.Admit(r.Priority, p.Acknowledged)
}

// uploadsFull reports whether the backend server receives as many requests of upload
// routes as it may hold flows, and the route is one of these.
func (g *Gate) uploadsFull(r *pollendocument.Route) bool {
	return isUpload(r) && g.pool.ConnectionLimit > 0 && g.receiving >= g.pool.ConnectionLimit
}

func isUpload(r *pollendocument.Route) bool { return r != nil && r.Kind == pollendocument.RouteUpload }

// newReceipt returns a receipt for a flow of an upload route, and nil for other flows.
func (g *Gate) newReceipt(f pollenpacket.Flow) *receipt {
	if !isUpload(g.routes[f.Service]) {
		return nil
	}
	return &receipt{}
}
