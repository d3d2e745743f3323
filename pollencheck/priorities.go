package pollencheck

import (
	"fmt"

	"pollenstep.example/pollenstep/pollendocument"
)

// maxPriorities is the number of different priorities among the routes of one service:
// under overload one in ten new flows of each priority is admitted, and more than ten
// such shares exceed the whole.
const maxPriorities = 10

// manyPriorities reports services whose routes have too many different priorities.
func manyPriorities(in *Input) []Finding {
	priorities := map[pollendocument.ServiceName]map[int]bool{}
	for _, r := range in.routes() {
		for _, s := range r.Shares {
			if priorities[s.Service] == nil {
				priorities[s.Service] = map[int]bool{}
			}
			priorities[s.Service][r.Priority] = true
		}
	}
	var findings []Finding
	for _, p := range in.pools() {
		if n := len(priorities[p.Name]); n > maxPriorities {
			findings = append(findings, in.serviceFinding(p.Name,
				fmt.Sprintf("the routes of the service have %d different priorities", n),
				fmt.Sprintf("at most %d different priorities", maxPriorities)))
		}
	}
	return findings
}
