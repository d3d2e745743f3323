package pollencheckpoint

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollendocument"
)

// A Candidate is a balancer that can keep checkpoints.
type Candidate struct {
	Address netip.AddrPort
	Domain  pollendocument.DomainName
}

// Choose returns the balancers that keep the checkpoints of a gate in the failure
// domain, by rendezvous hashing: the best one of its own domain and the best one of all
// others. If either is missing, the next best candidate takes its place. It returns at
// most two addresses.
func Choose(gate netip.AddrPort, domain pollendocument.DomainName, candidates []Candidate) []netip.AddrPort {
	var keepers []netip.AddrPort
	choose := func(eligible func(c *Candidate) bool) {
		var best *Candidate
		var bestScore uint64
		for i := range candidates {
			c := &candidates[i]
			if len(keepers) > 0 && c.Address == keepers[0] || !eligible(c) {
				continue
			}
			if score := scoreOf(gate, c.Address); best == nil || score > bestScore {
				best, bestScore = c, score
			}
		}
		if best != nil {
			keepers = append(keepers, best.Address)
		}
	}
	choose(func(c *Candidate) bool { return c.Domain == domain })
	choose(func(c *Candidate) bool { return c.Domain != domain })
	for range candidates {
		if len(keepers) >= maxKeepers {
			break
		}
		choose(func(*Candidate) bool { return true })
	}
	return keepers
}

// maxKeepers is the number of balancers that keep the checkpoints of one gate.
const maxKeepers = 2

// scoreOf returns the rendezvous hash of a gate and a balancer, which have IPv4
// addresses.
func scoreOf(gate, balancer netip.AddrPort) uint64 {
	var input [12]byte
	for i, a := range [...]netip.AddrPort{gate, balancer} {
		ip := a.Addr().Unmap().As4()
		copy(input[6*i:], ip[:])
		binary.BigEndian.PutUint16(input[6*i+4:], a.Port())
	}
	return xxhash.Sum64(input[:])
}
