package pollencontrol_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// singleHost is the only control host of its cluster, driven step by step.
type singleHost struct {
	t     *testing.T
	now   time.Time
	node  *pollencontrol.Node
	token pollencontrol.Token
}

func newSingleHost(t *testing.T) *singleHost {
	t.Helper()
	now := time.Unix(1000, 0)
	at := netip.MustParseAddrPort("10.0.0.1:7000")
	stored := pollenlog.StoredState{
		Hard: pollenlog.HardState{Term: 1},
		Snapshot: pollenlog.Snapshot{Index: 1, Term: 1, Membership: pollenlog.Membership{
			Replicas: []pollenlog.Replica{{ID: 1, Address: at, Voter: true}},
		}},
	}
	node, err := pollencontrol.NewNode(now, pollencontrol.Config{
		Log: pollenlog.Config{
			ID: 1, Address: at, ElectionTimeout: time.Second, HeartbeatInterval: 200 * time.Millisecond, MaxAppendEntries: 8, MaxAppendBytes: 1 << 20,
		},
		Codec: pollenwire.ControlCodec{}, Lease: time.Second, CheckInterval: time.Second, CompactEvery: 1000, CompactBytes: compactBytes,
		Guard: pollencontrol.HalfGuard{}, PendingTimeout: time.Second, Replicas: 3, AutoRepair: true,
	}, stored)
	if err != nil {
		t.Fatal(err)
	}
	h := &singleHost{t: t, now: now, node: node}
	for range 3 {
		h.now = h.now.Add(time.Second)
		h.node.Step(h.now, pollencontrol.Tick{})
	}
	return h
}

// call passes an event to the host and returns the answer to it.
func (h *singleHost) call(event func(t pollencontrol.Token) pollencontrol.Event) pollencontrol.Answer {
	h.t.Helper()
	h.token++
	for _, action := range h.node.Step(h.now, event(h.token)) {
		if r, ok := action.(pollencontrol.Reply); ok && r.Token == h.token {
			return r.Answer
		}
	}
	h.t.Fatalf("event with token %d was not answered", h.token)
	return pollencontrol.Answer{}
}

func (h *singleHost) declare(d pollendocument.Declaration) pollencontrol.Answer {
	h.t.Helper()
	return h.call(func(t pollencontrol.Token) pollencontrol.Event {
		return pollencontrol.Declare{Token: t, Declaration: d}
	})
}

func declaration(version uint64, source string) pollendocument.Declaration {
	return pollendocument.Declaration{
		Version: version, Source: []byte(source), Pools: []pollendocument.Pool{{Name: "rings"}},
		Routes: []pollendocument.Route{{
			Name: "feed", Address: netip.MustParseAddrPort("198.51.100.1:443"), Timeout: time.Second,
			Kind: pollendocument.RouteSafe, Shares: []pollendocument.Share{{Service: "rings", Weight: 1}},
		}},
	}
}

// TestHighestVersionIsInForce guards against an older declaration that replaces a
// newer one. Versions arrive out of order, twice, and with other content under the
// same version. Each is answered as done, and only a higher version changes the
// declaration in force.
func TestHighestVersionIsInForce(t *testing.T) {
	h := newSingleHost(t)
	for _, step := range []struct {
		version uint64
		source  string
		want    string
	}{
		{5, "five", "five"},
		{3, "three", "five"},
		{5, "other", "five"},
		{9, "nine", "nine"},
		{5, "five", "nine"},
	} {
		if answer := h.declare(declaration(step.version, step.source)); answer.Verdict != pollencontrol.VerdictDone {
			t.Fatalf("declaration of version %d: answer %+v", step.version, answer)
		}
		answer := h.call(func(t pollencontrol.Token) pollencontrol.Event { return pollencontrol.Query{Token: t} })
		if got := string(answer.State.View.Declared.Source); got != step.want {
			t.Fatalf("after version %d, %q is in force; want %q", step.version, got, step.want)
		}
	}
}

// TestLogOfLongDeclarationsIsCompacted guards against a log whose declarations fill a
// small disk, and the memory of the host, before enough of them cause a snapshot.
func TestLogOfLongDeclarationsIsCompacted(t *testing.T) {
	const size = compactBytes * 2 / 5
	h := newSingleHost(t)
	for version := range uint64(20) {
		if a := h.declare(declaration(version+1, strings.Repeat("x", size))); a.Verdict != pollencontrol.VerdictDone {
			t.Fatalf("version %d answered with %+v", version+1, a)
		}
		if s := h.node.LogStatus(); (s.Last-s.Snapshot)*size >= compactBytes+size {
			t.Fatalf("version %d: the log holds %d declarations of %d bytes; want less than %d bytes", version+1, s.Last-s.Snapshot, size, compactBytes+size)
		}
	}
}

// TestInvalidDeclarationIsRefused checks that a declaration that contradicts
// itself or lacks a value is refused and does not take effect.
func TestInvalidDeclarationIsRefused(t *testing.T) {
	h := newSingleHost(t)
	for name, invalidate := range map[string]func(d *pollendocument.Declaration){
		"unknown service": func(d *pollendocument.Declaration) { d.Routes[0].Shares[0].Service = "sheets" },
		"same address":    func(d *pollendocument.Declaration) { d.Routes = append(d.Routes, d.Routes[0]) },
		"no timeout":      func(d *pollendocument.Declaration) { d.Routes[0].Timeout = 0 },
		"no weight":       func(d *pollendocument.Declaration) { d.Routes[0].Shares[0].Weight = 0 },
		"no service":      func(d *pollendocument.Declaration) { d.Routes[0].Shares = nil },
		"kind":            func(d *pollendocument.Declaration) { d.Routes[0].Kind = "other" },
	} {
		d := declaration(7, "seven")
		invalidate(&d)
		if answer := h.declare(d); answer.Verdict != pollencontrol.VerdictRefused {
			t.Errorf("%s: %+v", name, answer)
		}
	}
	if v := h.node.View().Declared.Version; v != 0 {
		t.Errorf("version %d is in force, want 0", v)
	}
}

// TestDomainEvacuation checks that failure domains are taken out of service and
// put back in any order, also repeatedly and when there is nothing to change.
func TestDomainEvacuation(t *testing.T) {
	h := newSingleHost(t)
	for _, e := range []pollenview.Evacuation{
		{Domain: "b", Evacuated: true}, {Domain: "a", Evacuated: true}, {Domain: "b", Evacuated: true}, {Domain: "a"}, {Domain: "c"},
	} {
		answer := h.call(func(t pollencontrol.Token) pollencontrol.Event {
			e.Known = h.node.View().Revision
			return pollencontrol.Evacuate{Token: t, Evacuation: e}
		})
		if answer.Verdict != pollencontrol.VerdictDone {
			t.Fatalf("evacuation %+v: answer %+v", e, answer)
		}
		if h.node.View().DomainEvacuated(e.Domain) != e.Evacuated {
			t.Fatalf("%+v: evacuated domains are %v", e, h.node.View().Evacuated)
		}
	}
}

// TestOvertakenEvacuation guards against an order that was held up on its way, or that
// arrives a second time, and then undoes a newer one that was acknowledged.
func TestOvertakenEvacuation(t *testing.T) {
	h := newSingleHost(t)
	order := func(e pollenview.Evacuation) pollencontrol.Answer {
		return h.call(func(t pollencontrol.Token) pollencontrol.Event {
			return pollencontrol.Evacuate{Token: t, Evacuation: e}
		})
	}
	known := func() pollenview.Revision { return h.node.View().Revision }
	if a := order(pollenview.Evacuation{Domain: "a", Evacuated: true, Known: known()}); a.Verdict != pollencontrol.VerdictDone {
		t.Fatalf("evacuation: %+v", a)
	}
	late := pollenview.Evacuation{Domain: "a", Known: known()}
	for _, e := range []pollenview.Evacuation{{Domain: "a"}, {Domain: "a", Evacuated: true}} {
		e.Known = known()
		if a := order(e); a.Verdict != pollencontrol.VerdictDone {
			t.Fatalf("%+v: %+v", e, a)
		}
	}
	if a := order(late); a.Verdict != pollencontrol.VerdictConflict {
		t.Errorf("order that was overtaken: %+v, want a conflict", a)
	}
	if !h.node.View().DomainEvacuated("a") {
		t.Error("an order that was overtaken ended the evacuation")
	}
	// A command that was proposed before the newer one was applied is ignored, too.
	view := h.node.View().Clone()
	view.Apply(view.Revision+1, &pollenview.Command{Kind: pollenview.CommandEvacuate, Evacuation: late})
	if !view.DomainEvacuated("a") {
		t.Error("a command that was overtaken ended the evacuation")
	}
	late.Known = known()
	if a := order(late); a.Verdict != pollencontrol.VerdictDone || h.node.View().DomainEvacuated("a") {
		t.Errorf("order after the state was read again: %+v, want it done", a)
	}
}

// TestUpdateOmitsSupersededDeclarations guards against updates that grow with
// every declaration in the log. An update must contain one declaration at most,
// without its source, and still bring a view to the same state.
func TestUpdateOmitsSupersededDeclarations(t *testing.T) {
	h := newSingleHost(t)
	behind := pollenview.NewReplica(pollenview.NewView())
	behind.ApplyUpdate(h.node.UpdateSince(0))
	from := behind.Revision()
	for v := range uint64(20) {
		h.declare(declaration(v+1, "text"))
	}
	u := h.node.UpdateSince(from)
	declarations := 0
	for _, c := range u.Commands {
		if c.Declaration != nil {
			declarations++
			if len(c.Declaration.Source) > 0 {
				t.Error("the update contains the source of the declaration")
			}
		}
	}
	if behind.ApplyUpdate(u); declarations != 1 || behind.View().Declared.Version != 20 || behind.Revision() != h.node.View().Revision {
		t.Fatalf("update with %d declarations brings version %d at revision %d", declarations, behind.View().Declared.Version, behind.Revision())
	}
}
