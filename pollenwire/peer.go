package pollenwire

import (
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpeer"
)

// MapPeerHeartbeat encodes or decodes the heartbeat between nodes.
func MapPeerHeartbeat(c *Codec, h *pollenpeer.Heartbeat) {
	mapPeer(c, &h.Peer)
	address(c, &h.Leader)
	unsigned(c, &h.Term)
	duration(c, &h.LeaderAge)
	address(c, &h.BootstrapHost)
	list(c, &h.Balancers, address)
	list(c, &h.Gates, address)
}

func mapPeer(c *Codec, p *pollenpeer.Peer) {
	address(c, &p.Address)
	text(c, &p.Role)
	text(c, &p.Domain)
	unsigned(c, &p.Incarnation)
	unsigned(c, &p.Sequence)
	unsigned(c, &p.Revision)
	boolean(c, &p.Disk)
	boolean(c, &p.FirstStart)
	boolean(c, &p.Leaving)
	signed(c, &p.Uptime)
	// Only gates have a backend server.
	if p.Role != pollenpeer.RoleGate {
		return
	}
	text(c, &p.Server.Service)
	text(c, &p.Server.State)
	signed(c, &p.Server.Slots)
	boolean(c, &p.Server.Cold)
	boolean(c, &p.Server.Starting)
	signed(c, &p.Server.ColdCapacity)
	signed(c, &p.Server.Running)
	float(c, &p.Server.AverageRunning)
	boolean(c, &p.Server.Failing)
	signed(c, &p.Server.Flows)
}

// MapCall encodes or decodes a call to another node.
func MapCall(c *Codec, m *pollenlink.Call) {
	unsigned(c, &m.ID)
	text(c, &m.Method)
	blob(c, &m.Body)
}

// MapCallAnswer encodes or decodes the answer to a call.
func MapCallAnswer(c *Codec, a *pollenlink.Answer) {
	unsigned(c, &a.ID)
	text(c, &a.Result)
	text(c, &a.Reason)
	address(c, &a.Leader)
	blob(c, &a.Body)
}
