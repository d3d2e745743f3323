package pollenwire

import (
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenview"
)

// MapHeartbeat maps a member's heartbeat.
func MapHeartbeat(c *Codec, h *pollenmember.Heartbeat) {
	MapMember(c, &h.Member)
	unsigned(c, &h.Revision)
	unsigned(c, &h.LedgerEpoch)
	boolean(c, &h.Cold)
	boolean(c, &h.Leaving)
}

// MapNotice maps a notice.
func MapNotice(c *Codec, n *pollenmember.Notice) {
	unsigned(c, &n.Revision)
	boolean(c, &n.FromControlHost)
	address(c, &n.Leader)
	MapUpdate(c, &n.Update)
}

// MapUpdate maps what brings a view forward.
func MapUpdate(c *Codec, u *pollenview.Update) {
	unsigned(c, &u.FirstRevision)
	list(c, &u.Commands, MapCommand)
	optional(c, &u.Full, mapNewView)
}

func mapNewView(c *Codec, v *pollenview.View) {
	if c.decoding() {
		*v = *pollenview.NewView()
	}
	MapView(c, v)
}
