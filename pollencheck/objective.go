package pollencheck

import "fmt"

// timeoutsBelowObjective reports routes whose requests time out before they miss the
// objective, which therefore never applies.
func timeoutsBelowObjective(in *Input) []Finding {
	var findings []Finding
	for _, r := range in.routes() {
		if r.Timeout < r.Objective {
			findings = append(findings, in.routeFinding(r.Name,
				fmt.Sprintf("the timeout %s is shorter than the latency objective %s", r.Timeout, r.Objective),
				"a timeout of at least the objective"))
		}
	}
	return findings
}
