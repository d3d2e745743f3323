package pollennode

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenstore"
	"pollenstep.example/pollenstep/pollenwire"
)

// Limits of a keeper.
const (
	// keepInterval is the interval at which changed checkpoints are written.
	keepInterval = 2 * time.Second
	// writeShare bounds the share of time for which checkpoints are written to 1 in
	// writeShare, since the log is on the same disk.
	writeShare = 10
	// maxWaitingGates bounds the gates that wait until the file is read.
	maxWaitingGates = 8192
)

// A keeper keeps the checkpoints of gates on a balancer with a disk. It reads and writes
// its file in a goroutine of its own, so that a stalled disk blocks nothing else.
type keeper struct {
	balancer    *Balancer
	files       pollenstore.FileSystem
	synchronous bool

	// The fields below are used only by the goroutine that reads and writes. writeAt is
	// when the next write is due in a program that runs in a single goroutine, and
	// failing is set while writes fail.
	writeAt time.Time
	failing bool

	// mu guards the fields below. It is not held while the disk is used.
	mu sync.Mutex
	// checkpoints are those received and, once read is set, those of the file.
	checkpoints *pollencheckpoint.Keeper
	read        bool
	// waiting holds the gates that have asked for their checkpoint before read was set.
	waiting []netip.AddrPort
}

func newKeeper(b *Balancer, deps Dependencies) *keeper {
	return &keeper{balancer: b, files: deps.Files, synchronous: deps.Synchronous, checkpoints: pollencheckpoint.NewKeeper()}
}

// handleKeeperMessage handles a message of a gate about its checkpoint. A balancer
// without a disk ignores it: the gate knows an earlier process at the same address.
func (b *Balancer) handleKeeperMessage(now time.Time, from netip.AddrPort, kind pollenlink.Kind, message []byte) {
	switch {
	case b.keeper == nil:
	case kind == pollenlink.KindCheckpoint:
		if c, ok := decode(now, b.base, from, kind, message, pollenwire.MapCheckpoint); ok {
			b.keeper.handleCheckpoint(now, from, &c)
		}
	default:
		if gate, ok := decode(now, b.base, from, kind, message, pollenwire.MapRestoreRequest); ok && gate == from {
			b.keeper.handleRestore(from)
		}
	}
}

// handleCheckpoint keeps the checkpoint of the gate at from.
func (k *keeper) handleCheckpoint(now time.Time, from netip.AddrPort, c *pollencheckpoint.Checkpoint) {
	if c.Gate != from {
		k.balancer.countMalformed(now, from, c.Size(), "checkpoint of another gate")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkpoints.Add(now, c)
}

// handleRestore sends the gate at from its checkpoint, now or when the file is read.
func (k *keeper) handleRestore(from netip.AddrPort) {
	k.mu.Lock()
	c, held := k.checkpoints.Get(from)
	if !k.read && len(k.waiting) < maxWaitingGates {
		k.waiting = append(k.waiting, from)
	}
	k.mu.Unlock()
	if held {
		k.answer(from, &c)
	}
}

// answer sends a gate its checkpoint, unless that holds no flows.
func (k *keeper) answer(gate netip.AddrPort, c *pollencheckpoint.Checkpoint) {
	if len(c.Flows) > 0 {
		k.balancer.transport.SendMessage(pollenlink.KindRestored, pollenwire.Marshal(c, pollenwire.MapCheckpoint), gate)
	}
}

// tick reads the file if that was not done, and writes it if the checkpoints have
// changed since the last time.
func (k *keeper) tick(now time.Time) {
	if !k.read {
		k.load(now)
	}
	k.mu.Lock()
	k.checkpoints.Sweep(now)
	all, changed := k.checkpoints.TakeChanged()
	k.mu.Unlock()
	if !changed {
		return
	}
	err := pollenstore.WriteCheckpoints(k.files, k.balancer.settings.DataFolder, all)
	if err != nil {
		k.mu.Lock()
		k.checkpoints.MarkChanged()
		k.mu.Unlock()
	}
	if failing := err != nil; failing != k.failing {
		k.failing = failing
		if failing {
			k.balancer.log.Warn("checkpoints cannot be written", err, pollenrecord.Fields{"gates": len(all)})
		} else {
			k.balancer.log.Info("checkpoints are written again", pollenrecord.Fields{"gates": len(all)})
		}
	}
}

// load reads the file and answers the gates that wait for it. A file that cannot be read
// counts as empty: without checkpoints, flows are found by search. The answers come from
// the file: its checkpoints are those of the time before the restart that the gates ask
// for, which newer ones may have replaced by now.
func (k *keeper) load(now time.Time) {
	stored, err := pollenstore.ReadCheckpoints(k.files, k.balancer.settings.DataFolder)
	if err != nil {
		k.balancer.log.Warn("checkpoints cannot be read; starting without them", err, nil)
	}
	byGate := map[netip.AddrPort]*pollencheckpoint.Checkpoint{}
	k.mu.Lock()
	for i := range stored {
		byGate[stored[i].Gate] = &stored[i]
		k.checkpoints.Add(now, &stored[i])
	}
	k.read = true
	waiting := k.waiting
	k.waiting = nil
	k.mu.Unlock()
	k.balancer.log.Info("checkpoints read", pollenrecord.Fields{"gates": len(stored), "waiting": len(waiting)})
	for _, gate := range waiting {
		if c := byGate[gate]; c != nil {
			k.answer(gate, c)
		}
	}
}

// tickSynchronous calls tick when it is due.
func (k *keeper) tickSynchronous(now time.Time) {
	if now.Before(k.writeAt) {
		return
	}
	k.writeAt = now.Add(keepInterval)
	k.tick(now)
}

// ServeCheckpoints reads and writes the checkpoints of gates until the context ends. The
// balancer must have a data folder.
func (b *Balancer) ServeCheckpoints(ctx context.Context) error {
	for {
		started := time.Now()
		b.keeper.tick(started)
		wait := max(keepInterval, (writeShare-1)*time.Since(started))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}
