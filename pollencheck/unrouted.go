package pollencheck

import "pollenstep.example/pollenstep/pollendocument"

// unroutedServices reports services of a declaration that no route names. One that
// is named with weight 0 only is reported by weightlessShares.
func unroutedServices(in *Input) []Finding {
	for p := range in.faulty {
		if p.section != string(pollendocument.PartServices) {
			// A route that could not be decoded may name any service.
			return nil
		}
	}
	named := map[pollendocument.ServiceName]bool{}
	for _, r := range in.routes() {
		for _, s := range r.Shares {
			named[s.Service] = true
		}
	}
	for _, s := range in.weightless {
		named[s.Service] = true
	}
	var findings []Finding
	for _, p := range in.pools() {
		if !named[p.Name] {
			findings = append(findings, in.serviceFinding(p.Name, "no route names the service", "a service that a route names"))
		}
	}
	return findings
}
