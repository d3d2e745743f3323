// Package pollenshare divides a resource that is in demand between its callers by max-min
// fairness: what a caller leaves unused is divided between those that ask for more.
package pollenshare

import (
	"math"
	"time"
)

// Limits of a Table.
const (
	// MaxCallers bounds the callers of a Table.
	MaxCallers = 1024
	// window is the time constant by which what was asked and taken decays.
	window = 2 * time.Second
	// idleTimeout is the time without a request after which a caller is removed; less
	// than 2% of what it took is left by then.
	idleTimeout = 4 * window
	// tolerance is how far above the share a caller may be. It covers changes
	// between the times at which the share is computed. A heavy caller within the
	// tolerance can hold what light ones lack: with 1.2, light callers got 45 of 200 flows
	// in a replay where they get 188 now.
	tolerance = 1.02
	// rounding is the relative error of sums up to which a demand counts as met.
	rounding = 1e-9
	// refreshInterval is the age up to which a computed share is used, since it takes
	// several passes over the table.
	refreshInterval = 50 * time.Millisecond
	// maxGrowth is the number of windows after which the weight of new amounts is reset
	// to 1, so that it remains a finite number.
	maxGrowth = 100
)

// A Table holds what each caller asked for and took in about the last two seconds. K
// identifies a caller. It is not safe for concurrent use.
type Table[K comparable] struct {
	// callers has at most MaxCallers entries, and index the position of each. demands has
	// the demand of each, so that the smallest is found in one pass over 8 kB.
	callers []usage[K]
	demands []float64
	index   map[K]int
	// origin is the time at which amounts have the weight 1. Later amounts are multiplied
	// by a weight that grows with time, which makes all earlier ones decay at once.
	origin time.Time
	// share is the max-min share when it was computed at refreshedAt, without a weight, and
	// infinite if every caller got what it asked for.
	share       float64
	refreshedAt time.Time
}

// A usage is what one caller asked for and took, weighted by the time of each amount.
type usage[K comparable] struct {
	caller       K
	asked, taken float64
	last         time.Time
}

// demand is what the caller would take of an unlimited resource. A caller takes without
// asking where it cannot be refused.
func (u *usage[K]) demand() float64 { return max(u.asked, u.taken) }

// New returns an empty Table.
func New[K comparable]() *Table[K] {
	return &Table[K]{index: map[K]int{}, share: math.Inf(1)}
}

// Len returns the number of callers in the table.
func (t *Table[K]) Len() int { return len(t.callers) }

// Ask records that the caller asks for an amount, whether or not it gets it.
func (t *Table[K]) Ask(now time.Time, caller K, amount float64) {
	w := t.weight(now)
	i := t.position(now, caller)
	t.callers[i].asked += amount * w
	t.demands[i] = t.callers[i].demand()
}

// Add records that the caller took an amount.
func (t *Table[K]) Add(now time.Time, caller K, amount float64) {
	w := t.weight(now)
	i := t.position(now, caller)
	t.callers[i].taken += amount * w
	t.demands[i] = t.callers[i].demand()
}

// Exceeds reports whether the caller took more than its max-min share of what was taken in
// total, by more than a tolerance. It is false while there is no other caller, and while
// all got what they asked for.
func (t *Table[K]) Exceeds(now time.Time, caller K) bool {
	t.refresh(now)
	i, known := t.index[caller]
	return known && len(t.callers) > 1 && t.callers[i].taken > t.share*t.weight(now)*tolerance
}

// Contended reports whether there are several callers, and some of them did not get what
// they asked for.
func (t *Table[K]) Contended(now time.Time) bool {
	t.refresh(now)
	return len(t.callers) > 1 && !math.IsInf(t.share, 1)
}

// Below reports whether the caller asks for no more than its share, while the table is
// Contended. A caller that asks for more is not below its share at any time, even if
// refusals keep what it takes there.
func (t *Table[K]) Below(now time.Time, caller K) bool {
	if !t.Contended(now) {
		return false
	}
	i, known := t.index[caller]
	return !known || t.demands[i] <= t.share*t.weight(now)
}

// position returns the position of the caller, whose entry replaces the smallest one if it is new and
// the table is full.
func (t *Table[K]) position(now time.Time, caller K) int {
	i, known := t.index[caller]
	if !known {
		if len(t.callers) >= MaxCallers {
			t.remove(t.smallest())
		}
		i = len(t.callers)
		t.index[caller] = i
		t.callers = append(t.callers, usage[K]{caller: caller})
		t.demands = append(t.demands, 0)
	}
	t.callers[i].last = now
	return i
}

// smallest returns the position of the caller with the least demand.
func (t *Table[K]) smallest() int {
	least, at := math.Inf(1), 0
	for i, d := range t.demands {
		if d < least {
			least, at = d, i
		}
	}
	return at
}

// remove removes the caller at a position. What it took no longer counts in the total,
// which is divided between the callers in the table.
func (t *Table[K]) remove(i int) {
	delete(t.index, t.callers[i].caller)
	last := len(t.callers) - 1
	if i != last {
		t.callers[i], t.demands[i] = t.callers[last], t.demands[last]
		t.index[t.callers[i].caller] = i
	}
	t.callers, t.demands = t.callers[:last], t.demands[:last]
}

// weight returns the weight of an amount now.
func (t *Table[K]) weight(now time.Time) float64 {
	if t.origin.IsZero() {
		t.origin = now
	}
	age := now.Sub(t.origin).Seconds() / window.Seconds()
	if age <= maxGrowth {
		return math.Exp(age)
	}
	scale := math.Exp(-age)
	for i := range t.callers {
		t.callers[i].asked *= scale
		t.callers[i].taken *= scale
		t.demands[i] *= scale
	}
	t.origin = now
	return 1
}

// refresh removes idle callers and computes the share: the level up to which all demands
// can be met by what was taken in total. Demands below it are met in full.
func (t *Table[K]) refresh(now time.Time) {
	if age := now.Sub(t.refreshedAt); age >= 0 && age < refreshInterval {
		return
	}
	t.refreshedAt = now
	total, w := 0.0, t.weight(now)
	for i := len(t.callers) - 1; i >= 0; i-- {
		if now.Sub(t.callers[i].last) >= idleTimeout {
			t.remove(i)
			continue
		}
		total += t.callers[i].taken
	}
	// The level only rises from pass to pass, since a demand below it leaves more to the
	// others than an equal part. It ends once no further demand is below it.
	level := 0.0
	for met := -1; ; {
		left, below := total, 0
		for _, d := range t.demands {
			if d <= level*(1+rounding) {
				left -= d
				below++
			}
		}
		if below == len(t.callers) {
			t.share = math.Inf(1)
			return
		}
		if below == met {
			t.share = level / w
			return
		}
		met = below
		level = max(level, left/float64(len(t.callers)-below))
	}
}
