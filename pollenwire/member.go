package pollenwire

import (
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenview"
)

// MapHeartbeat encodes or decodes a member's heartbeat to the control hosts.
func MapHeartbeat(c *Codec, h *pollenmember.Heartbeat) {
	MapMember(c, &h.Member)
	unsigned(c, &h.Revision)
	unsigned(c, &h.SyncedEpoch)
	boolean(c, &h.Cold)
	boolean(c, &h.Leaving)
}

// MapNotice encodes or decodes a notice, which announces a revision.
func MapNotice(c *Codec, n *pollenmember.Notice) {
	unsigned(c, &n.Revision)
	boolean(c, &n.FromControlHost)
	address(c, &n.Leader)
	MapUpdate(c, &n.Update)
}

// MapUpdate encodes or decodes an update of a view: the commands since a
// revision, or a full view.
func MapUpdate(c *Codec, u *pollenview.Update) {
	unsigned(c, &u.FirstRevision)
	list(c, &u.Commands, MapCommand)
	optional(c, &u.Full, mapNewView)
}

// mapNewView is MapView for a view that was allocated without NewView.
func mapNewView(c *Codec, v *pollenview.View) {
	if c.decoding() {
		*v = *pollenview.NewView()
	}
	MapView(c, v)
}
