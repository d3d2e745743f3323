package pollenagent

import (
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
)

func (f *Flows) decideHome(now time.Time, p *Packet) Decision {
	bucket := pollenflow.BucketOf(f.service, p.Key)
	home, ok := f.homes.Home(bucket)
	if !ok {
		return drop(pollenkernel.RefusalNoMember)
	}
	if home.Name != f.config.Self.Name {
		d := Decision{
			Kind: DecisionForward, To: home.Address, Target: pollenflow.DigestOf(home.Name), Hops: p.Hops + 1,
		}
		if p.Hops > 0 {
			// An agent took this one for the holder or for the home.
			d.Notify, d.Decline = p.From, true
		}
		return d
	}
	if _, known := f.absent.Get(now, p.Key); known && !p.MayOpenFlow {
		return drop(pollenkernel.RefusalUnknownFlow)
	}
	if p.MayOpenFlow && f.stale(now) {
		// Another agent may be the home by now; the caller sends again.
		return drop(pollenkernel.RefusalStaleView)
	}
	if d, searching := f.search(now, p, bucket); searching {
		return d
	}
	if p.MayOpenFlow {
		return f.place(now, p)
	}
	f.absent.Put(now, p.Key, struct{}{})
	return drop(pollenkernel.RefusalUnknownFlow)
}

// maxSearch bounds the agents that are asked for one packet.
const maxSearch = 12

// search sends the packet to the next agent that may hold the flow; ok is false
// when every candidate was asked.
func (f *Flows) search(now time.Time, p *Packet, bucket pollenflow.Bucket) (d Decision, ok bool) {
	candidates := f.candidates(now, p.MayOpenFlow, bucket)
	at := int(p.SearchIndex)
	if at >= len(candidates) || at >= maxSearch {
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
	f.indexes = f.indexes[:0]
	for _, g := range f.generations {
		if now.Sub(g.replaced) >= f.config.Window {
			break
		}
		if home, ok := g.homes.Home(bucket); ok {
			f.addCandidate(home.Name)
		}
	}
	if opens && now.Sub(f.started) >= f.config.Window {
		return f.indexes
	}
	for i := range f.agents {
		f.addCandidate(f.agents[i].Name)
	}
	return f.indexes
}

func (f *Flows) addCandidate(name pollendocument.ServerName) {
	if name == f.config.Self.Name {
		return
	}
	for i := range f.agents {
		if f.agents[i].Name == name {
			if !slices.Contains(f.indexes, i) {
				f.indexes = append(f.indexes, i)
			}
			return
		}
	}
}
