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

// Owners assigns each bucket of a service to its directory owner, the agent
// that tracks which agent holds each flow of the bucket, by weighted rendezvous
// hashing. It is immutable, and equal at all processes that have the same
// members and weights.
type Owners struct {
	// members is sorted by name.
	members []pollenview.Member
	// buckets holds an index into members for each bucket. It is empty if there
	// are no members.
	buckets []uint16
}

// NewOwners returns the Owners of the service over its agents in the view that
// take new work. If none does, draining agents are owners, so that open flows
// can still be found.
func NewOwners(view *pollenview.View, service pollendocument.ServiceName) *Owners {
	return OwnersOf(view, view.Agents(service))
}

// OwnersOf is like NewOwners, but takes the agents of the service in failure
// domains that take traffic. They must be sorted by name.
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

// buildOwners assigns each bucket to the member with the highest score.
func buildOwners(members []pollenview.Member, weights []float64) *Owners {
	o := &Owners{members: members}
	if len(members) == 0 {
		return o
	}
	seeds := make([]uint64, len(members))
	for i, m := range members {
		seeds[i] = DigestOf(m.Name)
	}
	o.buckets = make([]uint16, BucketCount)
	for b := range o.buckets {
		best, bestScore := 0, math.Inf(-1)
		for i := range members {
			if score := rendezvousScore(Bucket(b), seeds[i], weights[i]); score > bestScore {
				best, bestScore = i, score
			}
		}
		o.buckets[b] = uint16(best)
	}
	return o
}

// rendezvousScore returns a pseudo-random score of a member for a bucket. Over
// all buckets, a member has the highest score with a probability proportional
// to its weight.
func rendezvousScore(b Bucket, seed uint64, weight float64) float64 {
	var raw [10]byte
	binary.BigEndian.PutUint64(raw[:], seed)
	binary.BigEndian.PutUint16(raw[8:], uint16(b))
	const mantissa = 1 << 53
	uniform := (float64(xxhash.Sum64(raw[:])>>11) + 0.5) / mantissa
	return -weight / math.Log(uniform)
}

// Owner returns the directory owner of a bucket. ok is false if the service has
// no agent.
func (o *Owners) Owner(b Bucket) (owner *pollenview.Member, ok bool) {
	at, ok := o.Index(b)
	if !ok {
		return nil, false
	}
	return &o.members[at], true
}

// Index returns the index in Members of the directory owner of a bucket. ok is
// false if the service has no agent.
func (o *Owners) Index(b Bucket) (at int, ok bool) {
	if o == nil || len(o.buckets) == 0 {
		return 0, false
	}
	return int(o.buckets[b]), true
}

// Members returns the agents that buckets are assigned to, sorted by name.
func (o *Owners) Members() []pollenview.Member { return o.members }

// Find returns the member with the name.
func (o *Owners) Find(name pollendocument.ServerName) (*pollenview.Member, bool) {
	at, ok := slices.BinarySearchFunc(o.members, name, func(m pollenview.Member, n pollendocument.ServerName) int {
		return cmp.Compare(m.Name, n)
	})
	if !ok {
		return nil, false
	}
	return &o.members[at], true
}

// Equal reports whether every bucket is assigned to the same index in Members.
// It does not compare the members.
func (o *Owners) Equal(other *Owners) bool { return slices.Equal(o.buckets, other.buckets) }
