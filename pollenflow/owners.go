package pollenflow

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenview"
)

// Homes assigns each bucket of a service to its home agent by weighted
// rendezvous hashing. It is immutable, and equal at every process that has the
// same members and weights.
type Owners struct {
	// members is sorted by name.
	members []pollenview.Member
	// buckets holds indexes into members; it is empty when there is none.
	buckets []uint16
}

// NewHomes returns a new Homes for the service over the members of the view
// that take new work. When none does, draining members are the homes, so that
// flows that are open can still be found.
func NewOwners(view *pollenview.View, service pollendocument.ServiceName) *Owners {
	return OwnersOf(view, view.Agents(service))
}

// HomesOf returns a new Homes over a service's agents, sorted by name, in
// failure domains that are in.
func OwnersOf(view *pollenview.View, agents []pollenview.Member) *Owners {
	members := slices.DeleteFunc(slices.Clone(agents), func(m pollenview.Member) bool {
		return !view.TakesNewWork(m)
	})
	if len(members) == 0 {
		members = agents
	}
	weights := make([]float64, len(members))
	for i, m := range members {
		weights[i] = float64(view.ServerSetting(m.Name).Weight)
	}
	return buildOwners(members, weights)
}

func buildOwners(members []pollenview.Member, weights []float64) *Owners {
	h := &Owners{members: members}
	if len(members) == 0 {
		return h
	}
	seeds := make([]uint64, len(members))
	for i, m := range members {
		seeds[i] = DigestOf(m.Name)
	}
	h.buckets = make([]uint16, BucketCount)
	for b := range h.buckets {
		best, bestScore := 0, math.Inf(-1)
		for i := range members {
			if score := rendezvousScore(Bucket(b), seeds[i], weights[i]); score > bestScore {
				best, bestScore = i, score
			}
		}
		h.buckets[b] = uint16(best)
	}
	return h
}

// rendezvousScore draws a number for the bucket and member whose maximum over
// the members falls on each of them in proportion to its weight.
func rendezvousScore(b Bucket, seed uint64, weight float64) float64 {
	var raw [10]byte
	binary.BigEndian.PutUint64(raw[:], seed)
	binary.BigEndian.PutUint16(raw[8:], uint16(b))
	const mantissa = 1 << 53
	uniform := (float64(xxhash.Sum64(raw[:])>>11) + 0.5) / mantissa
	return -weight / math.Log(uniform)
}

// Home returns the home agent of a bucket; ok is false when the service has no
// agent.
func (h *Owners) Owner(b Bucket) (owner *pollenview.Member, ok bool) {
	at, ok := h.Index(b)
	if !ok {
		return nil, false
	}
	return &h.members[at], true
}

// Index returns the position in Members of the home agent of a bucket; ok is
// false when the service has no agent.
func (h *Owners) Index(b Bucket) (at int, ok bool) {
	if h == nil || len(h.buckets) == 0 {
		return 0, false
	}
	return int(h.buckets[b]), true
}

// Members returns the agents that are homes, sorted by name.
func (h *Owners) Members() []pollenview.Member { return h.members }

// Find returns the home agent called name.
func (h *Owners) Find(name pollendocument.ServerName) (*pollenview.Member, bool) {
	at, ok := slices.BinarySearchFunc(h.members, name, func(m pollenview.Member, n pollendocument.ServerName) int {
		return cmp.Compare(m.Name, n)
	})
	if !ok {
		return nil, false
	}
	return &h.members[at], true
}

// Equal reports whether every bucket has its home at the same position.
func (h *Owners) Equal(other *Owners) bool { return slices.Equal(h.buckets, other.buckets) }
