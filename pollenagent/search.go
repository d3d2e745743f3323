package pollenagent

import (
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
)

func (f *Flows) decideByOwner(now time.Time, p *Packet) Decision {
	bucket := pollenflow.BucketOf(f.service, p.Key)
	owner, ok := f.owners.Owner(bucket)
	if !ok {
		return drop(pollenkernel.RefusalNoMember)
	}
	if owner.Name != f.config.Self.Name {
		d := Decision{
			Kind: DecisionForward, To: owner.Address, Target: pollenflow.DigestOf(owner.Name), Hops: p.Hops + 1,
		}
		if p.Hops > 0 {
			// An agent took this one for the holder or for the home.
			d.Notify, d.Decline = p.From, true
		}
		return d
	}
	if _, known := f.notFound.Get(now, p.Key); known && !p.Opens {
		return drop(pollenkernel.RefusalUnknownFlow)
	}
	if p.Opens && f.viewIsStale(now) {
		// Another agent may be the home by now; the caller sends again.
		return drop(pollenkernel.RefusalStaleView)
	}
	if d, searching := f.search(now, p, bucket); searching {
		return d
	}
	if p.Opens {
		return f.place(now, p)
	}
	f.notFound.Put(now, p.Key, struct{}{})
	return drop(pollenkernel.RefusalUnknownFlow)
}

// maxSearch bounds the agents that are asked for one packet.
const maxSearchedAgents = 12

// search sends the packet to the next agent that may hold the flow; ok is false
// when every candidate was asked.
func (f *Flows) search(now time.Time, p *Packet, bucket pollenflow.Bucket) (d Decision, ok bool) {
	candidates := f.candidates(now, p.Opens, bucket)
	at := int(p.SearchIndex)
	if at >= len(candidates) || at >= maxSearchedAgents {
		return Decision{}, false
	}
	if at == 0 && !f.searches.take(now) {
		return drop(pollenkernel.RefusalSearchLimit), true
	}
	to := &f.agents[candidates[at]]
	return Decision{
		Kind: DecisionForward, To: to.Address, Target: pollenflow.DigestOf(to.Name),
		Search: true, SearchIndex: p.SearchIndex + 1, Hops: p.Hops,
	}, true
}

// candidates returns indexes into agents: the earlier homes of the bucket, and
// then, for a packet that opens nothing or right after the start, every other
// agent.
func (f *Flows) candidates(now time.Time, opens bool, bucket pollenflow.Bucket) []int {
	f.candidateIndexes = f.candidateIndexes[:0]
	for _, g := range f.pastOwners {
		if now.Sub(g.replacedAt) >= f.config.MaxViewSkew {
			break
		}
		if owner, ok := g.owners.Owner(bucket); ok {
			f.addCandidate(owner.Name)
		}
	}
	if opens && now.Sub(f.startTime) >= f.config.MaxViewSkew {
		return f.candidateIndexes
	}
	for i := range f.agents {
		f.addCandidate(f.agents[i].Name)
	}
	return f.candidateIndexes
}

func (f *Flows) addCandidate(name pollendocument.ServerName) {
	if name == f.config.Self.Name {
		return
	}
	for i := range f.agents {
		if f.agents[i].Name == name {
			if !slices.Contains(f.candidateIndexes, i) {
				f.candidateIndexes = append(f.candidateIndexes, i)
			}
			return
		}
	}
}
