package pollensteer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// maxRanked is the number of gates that are ranked for a flow: two for each time
// that its opening packet is placed, and a few more that may be unusable.
const maxRanked = 10

// A rank holds the gates with the highest scores for a flow in descending order,
// by rendezvous hashing.
type rank struct {
	gates  [maxRanked]*gate
	scores [maxRanked]uint64
	size   int
}

// rank returns the highest-ranked of the gates for the flow, up to maxRanked.
// The order is the same at every balancer. The result is valid until the next
// call.
func (b *Balancer) rank(k key, gates []*gate) []*gate {
	r := &b.rankBuffer
	r.size = 0
	var input [16]byte
	binary.BigEndian.PutUint64(input[8:], xxhash.Sum64(k[:]))
	for _, g := range gates {
		binary.BigEndian.PutUint64(input[:], g.hash)
		r.add(g, xxhash.Sum64(input[:]))
	}
	return r.gates[:r.size]
}

// add inserts a gate by its score, unless maxRanked gates have higher ones.
func (r *rank) add(g *gate, score uint64) {
	if r.size == maxRanked && score <= r.scores[maxRanked-1] {
		return
	}
	if r.size < maxRanked {
		r.size++
	}
	i := r.size - 1
	for ; i > 0 && r.scores[i-1] < score; i-- {
		r.gates[i], r.scores[i] = r.gates[i-1], r.scores[i-1]
	}
	r.gates[i], r.scores[i] = g, score
}
