package pollencheck

import "fmt"

// weightlessShares reports services in the traffic split of a route that get no new
// flows because their weight is 0.
func weightlessShares(in *Input) []Finding {
	var findings []Finding
	for _, s := range in.weightless {
		f := in.routeFinding(s.Route, fmt.Sprintf("service %q has the weight 0 and gets no new flows", s.Service),
			"a positive weight, or no entry for the service")
		if !in.faulty[place{f.Section, f.Entry}] {
			findings = append(findings, f)
		}
	}
	return findings
}
