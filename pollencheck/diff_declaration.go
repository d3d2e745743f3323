package pollencheck

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

func diffDeclarations(old, changed *pollendocument.Declaration) []Change {
	changes := appendChanges(nil, routeEntries(), old.Routes, changed.Routes)
	changes = appendChanges(changes, poolEntries(), old.Pools, changed.Pools)
	return appendChanges(changes, limitEntries(), []time.Duration{old.IdleTimeout}, []time.Duration{changed.IdleTimeout})
}

// routeEntries compares routes by their addresses: names may be used twice, and a flow
// belongs to the route of its address.
func routeEntries() kindOfEntry[netip.AddrPort, pollendocument.Route] {
	return kindOfEntry[netip.AddrPort, pollendocument.Route]{
		section: string(pollendocument.PartRoutes),
		key:     func(r *pollendocument.Route) netip.AddrPort { return r.Address },
		name:    func(r *pollendocument.Route) string { return r.Name },
		fields: func(r *pollendocument.Route) []field {
			return []field{
				{"name", r.Name},
				{"address", r.Address.String()},
				{"services", formatShares(r.Shares)},
				{"type", string(r.Kind)},
				{"timeout", r.Timeout.String()},
				{"objective", r.Objective.String()},
				{"priority", strconv.Itoa(r.Priority)},
			}
		},
		added: EffectNew, removed: EffectEnd,
		changed: func(old, r *pollendocument.Route) Effect {
			if !slices.Equal(old.Shares, r.Shares) {
				return EffectMove
			}
			return EffectNone
		},
	}
}

func formatShares(shares []pollendocument.Share) string {
	words := make([]string, 0, len(shares))
	for _, s := range shares {
		words = append(words, fmt.Sprintf("%s:%d", s.Service, s.Weight))
	}
	return strings.Join(words, " ")
}

func poolEntries() kindOfEntry[pollendocument.ServiceName, pollendocument.Pool] {
	return kindOfEntry[pollendocument.ServiceName, pollendocument.Pool]{
		section: string(pollendocument.PartServices),
		key:     func(p *pollendocument.Pool) pollendocument.ServiceName { return p.Name },
		name:    func(p *pollendocument.Pool) string { return string(p.Name) },
		fields: func(p *pollendocument.Pool) []field {
			return []field{
				{"connections", strconv.Itoa(p.ConnectionLimit)},
				{"rate", strconv.FormatFloat(p.ColdRate, 'g', -1, 64)},
				{"cold", p.ColdDuration.String()},
			}
		},
		// The flows of a removed service end only with their route.
		added: EffectNew, removed: EffectMove,
		changed: func(_, _ *pollendocument.Pool) Effect { return EffectMove },
	}
}

func limitEntries() kindOfEntry[struct{}, time.Duration] {
	return kindOfEntry[struct{}, time.Duration]{
		section: string(pollendocument.PartLimits),
		key:     func(*time.Duration) struct{} { return struct{}{} },
		name:    func(*time.Duration) string { return "idle" },
		fields:  func(d *time.Duration) []field { return []field{{"idle", d.String()}} },
		changed: func(_, _ *time.Duration) Effect { return EffectNone },
	}
}
