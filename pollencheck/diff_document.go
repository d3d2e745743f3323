package pollencheck

import (
	"strconv"

	"pollenstep.example/pollenstep/pollendocument"
)

// diffDocuments compares the sections of the changed document. Sections that it lacks
// are not changed by a submission.
func diffDocuments(old, changed *pollendocument.Document) []Change {
	var changes []Change
	for i := range changed.Sections {
		section := &changed.Sections[i]
		previous := old.Section(section.Team)
		if previous == nil {
			previous = &pollendocument.Section{}
		}
		team := string(section.Team)
		changes = appendChanges(changes, domainEntries(team), previous.Domains, section.Domains)
		changes = appendChanges(changes, serviceEntries(team), previous.Services, section.Services)
		changes = appendChanges(changes, serverEntries(team), previous.Servers, section.Servers)
	}
	return changes
}

func domainEntries(team string) kindOfEntry[pollendocument.DomainName, pollendocument.Domain] {
	return kindOfEntry[pollendocument.DomainName, pollendocument.Domain]{
		section: team,
		key:     func(d *pollendocument.Domain) pollendocument.DomainName { return d.Name },
		name:    func(d *pollendocument.Domain) string { return "domains." + string(d.Name) },
		fields: func(d *pollendocument.Domain) []field {
			return []field{{"state", string(d.State)}}
		},
		added: EffectNew, removed: EffectEnd,
		changed: func(_, d *pollendocument.Domain) Effect {
			if d.State == pollendocument.DomainOut {
				return EffectEnd
			}
			return EffectNew
		},
	}
}

func serviceEntries(team string) kindOfEntry[pollendocument.ServiceName, pollendocument.Service] {
	return kindOfEntry[pollendocument.ServiceName, pollendocument.Service]{
		section: team,
		key:     func(s *pollendocument.Service) pollendocument.ServiceName { return s.Name },
		name:    func(s *pollendocument.Service) string { return "services." + string(s.Name) },
		fields: func(s *pollendocument.Service) []field {
			return []field{
				{"address", s.Address.String()},
				{"delivery", string(s.Delivery)},
				{"slots", strconv.Itoa(s.Slots)},
				{"connections", strconv.Itoa(s.ConnectionLimit)},
				{"cold", strconv.Itoa(s.ColdLimit)},
				{"warm-up", s.WarmUp.String()},
				{"queue", strconv.Itoa(s.QueueLimit)},
				{"deadline", s.RequestTimeout.String()},
				{"retention", s.Retention.String()},
				{"idle", s.IdleTimeout.String()},
			}
		},
		added: EffectNew, removed: EffectEnd,
		changed: func(old, s *pollendocument.Service) Effect {
			if old.Address != s.Address {
				// Balancers find a flow's service by the address.
				return EffectEnd
			}
			return EffectMove
		},
	}
}

func serverEntries(team string) kindOfEntry[pollendocument.ServerName, pollendocument.Server] {
	effect := func(_, _ *pollendocument.Server) Effect { return EffectMove }
	return kindOfEntry[pollendocument.ServerName, pollendocument.Server]{
		section: team,
		key:     func(s *pollendocument.Server) pollendocument.ServerName { return s.Name },
		name:    func(s *pollendocument.Server) string { return "servers." + string(s.Name) },
		fields: func(s *pollendocument.Server) []field {
			return []field{{"state", string(s.State)}, {"weight", strconv.Itoa(s.Weight)}}
		},
		// A backend server without a setting is active and has the default weight.
		added: EffectMove, removed: EffectMove, changed: effect,
	}
}
