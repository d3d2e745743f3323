package pollendeployment_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendeployment"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenstandin"
)

// testBound ends a test that hangs; no outcome depends on it.
const testTimeout = 2 * time.Minute

var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the program once for all tests.
func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "pollenstep-test-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "pollenstep")
	build := exec.Command("go", "build", "-o", binary, "pollenstep.example/pollenstep/cmd/pollenstep")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, output))
	}
	return m.Run()
}

func newSystem(t *testing.T, layout pollendeployment.Layout) (*pollendeployment.System, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	folder := t.TempDir()
	s, err := pollendeployment.New(layout, binary, folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, ctx
}

func controlLayout(network int) pollendeployment.Layout {
	return pollendeployment.Layout{
		Network: network, Domains: []pollendocument.DomainName{"celje-a", "celje-b", "velenje"}, Control: 3,
	}
}

// document returns a document whose only service has the number of slots.
func document(version uint64, slots int) *pollendocument.Document {
	d := &pollendocument.Document{}
	d.Put(pollendocument.Section{Team: pollendocument.DomainsTeam, Domains: []pollendocument.Domain{
		{Name: "celje-a", State: pollendocument.DomainIn},
	}})
	d.Put(pollendocument.Section{Team: "registry", Version: version, Services: []pollendocument.Service{{
		Name: "rings", Address: netip.MustParseAddrPort("127.0.9.1:4430"), Delivery: pollendocument.DeliveryHTTP,
		Slots: slots, ConnectionLimit: 10, ColdLimit: 1, QueueLimit: 1, RequestTimeout: time.Second, Retention: time.Minute, IdleTimeout: time.Minute,
	}}})
	return d
}

// mustSubmit submits until it is accepted, resending with the same ID.
func mustSubmit(ctx context.Context, t *testing.T, s *pollendeployment.System, version uint64, slots int) {
	t.Helper()
	id := fmt.Sprintf("change-%d", version)
	for ctx.Err() == nil {
		text, code, err := s.Submit(ctx, document(version, slots), "--id", id, "--wait", "3s", "--no-wait")
		if err == nil && code == 0 {
			return
		}
		if code == 2 || strings.Contains(text, "is at version") {
			t.Fatalf("submission %s: exit %d: %s", id, code, text)
		}
	}
	t.Fatalf("submission %s was not decided", id)
}

func currentVersion(ctx context.Context, t *testing.T, s *pollendeployment.System) (version uint64, slots int) {
	t.Helper()
	d, err := s.CurrentDocument(ctx)
	if err != nil {
		t.Fatal(err)
	}
	section := d.Section("registry")
	return section.Version, section.Services[0].Slots
}

func waitForLeader(ctx context.Context, t *testing.T, s *pollendeployment.System) string {
	t.Helper()
	for ctx.Err() == nil {
		status, err := s.Status(ctx)
		if err != nil {
			continue
		}
		for i := 1; i <= s.Layout.Control; i++ {
			if status.Leader == s.Layout.ControlAddress(i).String() {
				return fmt.Sprintf("control-%d", i)
			}
		}
	}
	t.Fatal("no leader")
	return ""
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestControlKilledAndFrozen kills and freezes leaders while documents are
// submitted; what was accepted stays, and a thawed leader shows nothing older.
func TestControlKilledAndFrozen(t *testing.T) {
	t.Parallel()
	s, ctx := newSystem(t, controlLayout(71))
	must(t, s.StartControl(ctx))
	version := uint64(0)
	submitNext := func() {
		mustSubmit(ctx, t, s, version, 10+int(version))
		version++
	}
	submitNext()
	for range 2 {
		killed := waitForLeader(ctx, t, s)
		must(t, s.Stop(killed, syscall.SIGKILL, testTimeout))
		submitNext()
		must(t, s.Start("control", killed))
		submitNext()
		frozen := waitForLeader(ctx, t, s)
		must(t, s.Signal(frozen, syscall.SIGSTOP))
		submitNext()
		must(t, s.Signal(frozen, syscall.SIGCONT))
		if got, slots := currentVersion(ctx, t, s); got != version || slots != 9+int(version) {
			t.Fatalf("after a thaw version %d with %d slots is shown; accepted was version %d", got, slots, version)
		}
		submitNext()
	}
	for i := 1; i <= 3; i++ {
		must(t, s.Stop(fmt.Sprintf("control-%d", i), syscall.SIGKILL, testTimeout))
	}
	for i := 1; i <= 3; i++ {
		must(t, s.Start("control", fmt.Sprintf("control-%d", i)))
	}
	waitForLeader(ctx, t, s)
	if got, slots := currentVersion(ctx, t, s); got != version || slots != 9+int(version) {
		t.Fatalf("after all hosts were killed version %d with %d slots is there; accepted was version %d", got, slots, version)
	}
}

// TestNoQuorumRefuses checks that with a majority gone a submission is refused
// or unknown, and that the refusal is true.
func TestNoQuorumRefuses(t *testing.T) {
	t.Parallel()
	s, ctx := newSystem(t, controlLayout(72))
	must(t, s.StartControl(ctx))
	mustSubmit(ctx, t, s, 0, 10)
	first := waitForLeader(ctx, t, s)
	var others []string
	for i := 1; i <= 3; i++ {
		if name := fmt.Sprintf("control-%d", i); name != first {
			others = append(others, name)
		}
	}
	for _, name := range others {
		must(t, s.Stop(name, syscall.SIGKILL, testTimeout))
	}
	_, code, err := s.Submit(ctx, document(1, 11), "--id", "alone", "--wait", "3s", "--no-wait")
	if err != nil || (code != 1 && code != 3) {
		t.Fatalf("submission without a majority: exit %d, %v", code, err)
	}
	for _, name := range others {
		must(t, s.Start("control", name))
	}
	waitForLeader(ctx, t, s)
	if _, slots := currentVersion(ctx, t, s); code == 1 && slots != 10 {
		t.Fatalf("a submission that was refused as not run is in force")
	}
	if text, code, err := s.Submit(ctx, document(1, 11), "--id", "alone", "--no-wait"); err != nil || code != 0 {
		t.Fatalf("resent submission: exit %d, %v: %s", code, err, text)
	}
}

// TestLostDiskIsRepaired removes a data folder, repairs the host, then loses a
// second one straight after.
func TestLostDiskIsRepaired(t *testing.T) {
	t.Parallel()
	s, ctx := newSystem(t, controlLayout(73))
	must(t, s.StartControl(ctx))
	mustSubmit(ctx, t, s, 0, 10)
	first := waitForLeader(ctx, t, s)
	lost, second := "", ""
	number := 0
	for i := 1; i <= 3; i++ {
		switch name := fmt.Sprintf("control-%d", i); {
		case name == first:
		case lost == "":
			lost, number = name, i
		default:
			second = name
		}
	}
	must(t, s.Stop(lost, syscall.SIGKILL, testTimeout))
	must(t, s.RemoveData(lost))
	must(t, s.Start("control", lost))
	address := s.Layout.ControlAddress(number).String()
	for {
		text, code, err := s.RunCommand(ctx, "repair", address)
		if err == nil && code == 0 {
			break
		}
		if ctx.Err() != nil {
			t.Fatalf("repair: exit %d, %v: %s", code, err, text)
		}
	}
	must(t, s.Stop(second, syscall.SIGKILL, testTimeout))
	must(t, s.RemoveData(second))
	waitForLeader(ctx, t, s)
	if version, slots := currentVersion(ctx, t, s); version != 1 || slots != 10 {
		t.Fatalf("after the second loss version %d with %d slots is there", version, slots)
	}
	mustSubmit(ctx, t, s, 1, 11)
	text, code, err := s.RunCommand(ctx, "control", "--settings", filepath.Join(s.Folder(), second+".yaml"), "--found")
	if err != nil || code == 0 || !strings.Contains(text, "exists already") {
		t.Fatalf("founding beside a system: exit %d, %v: %s", code, err, text)
	}
}

// TestFeedsOutliveKilledProcesses kills an agent that holds feeds, a home agent
// and a balancer, freezes another one, and checks that the feeds go on.
func TestFeedsOutliveKilledProcesses(t *testing.T) {
	t.Parallel()
	layout := pollendeployment.QuickstartLayout()
	layout.Network = 74
	for i := range layout.Services {
		layout.Services[i].Service.Address = layout.ServiceAddress(i)
	}
	layout.Services = layout.Services[1:2]
	s, ctx := newSystem(t, layout)
	must(t, s.StartAll(ctx))
	var feeds []*pollenstandin.Feed
	for i := range 9 {
		caller := pollenstandin.NewCaller(layout.Services[0].Service.Address, s.CallerTLS(), s.Tally)
		f, err := caller.OpenFeed(ctx, fmt.Sprintf("/feed/%d", i))
		must(t, err)
		t.Cleanup(f.Close)
		feeds = append(feeds, f)
	}
	// Records of new flows are copied once a second.
	waitLines(ctx, t, feeds, 15)
	for _, name := range []string{"feed-1", "feed-2"} {
		must(t, s.Stop(name, syscall.SIGKILL, testTimeout))
		must(t, s.Start("agent", name))
		waitLines(ctx, t, feeds, 5)
	}
	must(t, s.Stop("balancer-1", syscall.SIGKILL, testTimeout))
	waitLines(ctx, t, feeds, 5)
	must(t, s.Start("balancer", "balancer-1"))
	must(t, s.Stop("feed-3", syscall.SIGTERM, testTimeout))
	must(t, s.Start("agent", "feed-3"))
	waitLines(ctx, t, feeds, 5)
	if n := s.Tally.Get(pollenstandin.CountMisrouted); n != 0 {
		t.Fatalf("%d packets reached another service", n)
	}
}

// waitLines waits until every feed has brought so many lines more.
func waitLines(ctx context.Context, t *testing.T, feeds []*pollenstandin.Feed, more int) {
	t.Helper()
	const poll = 20 * time.Millisecond
	wanted := make([]int, len(feeds))
	for i, f := range feeds {
		wanted[i] = f.Lines() + more
	}
	for i, f := range feeds {
		for f.Lines() < wanted[i] {
			if failure := f.Failure(time.Now(), testTimeout); failure != "" || ctx.Err() != nil {
				t.Fatalf("feed %d from %s: %s %v", i, f.Server(), failure, ctx.Err())
			}
			time.Sleep(poll)
		}
	}
}
