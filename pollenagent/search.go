package pollenagent

import (
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
)

// decideByOwner forwards the packet to the directory owner of its bucket. If
// that is this agent, it searches for the holder, places a new flow or refuses
// the packet.
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
			// Another agent forwarded the packet in the belief that this agent
			// is the holder or the directory owner. The withdrawal removes its
			// directory entry that names this agent, if any.
			d.Notify, d.Decline = p.From, true
		}
		return d
	}
	if _, known := f.notFound.Get(now, p.Key); known && !p.MayOpenFlow {
		return drop(pollenkernel.RefusalUnknownFlow)
	}
	if p.MayOpenFlow && f.viewIsStale(now) {
		// In the newer view another agent may own the bucket. The caller
		// retransmits.
		return drop(pollenkernel.RefusalStaleView)
	}
	if d, searching := f.search(now, p, bucket); searching {
		return d
	}
	if p.MayOpenFlow {
		return f.place(now, p)
	}
	f.notFound.Put(now, p.Key, struct{}{})
	return drop(pollenkernel.RefusalUnknownFlow)
}

// maxSearchedAgents is the maximum number of agents searched for one packet.
const maxSearchedAgents = 12

// search forwards the packet to the next candidate that may hold the flow, or
// drops it if the search rate is exceeded. ok is false if no candidate is left
// or maxSearchedAgents have been searched.
func (f *Flows) search(now time.Time, p *Packet, bucket pollenflow.Bucket) (d Decision, ok bool) {
	candidates := f.candidates(now, p.MayOpenFlow, bucket)
	at := int(p.SearchIndex)
	if at >= len(candidates) || at >= maxSearchedAgents {
		return Decision{}, false
	}
	if at == 0 && !f.searches.TakeOne(now) {
		return drop(pollenkernel.RefusalSearchLimit), true
	}
	to := &f.agents[candidates[at]]
	return Decision{
		Kind: DecisionForward, To: to.Address, Target: pollenflow.DigestOf(to.Name),
		Search: true, SearchIndex: p.SearchIndex + 1, Hops: p.Hops,
	}, true
}

// candidates returns the agents to search, as indexes into f.agents: first the
// previous owners of the bucket that were replaced within MaxViewSkew, latest
// first, and then every other agent if the packet does not open a flow or less
// than MaxViewSkew has passed since the start.
func (f *Flows) candidates(now time.Time, opens bool, bucket pollenflow.Bucket) []int {
	f.candidateIndexes = f.candidateIndexes[:0]
	for _, past := range f.pastOwners {
		if now.Sub(past.replacedAt) >= f.config.MaxViewSkew {
			break
		}
		if owner, ok := past.owners.Owner(bucket); ok {
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

// addCandidate appends the index of the agent to candidateIndexes, unless it is
// there already, is this agent or is no longer in f.agents.
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
