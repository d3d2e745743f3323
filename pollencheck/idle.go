package pollencheck

import (
	"fmt"

	"pollenstep.example/pollenstep/pollendocument"
)

// idleBelowTimeout reports request timeouts that are longer than the idle timeout. The
// record of a flow without packets may be evicted before the response, so the longer
// timeout is not reached.
func idleBelowTimeout(in *Input) []Finding {
	const expected = "an idle timeout of at least the request timeout"
	findings := in.services(func(s *pollendocument.Service) (string, string) {
		if s.IdleTimeout >= s.RequestTimeout {
			return "", ""
		}
		return fmt.Sprintf("idle %s is shorter than deadline %s", s.IdleTimeout, s.RequestTimeout), expected
	})
	if in.Declaration == nil || in.Declaration.IdleTimeout <= 0 {
		// Without an idle timeout there is nothing to compare.
		return findings
	}
	for _, r := range in.routes() {
		if in.Declaration.IdleTimeout < r.Timeout {
			findings = append(findings, in.routeFinding(r.Name,
				fmt.Sprintf("the idle timeout %s is shorter than the timeout %s of the route", in.Declaration.IdleTimeout, r.Timeout), expected))
		}
	}
	return findings
}
