package pollenwire_test

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

var caller = netip.MustParseAddrPort("192.0.2.7:50000")

func view() *pollenview.View {
	v := pollenview.NewView()
	section := pollendocument.Section{Team: "registry", Services: []pollendocument.Service{{
		Name: "rings", Address: netip.MustParseAddrPort("192.0.2.1:4430"), Delivery: pollendocument.DeliveryHTTP,
		Slots: 5, ConnectionLimit: 2000, ColdLimit: 1, WarmUp: time.Second, QueueLimit: 16, RequestTimeout: time.Second,
		Retention: time.Minute, IdleTimeout: time.Minute,
	}}}
	change := pollenview.NewChange(&pollendocument.Section{}, &section)
	v.Apply(1, &pollenview.Command{Kind: pollenview.CommandSubmit, Submission: pollenview.Submission{
		ID: "a", Submitter: "ana", Changes: []pollenview.SectionChange{change},
	}})
	v.Apply(2, &pollenview.Command{Kind: pollenview.CommandMembers, Joins: []pollenview.Member{{
		Name: "rings-1", Role: pollenview.RoleAgent, Incarnation: 7, Service: "rings", Domain: "celje-a",
		Address: netip.MustParseAddrPort("10.0.1.1:7000"), State: pollendocument.ServerActive,
	}}})
	v.Apply(3, &pollenview.Command{Kind: pollenview.CommandLedgers, Ledgers: []pollenview.LedgerChange{{
		Service: "rings", Epoch: 1, Replicas: []pollenview.MemberRef{{Name: "rings-1", Incarnation: 7}},
	}}})
	return v
}

// roundTrip checks that a decoded value encodes to the same bytes as the
// original. Values are compared by encoding because the encoding does not
// distinguish nil from empty slices.
func roundTrip[T any](t *testing.T, value *T, mapping func(c *pollenwire.Codec, v *T)) {
	t.Helper()
	var got T
	if err := pollenwire.Unmarshal(pollenwire.Marshal(value, mapping), &got, mapping); err != nil {
		t.Fatalf("%T: %v", value, err)
	}
	if !bytes.Equal(pollenwire.Marshal(value, mapping), pollenwire.Marshal(&got, mapping)) {
		t.Fatalf("%T: encoded %+v, decoded %+v", value, *value, got)
	}
}

// TestRoundTrips guards against mapping functions that lose a value, such as a
// field that is decoded into another one, or a map that decoding does not
// rebuild.
func TestRoundTrips(t *testing.T) {
	v := view()
	roundTrip(t, v, pollenwire.MapView)
	roundTrip(t, &pollenview.Update{FirstRevision: 2, Commands: []pollenview.Command{{Kind: pollenview.CommandNone}}}, pollenwire.MapUpdate)
	roundTrip(t, &pollenview.Update{Full: v}, pollenwire.MapUpdate)
	roundTrip(t, &pollenmember.Heartbeat{Member: v.Members["rings-1"], Revision: 3, SyncedEpoch: 1}, pollenwire.MapHeartbeat)
	gate := pollenpeer.Peer{
		Address: caller, Role: pollenpeer.RoleGate, Domain: "b", Incarnation: 9, Sequence: 70_000, Revision: 4, Leaving: true,
		Uptime: time.Minute, Server: pollenpeer.Server{
			Service: "rings", State: pollenpeer.ServerDraining, Slots: 2, Cold: true, Starting: true, ColdCapacity: -1,
			Running: 3, AverageRunning: 1.5, Failing: true, Flows: 300, RequestTime: 12_300 * time.Microsecond, AdmitBelow: 2,
		},
	}
	roundTrip(t, &pollenpeer.Heartbeat{
		Peer:   pollenpeer.Peer{Address: caller, Role: pollenpeer.RoleBalancer, Domain: "a", Disk: true, FirstStart: true, LinkRate: 2000},
		Leader: caller, Term: 3, LeaderAge: time.Second, BootstrapHost: caller, Balancers: []netip.AddrPort{caller},
		KnownBalancers: 300, Relayed: true, Report: true, Incomplete: true, Unheard: []netip.AddrPort{caller},
		Facts:   []pollenpeer.Fact{{Peer: gate, Age: time.Second, SeenAge: time.Millisecond}},
		Vouches: []pollenpeer.Vouch{{Relay: caller, Domain: "b", Age: time.Second, Unheard: []netip.AddrPort{caller}, Gone: []netip.AddrPort{caller}, Gates: 1 << 63, Complete: true}},
	}, pollenwire.MapPeerHeartbeat)
	roundTrip(t, &pollenlog.Message{
		Kind: pollenlog.MessageAppend, From: 1, To: 2, Address: caller, Term: 3, Index: 4, LogTerm: 2, Round: 9, Forced: true,
		Entries: []pollenlog.Entry{{Index: 5, Term: 3, Kind: pollenlog.EntryCommand, Data: []byte("x")}},
		Snapshot: &pollenlog.Snapshot{Index: 4, Term: 2, Membership: pollenlog.Membership{
			Replicas: []pollenlog.Replica{{ID: 1, Address: caller, Voter: true}},
		}},
	}, pollenwire.MapMessage)
	roundTrip(t, &pollenledger.SyncReply{OK: true, Entries: []pollenledger.Entry{{
		Key: "k", Claim: pollenledger.ClaimID{Agent: "rings-1", Incarnation: 7, Sequence: 3}, State: pollenledger.ClaimDone,
		Answer:    pollenledger.Answer{Status: 200, Header: []pollenledger.HeaderField{{Name: "A", Value: "b"}}, Body: []byte("c")},
		ClaimedAt: time.Unix(5, 6).UTC(),
	}}}, pollenwire.MapSyncReply)
	roundTrip(t, &pollencontrol.Answer{Verdict: pollencontrol.VerdictRefused, Reason: "r", Leader: caller}, pollenwire.MapOperatorAnswer)
}

func sealer(t testing.TB, keys ...string) *pollenwire.Sealer {
	t.Helper()
	raw := make([][]byte, 0, len(keys))
	for _, k := range keys {
		raw = append(raw, []byte(k))
	}
	s, err := pollenwire.NewSealer(raw, [6]byte{1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const (
	firstKey  = "0123456789abcdef"
	secondKey = "fedcba9876543210"
)

func header() pollenwire.Header {
	return pollenwire.Header{
		Kind: pollenwire.DatagramPacket, MayOpenFlow: true, Search: true, SearchIndex: 3, Hops: 2, Service: 11, Target: 12,
		Revision: 13, Caller: caller, Balancer: netip.MustParseAddrPort("[2001:db8::1]:7000"),
	}
}

func sealed(s *pollenwire.Sealer, payload string) []byte {
	buffer := make([]byte, pollenwire.HeaderSize+len(payload)+pollenwire.TrailerSize)
	copy(buffer[pollenwire.HeaderSize:], payload)
	h := header()
	return s.Seal(buffer, len(payload), &h)
}

// TestSealAndOpen guards against accepting altered datagrams, against refusing
// datagrams under the previous key while keys change, and against repeated
// nonces. It flips one bit of each byte of a datagram in turn.
func TestSealAndOpen(t *testing.T) {
	old, both, other := sealer(t, firstKey), sealer(t, secondKey, firstKey), sealer(t, secondKey)
	datagram := sealed(old, "payload")
	var got pollenwire.Header
	payload, err := both.Open(datagram, &got)
	if err != nil || string(payload) != "payload" || got != header() {
		t.Fatalf("Open returned payload %q, header %+v, error %v", payload, got, err)
	}
	if _, err := other.Open(datagram, &got); err == nil {
		t.Fatal("Open accepted a datagram sealed with a key it does not have")
	}
	for at := range datagram {
		forged := append([]byte(nil), datagram...)
		forged[at] ^= 1
		if _, err := old.Open(forged, &got); err == nil {
			t.Fatalf("Open accepted a datagram with byte %d altered", at)
		}
	}
	if string(sealed(old, "payload")) == string(datagram) {
		t.Fatal("two datagrams with the same payload are equal, so their nonces repeat")
	}
}

// FuzzOpen guards against panics on arbitrary datagrams.
func FuzzOpen(f *testing.F) {
	s := sealer(f, firstKey)
	f.Add(sealed(s, "payload"))
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		var h pollenwire.Header
		_, _ = s.Open(datagram, &h)
	})
}

// FuzzUnmarshal guards against panics and unbounded allocation on arbitrary
// messages. The last seed is an array header with a length of 2^32-1 items.
func FuzzUnmarshal(f *testing.F) {
	v := view()
	f.Add(pollenwire.Marshal(v, pollenwire.MapView))
	f.Add(pollenwire.Marshal(&pollenview.Update{Full: v}, pollenwire.MapUpdate))
	f.Add([]byte{1, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = pollenwire.Unmarshal(data, pollenview.NewView(), pollenwire.MapView)
		_ = pollenwire.Unmarshal(data, &pollenview.Update{}, pollenwire.MapUpdate)
		_ = pollenwire.Unmarshal(data, &pollenview.Command{}, pollenwire.MapCommand)
		_ = pollenwire.Unmarshal(data, &pollenlog.Message{}, pollenwire.MapMessage)
		_ = pollenwire.Unmarshal(data, &pollenmember.Notice{}, pollenwire.MapNotice)
		_ = pollenwire.Unmarshal(data, &pollenledger.SyncReply{}, pollenwire.MapSyncReply)
		_ = pollenwire.Unmarshal(data, &pollenwire.RunCall{}, pollenwire.MapRunCall)
		_ = pollenwire.Unmarshal(data, &pollenwire.SubmitCall{}, pollenwire.MapSubmitCall)
	})
}

// BenchmarkSeal measures sealing a payload of 1200 bytes.
func BenchmarkSeal(b *testing.B) {
	s := sealer(b, firstKey)
	buffer := make([]byte, pollenwire.HeaderSize+1200+pollenwire.TrailerSize)
	h := header()
	b.ReportAllocs()
	for range b.N {
		s.Seal(buffer, 1200, &h)
	}
}

// BenchmarkOpen measures opening a payload of 1200 bytes.
func BenchmarkOpen(b *testing.B) {
	s := sealer(b, firstKey)
	datagram := sealed(s, string(make([]byte, 1200)))
	var h pollenwire.Header
	b.ReportAllocs()
	for range b.N {
		if _, err := s.Open(datagram, &h); err != nil {
			b.Fatal(err)
		}
	}
}
