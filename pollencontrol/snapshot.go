package pollencontrol

import (
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenview"
)

// restore replaces the view by the one in a snapshot that the log has installed.
// A snapshot that cannot be decoded is reported and leaves the view unchanged.
func (n *Node) restore(s pollenlog.Snapshot) {
	view := pollenview.NewView()
	if len(s.Data) > 0 {
		decoded, err := n.config.Codec.DecodeView(s.Data)
		if err != nil {
			n.emit(UndecodableEntry{Index: s.Index, Err: err})
			return
		}
		view = decoded
	}
	view.Revision = pollenview.Revision(s.Index)
	n.replica.ApplyUpdate(pollenview.Update{Full: view})
	n.compactedIndex, n.uncompactedBytes = s.Index, 0
}

// compact replaces the applied entries of the log by a snapshot every
// CompactEvery entries or CompactBytes.
func (n *Node) compact() {
	applied := n.log.Status().Applied
	if int(applied-n.compactedIndex) < n.config.CompactEvery && n.uncompactedBytes < n.config.CompactBytes {
		return
	}
	n.compactedIndex, n.uncompactedBytes = applied, 0
	data := n.config.Codec.EncodeView(n.replica.View())
	n.stepLog(pollenlog.Compact{Index: applied, Data: data})
}
