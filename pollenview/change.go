package pollenview

import (
	"slices"

	"pollenstep.example/pollenstep/pollendocument"
)

// NewChange returns the difference that turns the current section into the
// wanted one. It is empty when their contents are equal.
func NewChange(current, wanted *pollendocument.Section) SectionChange {
	c := SectionChange{Team: wanted.Team, BaseVersion: wanted.Version}
	c.Upserts.Team = wanted.Team
	c.Upserts.Domains = upserts(current.Domains, wanted.Domains)
	c.Upserts.Services = upserts(current.Services, wanted.Services)
	c.Upserts.Servers = upserts(current.Servers, wanted.Servers)
	present := &pollendocument.Section{
		Domains:  intersect(current.Domains, wanted.Domains, domainName),
		Services: intersect(current.Services, wanted.Services, serviceName),
		Servers:  intersect(current.Servers, wanted.Servers, serverName),
	}
	c.Removals = pollendocument.DiffSections(current, present)
	return c
}

// Empty reports whether the change leaves the section as it is.
func (c *SectionChange) Empty() bool {
	return len(c.Upserts.Domains) == 0 && len(c.Upserts.Services) == 0 &&
		len(c.Upserts.Servers) == 0 && len(c.Removals) == 0
}

// merge returns the section with the change applied.
func (c *SectionChange) merge(s *pollendocument.Section) pollendocument.Section {
	merged := pollendocument.Section{
		Team: c.Team, Version: s.Version,
		Domains:  mergeList(s.Domains, c.Upserts.Domains, c.Removals, "domains.", domainName),
		Services: mergeList(s.Services, c.Upserts.Services, c.Removals, "services.", serviceName),
		Servers:  mergeList(s.Servers, c.Upserts.Servers, c.Removals, "servers.", serverName),
	}
	merged.Sort()
	return merged
}

func domainName(d pollendocument.Domain) string   { return string(d.Name) }
func serviceName(s pollendocument.Service) string { return string(s.Name) }
func serverName(s pollendocument.Server) string   { return string(s.Name) }

// upserts returns the wanted values that the current list lacks or has
// otherwise.
func upserts[T comparable](current, wanted []T) []T {
	have := make(map[T]bool, len(current))
	for _, v := range current {
		have[v] = true
	}
	var changed []T
	for _, v := range wanted {
		if !have[v] {
			changed = append(changed, v)
		}
	}
	return changed
}

// intersect returns the current values whose names are wanted.
func intersect[T any](current, wanted []T, name func(T) string) []T {
	names := make(map[string]bool, len(wanted))
	for _, v := range wanted {
		names[name(v)] = true
	}
	var kept []T
	for _, v := range current {
		if names[name(v)] {
			kept = append(kept, v)
		}
	}
	return kept
}

func mergeList[T any](current, upserts []T, removals []string, prefix string, name func(T) string) []T {
	replaced := make(map[string]bool, len(upserts)+len(removals))
	for _, r := range removals {
		replaced[r] = true
	}
	for _, v := range upserts {
		replaced[prefix+name(v)] = true
	}
	merged := make([]T, 0, len(current)+len(upserts))
	for _, v := range current {
		if !replaced[prefix+name(v)] {
			merged = append(merged, v)
		}
	}
	return append(merged, slices.Clone(upserts)...)
}
