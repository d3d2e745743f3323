package pollencheck

import "fmt"

// minColdRate is in requests per second. A gate counts whole requests within one
// second, so that a lower rate by itself admits none.
const minColdRate = 1

// lowColdRates reports services whose cold backend servers get less than one request
// per second. A rate of 0 is not declared and limits nothing.
func lowColdRates(in *Input) []Finding {
	var findings []Finding
	for _, p := range in.pools() {
		if p.ColdRate > 0 && p.ColdRate < minColdRate {
			findings = append(findings, in.serviceFinding(p.Name,
				fmt.Sprintf("the cold rate %g is below one request per second", p.ColdRate),
				"0 for no limit, or at least 1 request per second"))
		}
	}
	return findings
}
