package pollenview

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollendocument"
)

// ChooseReplicas returns the ledger replicas that a service should have, at most
// MaxLedgerReplicas, among the agents that take new work. Current replicas whose
// incarnation is still among the agents stay. The rest is filled up by
// rendezvous hashing, first from failure domains without a replica, then from
// any.
func ChooseReplicas(service pollendocument.ServiceName, group LedgerGroup, agents []Member) []MemberRef {
	byName := make(map[pollendocument.ServerName]Member, len(agents))
	for _, m := range agents {
		byName[m.Name] = m
	}
	usedDomains := map[pollendocument.DomainName]bool{}
	var chosen []MemberRef
	for _, r := range group.Replicas {
		m, ok := byName[r.Name]
		if !ok || m.Incarnation != r.Incarnation {
			continue
		}
		chosen = append(chosen, r)
		usedDomains[m.Domain] = true
		delete(byName, r.Name)
	}
	candidates := make([]Member, 0, len(byName))
	for _, m := range byName {
		candidates = append(candidates, m)
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		if c := cmp.Compare(ledgerScore(service, b), ledgerScore(service, a)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	for _, newDomain := range []bool{true, false} {
		for _, m := range candidates {
			r := MemberRef{Name: m.Name, Incarnation: m.Incarnation}
			if len(chosen) >= MaxLedgerReplicas || usedDomains[m.Domain] == newDomain || slices.Contains(chosen, r) {
				continue
			}
			chosen = append(chosen, r)
			usedDomains[m.Domain] = true
		}
	}
	return chosen
}

func ledgerScore(service pollendocument.ServiceName, m Member) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(m.Name))
}

// Majority returns the number of replicas that form a majority of a group of the
// size.
func Majority(size int) int { return size/2 + 1 }
