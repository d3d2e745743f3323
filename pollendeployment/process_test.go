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

// testTimeout ends a test that hangs. No result depends on its value.
const testTimeout = 2 * time.Minute

var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the binary once for all tests and runs them.
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

// document returns a document with one service. The number of slots identifies
// the submission.
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

// mustSubmit submits a document until it is accepted. It resends with the same
// ID, because an attempt may take effect without an answer. Invalid input and a
// version conflict fail the test at once.
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
	t.Fatalf("submission %s: no outcome before the test timed out", id)
}

// currentVersion returns the version and the slots of the document that is in
// force.
func currentVersion(ctx context.Context, t *testing.T, s *pollendeployment.System) (version uint64, slots int) {
	t.Helper()
	d, err := s.CurrentDocument(ctx)
	if err != nil {
		t.Fatal(err)
	}
	section := d.Section("registry")
	return section.Version, section.Services[0].Slots
}

// waitForLeader returns the name of the leading control host once there is one.
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
	t.Fatal("no leader before the test timed out")
	return ""
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestControlKilledAndFrozen kills leaders and freezes them with SIGSTOP while
// documents are submitted. It guards against an accepted document that is lost
// after a leader change or after a restart of all control hosts, and against a
// former leader that returns an older document when it is resumed.
func TestControlKilledAndFrozen(t *testing.T) {
	t.Parallel()
	s, ctx := newSystem(t, controlLayout(71))
	must(t, s.StartControl(ctx))
	version := uint64(0)
	// Version n+1 of the section is submitted with 10+n slots.
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
			t.Fatalf("after resuming %s: version %d with %d slots is in force, want accepted version %d", frozen, got, slots, version)
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
		t.Fatalf("after a restart of all hosts: version %d with %d slots is in force, want accepted version %d", got, slots, version)
	}
}

// TestNoQuorumRefuses submits to a leader that has lost the majority. The
// submission has to be refused (exit code 1) or have an unknown outcome (exit
// code 3). The test guards against a refused submission that takes effect once
// the majority is back, and checks that a resend with the same ID is accepted then.
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
		t.Fatalf("submission without a majority: exit %d, %v; want exit 1 or 3", code, err)
	}
	for _, name := range others {
		must(t, s.Start("control", name))
	}
	waitForLeader(ctx, t, s)
	if _, slots := currentVersion(ctx, t, s); code == 1 && slots != 10 {
		t.Fatalf("a submission that was refused is in force: %d slots, want 10", slots)
	}
	if text, code, err := s.Submit(ctx, document(1, 11), "--id", "alone", "--no-wait"); err != nil || code != 0 {
		t.Fatalf("resent submission: exit %d, %v: %s", code, err, text)
	}
}

// TestLostDiskIsRepaired removes the data folder of a control host, repairs the
// host and removes another data folder as soon as the repair reports done. It
// guards against a repair that reports done before the replacement stores the
// accepted document and votes. It also checks that --found does not bootstrap a
// second system on the host that lost its data.
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
		t.Fatalf("after the second lost data folder: version %d with %d slots is in force, want version 1 with 10 slots", version, slots)
	}
	mustSubmit(ctx, t, s, 1, 11)
	text, code, err := s.RunCommand(ctx, "control", "--settings", filepath.Join(s.Folder(), second+".yaml"), "--found")
	if err != nil || code == 0 || !strings.Contains(text, "exists already") {
		t.Fatalf("bootstrap while a system exists: exit %d, %v: %s", code, err, text)
	}
}

// TestFeedsOutliveKilledProcesses kills and restarts two agents and a balancer,
// stops a third agent by SIGTERM, and checks that every open feed continues. An
// agent holds feeds and is the directory owner of others: the test guards against
// flows that are lost with either role, and against packets of a flow that reach
// another service.
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
	// Agents back up the records of new flows once per second; 15 lines take 3 s.
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
		t.Fatalf("%d requests reached a backend server of another service", n)
	}
}

// waitLines waits until every feed has received that many more lines.
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
