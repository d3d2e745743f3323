package pollennode_test

import (
	"context"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenstore"
	"pollenstep.example/pollenstep/pollenwire"
)

var keeperAddresses = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")}

// newKeeper returns a balancer with the data folder.
func newKeeper(t *testing.T, now time.Time, files pollenstore.FileSystem, folder string, transport pollennode.Transport, synchronous bool) *pollennode.Balancer {
	t.Helper()
	metrics, err := pollenmetric.NewSet("balancer", "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	return pollennode.NewBalancer(now, pollennode.Settings{
		Domain: "a", Domains: []pollendocument.DomainName{"a", "b"}, Node: keeperAddresses[0], Format: pollenpacket.Plain{}, DataFolder: folder,
	}, pollennode.Dependencies{
		Transport: transport, Metrics: metrics, Log: pollenrecord.New(io.Discard, logrus.PanicLevel, nil), Seed: 1, Files: files, Synchronous: synchronous,
	})
}

// introduce passes a gate the heartbeat of a balancer with a disk.
func introduce(g *pollennode.Gate, now time.Time, address netip.AddrPort, domain pollendocument.DomainName) {
	heartbeat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
		Address: address, Role: pollenpeer.RoleBalancer, Domain: domain, Incarnation: 1, Sequence: 1, Disk: true,
	}}
	g.HandleMessage(now, address, pollenlink.KindHeartbeat, pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
}

// take returns the messages of the kind that were sent since the last call.
func (r *resetTransport) take(kind pollenlink.Kind) (taken []sentMessage) {
	for _, m := range r.messages {
		if m.kind == kind {
			taken = append(taken, m)
		}
	}
	r.messages = nil
	return taken
}

// TestPowerLossResetsFlows guards against flows that are lost together with the gate that
// knew them: the checkpoint must reach both keepers and their files, and return to the
// gate's next process, which resets the flows, even if one keeper or its file is lost.
func TestPowerLossResetsFlows(t *testing.T) {
	for name, c := range map[string]struct {
		// damage changes the file of the keeper that answers; nil means none.
		damage func(path string) error
		resets int
	}{
		"file":         {nil, 2},
		"damaged file": {func(path string) error { return os.WriteFile(path, []byte("damaged"), 0o600) }, 0},
		"lost file":    {os.Remove, 0},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			gateSide, keeperSide := &resetTransport{}, &resetTransport{}
			k := newKeeper(t, gateStart, pollenstore.Disk{}, folder, keeperSide, true)
			g := newGate(t, gateStart, gateSide)
			introduce(g, gateStart, keeperAddresses[0], "a")
			introduce(g, gateStart, keeperAddresses[1], "b")
			g.HandleReport(gateStart, serverReport(1))
			openPortFlow(g, gateStart, 7)
			openPortFlow(g, gateStart, 3)
			now := gateStart.Add(4 * time.Second)
			g.Tick(now)
			sent := gateSide.take(pollenlink.KindCheckpoint)
			if len(sent) != 2 || sent[0].to != keeperAddresses[0] || sent[1].to != keeperAddresses[1] {
				t.Fatalf("checkpoints sent: %+v; want one to each keeper", sent)
			}
			k.HandleMessage(now, gateAddress, pollenlink.KindCheckpoint, sent[0].message)
			k.TickControl(now)
			if c.damage != nil {
				if err := c.damage(filepath.Join(folder, "checkpoints")); err != nil {
					t.Fatal(err)
				}
			}
			// All processes start again. The request arrives before the file is read.
			now = now.Add(time.Minute)
			k = newKeeper(t, now, pollenstore.Disk{}, folder, keeperSide, true)
			g = newGate(t, now, gateSide)
			introduce(g, now, keeperAddresses[0], "a")
			for range 2 {
				g.Tick(now)
			}
			asked := gateSide.take(pollenlink.KindRestore)
			if len(asked) != 1 {
				t.Fatalf("%d requests; want one for the keeper", len(asked))
			}
			k.HandleMessage(now, gateAddress, pollenlink.KindRestore, asked[0].message)
			k.TickControl(now)
			g.HandleReport(now, serverReport(2))
			for _, m := range keeperSide.take(pollenlink.KindRestored) {
				g.HandleMessage(now, keeperAddresses[1], m.kind, m.message)
				if len(gateSide.resets) != 0 {
					t.Fatal("an answer of a node that was not asked is accepted")
				}
				g.HandleMessage(now, keeperAddresses[0], m.kind, m.message)
			}
			if len(gateSide.resets) != c.resets {
				t.Fatalf("resets %+v; want %d", gateSide.resets, c.resets)
			}
		})
	}
}

// TestCheckpointOfAnotherGate guards against a node that replaces the checkpoint of a
// gate or asks for it.
func TestCheckpointOfAnotherGate(t *testing.T) {
	transport := &resetTransport{}
	k := newKeeper(t, gateStart, pollenstore.Disk{}, t.TempDir(), transport, true)
	k.TickControl(gateStart)
	c := pollencheckpoint.Checkpoint{Gate: gateAddress, Server: "i-1", Incarnation: 1, Counter: 1, Flows: []pollencheckpoint.Flow{{Flow: portFlow(1)}}}
	message := pollenwire.Marshal(&c, pollenwire.MapCheckpoint)
	request := pollenwire.Marshal(&gateAddress, pollenwire.MapRestoreRequest)
	k.HandleMessage(gateStart, keeperAddresses[1], pollenlink.KindCheckpoint, message)
	k.HandleMessage(gateStart, gateAddress, pollenlink.KindRestore, request)
	if n := len(transport.take(pollenlink.KindRestored)); n != 0 {
		t.Fatalf("%d answers with a forged checkpoint", n)
	}
	k.HandleMessage(gateStart, gateAddress, pollenlink.KindCheckpoint, message)
	k.HandleMessage(gateStart, keeperAddresses[1], pollenlink.KindRestore, request)
	if n := len(transport.take(pollenlink.KindRestored)); n != 0 {
		t.Fatalf("%d answers to another node", n)
	}
	k.HandleMessage(gateStart, gateAddress, pollenlink.KindRestore, request)
	if n := len(transport.take(pollenlink.KindRestored)); n != 1 {
		t.Fatalf("%d answers to the gate", n)
	}
}

// A stalledDisk blocks every read until released is closed.
type stalledDisk struct {
	pollenstore.Disk
	entered, released chan struct{}
}

func (s *stalledDisk) ReadFile(path string) ([]byte, error) {
	close(s.entered)
	<-s.released
	return s.Disk.ReadFile(path)
}

// TestStalledDiskBlocksNothing guards against messages and ticks of a balancer that wait
// for the disk of the checkpoints. While the disk stalls, checkpoints are kept in memory
// and returned from there.
func TestStalledDiskBlocksNothing(t *testing.T) {
	transport := &resetTransport{}
	disk := &stalledDisk{entered: make(chan struct{}), released: make(chan struct{})}
	k := newKeeper(t, gateStart, disk, t.TempDir(), transport, false)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- k.ServeCheckpoints(ctx) }()
	<-disk.entered
	c := pollencheckpoint.Checkpoint{Gate: gateAddress, Server: "i-1", Incarnation: 1, Counter: 1, Flows: []pollencheckpoint.Flow{{Flow: portFlow(1)}}}
	k.HandleMessage(gateStart, gateAddress, pollenlink.KindCheckpoint, pollenwire.Marshal(&c, pollenwire.MapCheckpoint))
	k.HandleMessage(gateStart, gateAddress, pollenlink.KindRestore, pollenwire.Marshal(&gateAddress, pollenwire.MapRestoreRequest))
	k.Tick(gateStart)
	if n := len(transport.take(pollenlink.KindRestored)); n != 1 {
		t.Fatalf("%d answers while the disk stalls", n)
	}
	cancel()
	close(disk.released)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
