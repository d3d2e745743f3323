// Package pollencheck validates a document before it is sent. It reports every
// error and warning of the document, and what differs from another version.
package pollencheck

import (
	"fmt"
	"strings"
)

// A Severity specifies whether a document with the finding is refused.
type Severity string

// Severities of findings.
const (
	// SeverityError is for what is refused when the document is submitted.
	SeverityError Severity = "error"
	// SeverityWarning is for entries without effect and for limits that contradict
	// each other. A document with warnings is accepted.
	SeverityWarning Severity = "warning"
)

// A Finding is one violation of a rule.
type Finding struct {
	// Rule is the registered name of the rule.
	Rule     string
	Severity Severity
	File     string
	// Line counts from 1; it is zero where it is not known.
	Line int
	// Section is a team in a document of teams' sections, and "routes", "services"
	// or "limits" in a declaration. It is empty for a finding about the whole file.
	Section string
	// Entry is "services.NAME", "servers.NAME" or "domains.NAME" in a document of
	// teams' sections, and the name of a route or service in a declaration. It is
	// empty for a finding about the whole section.
	Entry string
	// Text states what was found.
	Text string
	// Expected states what is accepted instead.
	Expected string
}

// String returns the finding on one line.
func (f *Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		_, _ = fmt.Fprintf(&b, ":%d", f.Line)
	}
	_, _ = fmt.Fprintf(&b, ": %s %s: ", f.Severity, f.Rule)
	if place := strings.TrimSpace(f.Section + " " + f.Entry); place != "" {
		b.WriteString(place + ": ")
	}
	b.WriteString(f.Text)
	if f.Expected != "" {
		b.WriteString(": allowed: " + f.Expected)
	}
	return b.String()
}

// Count returns the number of findings of the severity.
func Count(findings []Finding, severity Severity) int {
	n := 0
	for i := range findings {
		if findings[i].Severity == severity {
			n++
		}
	}
	return n
}
