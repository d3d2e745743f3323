package pollenwire

import (
	"pollenstep.example/pollenstep/pollenagent"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenledger"
)

// MapLoad encodes or decodes the load that an agent reports.
func MapLoad(c *Codec, l *pollenflow.Load) {
	text(c, &l.Name)
	unsigned(c, &l.Incarnation)
	signed(c, &l.Running)
	signed(c, &l.Queued)
	signed(c, &l.Limit)
	signed(c, &l.Flows)
	signed(c, &l.ConnectionLimit)
}

// MapRegistrations encodes or decodes the registrations that the holders of
// flows send to a directory owner.
func MapRegistrations(c *Codec, registrations *[]pollenflow.Registration) {
	list(c, registrations, func(c *Codec, r *pollenflow.Registration) {
		address(c, &r.Key)
		MapMemberRef(c, &r.Holder)
		boolean(c, &r.Withdrawn)
	})
}

// MapBackup encodes or decodes the flow records that an agent backs up at a
// peer.
func MapBackup(c *Codec, b *pollenagent.Backup) {
	text(c, &b.Name)
	unsigned(c, &b.Incarnation)
	text(c, &b.Service)
	unsigned(c, &b.Version)
	unsigned(c, &b.Base)
	boolean(c, &b.Full)
	text(c, &b.StartStamp)
	signed(c, &b.Limit)
	list(c, &b.Records, func(c *Codec, r *pollenagent.BackupRecord) {
		address(c, &r.Key)
		port := uint32(r.Port)
		unsigned(c, &port)
		r.Port = uint16(port)
		instant(c, &r.LastSeen)
	})
	list(c, &b.Removed, address)
}

// MapClaim encodes or decodes a request for a claim on an idempotency key.
func MapClaim(c *Codec, r *pollenledger.Request) {
	text(c, &r.Service)
	text(c, &r.Key)
	mapClaimID(c, &r.Claim)
	unsigned(c, &r.Epoch)
	unsigned(c, &r.Revision)
}

func mapClaimID(c *Codec, id *pollenledger.ClaimID) {
	text(c, &id.Agent)
	unsigned(c, &id.Incarnation)
	unsigned(c, &id.Sequence)
}

// MapClaimReply encodes or decodes the reply to a request for a claim.
func MapClaimReply(c *Codec, r *pollenledger.Reply) {
	text(c, &r.Verdict)
	unsigned(c, &r.Epoch)
	unsigned(c, &r.Revision)
	MapAnswer(c, &r.Answer)
}

// MapAnswer encodes or decodes a backend server's whole answer: status, header
// fields and body.
func MapAnswer(c *Codec, a *pollenledger.Answer) {
	signed(c, &a.Status)
	list(c, &a.Header, func(c *Codec, h *pollenledger.HeaderField) {
		text(c, &h.Name)
		text(c, &h.Value)
	})
	blob(c, &a.Body)
}

// MapCompletion encodes or decodes the completion of a claim: its final state
// and the answer to store with it.
func MapCompletion(c *Codec, m *pollenledger.Completion) {
	text(c, &m.Service)
	text(c, &m.Key)
	mapClaimID(c, &m.Claim)
	text(c, &m.State)
	MapAnswer(c, &m.Answer)
}

// MapSyncRequest encodes or decodes a request for the claims that a replica of
// the previous ledger group holds.
func MapSyncRequest(c *Codec, r *pollenledger.SyncRequest) {
	text(c, &r.Service)
	unsigned(c, &r.Epoch)
	unsigned(c, &r.Revision)
	address(c, &r.From)
}

// MapSyncReply encodes or decodes a replica's reply to a SyncRequest, which
// contains its claims.
func MapSyncReply(c *Codec, r *pollenledger.SyncReply) {
	boolean(c, &r.OK)
	list(c, &r.Entries, func(c *Codec, e *pollenledger.Entry) {
		text(c, &e.Key)
		mapClaimID(c, &e.Claim)
		text(c, &e.State)
		MapAnswer(c, &e.Answer)
		instant(c, &e.ClaimedAt)
	})
}
