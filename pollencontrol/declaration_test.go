package pollencontrol_test

import (
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// alone is a control host without others, driven by hand.
type alone struct {
	t     *testing.T
	now   time.Time
	node  *pollencontrol.Node
	token pollencontrol.Token
}

func newAlone(t *testing.T) *alone {
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
			ID: 1, Address: at, ElectionTimeout: time.Second, HeartbeatInterval: 200 * time.Millisecond, MaxAppendEntries: 8,
		},
		Codec: pollenwire.ControlCodec{}, Lease: time.Second, CheckInterval: time.Second, CompactEvery: 1000,
		Guard: pollencontrol.HalfGuard{}, PendingTimeout: time.Second, Replicas: 3, AutoRepair: true,
	}, stored)
	if err != nil {
		t.Fatal(err)
	}
	a := &alone{t: t, now: now, node: node}
	for range 3 {
		a.now = a.now.Add(time.Second)
		a.node.Step(a.now, pollencontrol.Tick{})
	}
	return a
}

// ask passes an event and returns its answer.
func (a *alone) ask(event func(t pollencontrol.Token) pollencontrol.Event) pollencontrol.Answer {
	a.t.Helper()
	a.token++
	for _, action := range a.node.Step(a.now, event(a.token)) {
		if r, ok := action.(pollencontrol.Reply); ok && r.Token == a.token {
			return r.Answer
		}
	}
	a.t.Fatalf("event %d was not answered", a.token)
	return pollencontrol.Answer{}
}

func (a *alone) declare(d pollendocument.Declaration) pollencontrol.Answer {
	a.t.Helper()
	return a.ask(func(t pollencontrol.Token) pollencontrol.Event {
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

// TestHighestVersionIsInForce sends versions out of order, again, and with other
// content: each is answered as done, and only higher ones change anything.
func TestHighestVersionIsInForce(t *testing.T) {
	a := newAlone(t)
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
		if answer := a.declare(declaration(step.version, step.source)); answer.Verdict != pollencontrol.VerdictDone {
			t.Fatalf("version %d: %+v", step.version, answer)
		}
		answer := a.ask(func(t pollencontrol.Token) pollencontrol.Event { return pollencontrol.Query{Token: t} })
		if got := string(answer.State.View.Declared.Source); got != step.want {
			t.Fatalf("after version %d, %q is in force; want %q", step.version, got, step.want)
		}
	}
}

func TestInvalidDeclarationIsRefused(t *testing.T) {
	a := newAlone(t)
	for name, spoil := range map[string]func(d *pollendocument.Declaration){
		"unknown service": func(d *pollendocument.Declaration) { d.Routes[0].Shares[0].Service = "sheets" },
		"same address":    func(d *pollendocument.Declaration) { d.Routes = append(d.Routes, d.Routes[0]) },
		"no timeout":      func(d *pollendocument.Declaration) { d.Routes[0].Timeout = 0 },
		"no weight":       func(d *pollendocument.Declaration) { d.Routes[0].Shares[0].Weight = 0 },
		"no service":      func(d *pollendocument.Declaration) { d.Routes[0].Shares = nil },
		"kind":            func(d *pollendocument.Declaration) { d.Routes[0].Kind = "other" },
	} {
		d := declaration(7, "seven")
		spoil(&d)
		if answer := a.declare(d); answer.Verdict != pollencontrol.VerdictRefused {
			t.Errorf("%s: %+v", name, answer)
		}
	}
	if v := a.node.View().Declared.Version; v != 0 {
		t.Errorf("version %d is in force", v)
	}
}

func TestEmptiedDomains(t *testing.T) {
	a := newAlone(t)
	for _, e := range []pollenview.Evacuation{
		{Domain: "b", Evacuated: true}, {Domain: "a", Evacuated: true}, {Domain: "b", Evacuated: true}, {Domain: "a"}, {Domain: "c"},
	} {
		answer := a.ask(func(t pollencontrol.Token) pollencontrol.Event {
			return pollencontrol.Evacuate{Token: t, Evacuation: e}
		})
		if answer.Verdict != pollencontrol.VerdictDone {
			t.Fatalf("%+v: %+v", e, answer)
		}
		if a.node.View().DomainEvacuated(e.Domain) != e.Evacuated {
			t.Fatalf("%+v: emptied are %v", e, a.node.View().Evacuated)
		}
	}
}

// TestCatchingUpSkipsOvertakenDocuments checks that an update holds one document
// at most, without its source, and still brings a view to the same state.
func TestCatchingUpSkipsOvertakenDocuments(t *testing.T) {
	a := newAlone(t)
	behind := pollenview.NewReplica(pollenview.NewView())
	behind.ApplyUpdate(a.node.UpdateSince(0))
	from := behind.Revision()
	for v := range uint64(20) {
		a.declare(declaration(v+1, "text"))
	}
	u := a.node.UpdateSince(from)
	documents := 0
	for _, c := range u.Commands {
		if c.Declaration != nil {
			documents++
			if len(c.Declaration.Source) > 0 {
				t.Error("the update carries the source")
			}
		}
	}
	if behind.ApplyUpdate(u); documents != 1 || behind.View().Declared.Version != 20 || behind.Revision() != a.node.View().Revision {
		t.Fatalf("%d documents bring version %d at revision %d", documents, behind.View().Declared.Version, behind.Revision())
	}
}
