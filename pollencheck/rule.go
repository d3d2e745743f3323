package pollencheck

import (
	"cmp"
	"slices"

	"pollenstep.example/pollenstep/pollenkernel"
)

// A Rule is one kind of finding.
type Rule struct {
	Severity Severity
	// Check returns the findings without their rule and severity, in the order of
	// the document. It also gets documents with errors and has to leave out the
	// entries that have some.
	Check func(in *Input) []Finding
}

// Rules holds all rules by their names.
var Rules = pollenkernel.NewRegistry[Rule]("rule")

func init() {
	register := func(priority int, severity Severity, name string, check func(in *Input) []Finding) {
		Rules.Register(name, priority, Rule{Severity: severity, Check: check})
	}
	// Errors come first, in the order in which Read reports them.
	register(0, SeverityError, "value", invalidValues)
	register(1, SeverityError, "conflict", conflicts)
	register(2, SeverityWarning, "weightless-share", weightlessShares)
	register(2, SeverityWarning, "unrouted-service", unroutedServices)
	register(2, SeverityWarning, "connections-below-slots", connectionsBelowSlots)
	register(2, SeverityWarning, "timeout-below-objective", timeoutsBelowObjective)
	register(2, SeverityWarning, "low-cold-rate", lowColdRates)
	register(2, SeverityWarning, "many-priorities", manyPriorities)
	register(2, SeverityWarning, "idle-below-timeout", idleBelowTimeout)
}

// Check returns the findings of all rules: first the errors in the order in which
// they are reported when a document is submitted, then the warnings by line.
func Check(in *Input) []Finding {
	findings := []Finding{}
	warnings := 0
	for _, name := range Rules.Names() {
		rule, err := Rules.Lookup(name)
		if err != nil {
			// Rules are never removed.
			panic(err)
		}
		for _, f := range rule.Check(in) {
			f.Rule, f.Severity = name, rule.Severity
			findings = append(findings, f)
			if rule.Severity == SeverityWarning {
				warnings++
			}
		}
	}
	slices.SortStableFunc(findings[len(findings)-warnings:], func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return findings
}
