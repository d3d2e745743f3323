package pollencheckpoint

import (
	"net/netip"
	"slices"
	"time"
)

// Limits of a Keeper.
const (
	// MaxKept is the maximum size of the kept checkpoints in bytes.
	MaxKept = 8 << 20
	// keepTime is the time after which a checkpoint is removed that its gate does not
	// send again. It is ten times repeatInterval, and longer than the restart of a host.
	keepTime = 5 * time.Minute
)

// kept is a checkpoint that a Keeper holds.
type kept struct {
	Checkpoint
	receivedAt time.Time
}

// A Keeper holds the newest checkpoint of each gate. It is not safe for concurrent use.
type Keeper struct {
	gates map[netip.AddrPort]*kept
	// size is the sum of the sizes of all checkpoints, at most MaxKept.
	size int
	// changed is set while TakeChanged has not returned the content.
	changed bool
}

// NewKeeper returns an empty Keeper.
func NewKeeper() *Keeper { return &Keeper{gates: map[netip.AddrPort]*kept{}} }

// Add keeps a checkpoint that was received at now, or returns false if the keeper holds
// one as new. It retains the flows. If there is no room, the checkpoints that were
// received the longest time ago are removed.
func (k *Keeper) Add(now time.Time, c *Checkpoint) bool {
	held := k.gates[c.Gate]
	if held != nil && !c.Newer(&held.Checkpoint) || len(c.Flows) > MaxFlows {
		return false
	}
	k.remove(c.Gate)
	for k.size+c.Size() > MaxKept {
		k.remove(k.oldest())
	}
	k.gates[c.Gate] = &kept{Checkpoint: *c, receivedAt: now}
	k.size += c.Size()
	k.changed = true
	return true
}

// oldest returns the gate whose checkpoint was received the longest time ago.
func (k *Keeper) oldest() (oldest netip.AddrPort) {
	var at time.Time
	for a, c := range k.gates {
		if !oldest.IsValid() || c.receivedAt.Before(at) || c.receivedAt.Equal(at) && a.Compare(oldest) < 0 {
			oldest, at = a, c.receivedAt
		}
	}
	return oldest
}

func (k *Keeper) remove(gate netip.AddrPort) {
	if held := k.gates[gate]; held != nil {
		k.size -= held.Size()
		delete(k.gates, gate)
		k.changed = true
	}
}

// Get returns the checkpoint of a gate; ok is false if there is none.
func (k *Keeper) Get(gate netip.AddrPort) (c Checkpoint, ok bool) {
	held, ok := k.gates[gate]
	if !ok {
		return Checkpoint{}, false
	}
	return held.Checkpoint, true
}

// Count returns the number of checkpoints.
func (k *Keeper) Count() int { return len(k.gates) }

// Sweep removes the checkpoints that their gates no longer send.
func (k *Keeper) Sweep(now time.Time) {
	for a, c := range k.gates {
		if now.Sub(c.receivedAt) >= keepTime {
			k.remove(a)
		}
	}
}

// TakeChanged returns the checkpoints, sorted by gate. changed is false if they are
// those of the last call.
func (k *Keeper) TakeChanged() (all []Checkpoint, changed bool) {
	if !k.changed {
		return nil, false
	}
	k.changed = false
	for _, c := range k.gates {
		all = append(all, c.Checkpoint)
	}
	slices.SortFunc(all, func(a, b Checkpoint) int { return a.Gate.Compare(b.Gate) })
	return all, true
}

// MarkChanged makes TakeChanged return the content again, after a write has failed.
func (k *Keeper) MarkChanged() { k.changed = true }
