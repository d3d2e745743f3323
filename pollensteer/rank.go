package pollensteer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// rankSize is the number of gates that are ranked for a flow: two for each time
// that its opening packet is placed, and a few that may be unusable.
const rankSize = 10

// A rank holds the gates with the highest hashes for a flow, the highest first.
type rank struct {
	gates  [rankSize]*gate
	scores [rankSize]uint64
	size   int
}

// rank returns the first gates of the list in the flow's rank, which is the same
// at every balancer. It is valid until the next call.
func (b *Balancer) rank(k key, gates []*gate) []*gate {
	r := &b.ranked
	r.size = 0
	var input [16]byte
	binary.BigEndian.PutUint64(input[8:], xxhash.Sum64(k[:]))
	for _, g := range gates {
		binary.BigEndian.PutUint64(input[:], g.hash)
		r.add(g, xxhash.Sum64(input[:]))
	}
	return r.gates[:r.size]
}

// add puts a gate in its place, unless enough others have higher scores.
func (r *rank) add(g *gate, score uint64) {
	if r.size == rankSize && score <= r.scores[rankSize-1] {
		return
	}
	if r.size < rankSize {
		r.size++
	}
	i := r.size - 1
	for ; i > 0 && r.scores[i-1] < score; i-- {
		r.gates[i], r.scores[i] = r.gates[i-1], r.scores[i-1]
	}
	r.gates[i], r.scores[i] = g, score
}
