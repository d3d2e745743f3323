// Package pollenyaml reads and validates YAML files. Every problem is reported
// with its file, line, field, value and what is allowed. Reading continues
// after a problem, so that one run reports all of them.
package pollenyaml

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxDocumentBytes bounds the size of a file that Parse accepts.
const maxDocumentBytes = 16 << 20

// A Problem is one invalid, missing or unknown field of a file.
type Problem struct {
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the field, such as "services[0].name"; it is empty
	// for the whole file.
	Field string
	// Value is the rejected value; it is empty for a missing field.
	Value string
	// Allowed describes the values that are accepted.
	Allowed string
}

// Error returns the problem on one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: allowed: %s", p.File, p.Line, p.Rejected(), p.Allowed)
}

// Rejected returns the field and the rejected value.
func (p Problem) Rejected() string { return fmt.Sprintf("field %q: value %q", p.Field, p.Value) }

// A Report collects the problems of one file.
type Report struct {
	File     string
	Problems []Problem
}

// Add appends a problem.
func (r *Report) Add(line int, field, value, allowed string) {
	r.Problems = append(r.Problems, Problem{
		File: r.File, Line: line, Field: field, Value: value, Allowed: allowed,
	})
}

// Err returns nil when there is no problem, and otherwise a *ReportError that
// lists all problems.
func (r *Report) Err() error {
	if len(r.Problems) == 0 {
		return nil
	}
	return &ReportError{Problems: r.Problems}
}

// A ReportError is the error for a file with problems.
type ReportError struct {
	// Problems is not empty.
	Problems []Problem
}

// Error returns the problems, one on each line.
func (e *ReportError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// A Mapping reads the fields of one YAML mapping. ReportUnknown reports the
// fields that were never read.
type Mapping struct {
	report *Report
	path   string
	line   int
	// unread holds the nodes of the fields that are not read yet, by name.
	unread map[string]*yaml.Node
	// names holds the names of all fields in file order; lines holds the line of
	// each value.
	names []string
	lines map[string]int
}

// Parse returns the root mapping of a YAML text. When the text is larger than
// 16 MiB, is not YAML or is not a mapping, it adds a problem to the report and
// returns nil.
func Parse(report *Report, text []byte) *Mapping {
	if len(text) > maxDocumentBytes {
		report.Add(1, "", strconv.Itoa(len(text))+" bytes", "at most 16 MiB")
		return nil
	}
	var node yaml.Node
	if err := yaml.Unmarshal(text, &node); err != nil {
		report.Add(1, "", err.Error(), "valid YAML")
		return nil
	}
	if len(node.Content) == 0 {
		report.Add(1, "", "", "a mapping")
		return nil
	}
	return newMapping(report, "", node.Content[0])
}

// newMapping returns the mapping of a node; path is the node's field path. It
// reports duplicate fields. When the node is not a mapping, it adds a problem
// to the report and returns nil.
func newMapping(report *Report, path string, node *yaml.Node) *Mapping {
	if node.Kind != yaml.MappingNode {
		report.Add(node.Line, path, nodeText(node), "a mapping")
		return nil
	}
	m := &Mapping{report: report, path: path, line: node.Line, unread: map[string]*yaml.Node{}, lines: map[string]int{}}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i].Value
		if _, ok := m.unread[name]; ok {
			report.Add(node.Content[i].Line, m.fieldPath(name), name, "each field once")
			continue
		}
		m.unread[name] = node.Content[i+1]
		m.names = append(m.names, name)
		m.lines[name] = node.Content[i+1].Line
	}
	return m
}

// nodeText returns the value of a scalar, or a description of any other node.
func nodeText(node *yaml.Node) string {
	if node.Kind == yaml.ScalarNode {
		return node.Value
	}
	return map[yaml.Kind]string{
		yaml.MappingNode: "a mapping", yaml.SequenceNode: "a list", yaml.AliasNode: "an alias",
	}[node.Kind]
}

// fieldPath returns the field path of a field of the mapping.
func (m *Mapping) fieldPath(name string) string {
	if m.path == "" {
		return name
	}
	return m.path + "." + name
}

// Line returns the line on which the mapping starts.
func (m *Mapping) Line() int { return m.line }

// Path returns the field path of the mapping; it is empty for the whole file.
func (m *Mapping) Path() string { return m.path }

// AddProblem reports a problem with the named field, at the line of its value,
// or at the line of the mapping when the field is missing.
func (m *Mapping) AddProblem(name, value, allowed string) {
	line, ok := m.lines[name]
	if !ok {
		line = m.line
	}
	m.report.Add(line, m.fieldPath(name), value, allowed)
}

// ReportUnknown reports every field that was never read, with the names of the
// allowed fields.
func (m *Mapping) ReportUnknown(allowed ...string) {
	for _, name := range m.names {
		node, ok := m.unread[name]
		if !ok {
			continue
		}
		m.report.Add(node.Line, m.fieldPath(name), nodeText(node), "one of the fields "+strings.Join(allowed, ", "))
	}
}

// Has reports whether the field is present and not yet read.
func (m *Mapping) Has(name string) bool {
	_, ok := m.unread[name]
	return ok
}

// takeScalar marks a field as read and returns its node. It returns false when
// the field is missing or is not a scalar; it reports a missing field only when
// the field is required.
func (m *Mapping) takeScalar(name, allowed string, required bool) (node *yaml.Node, ok bool) {
	node, ok = m.unread[name]
	delete(m.unread, name)
	if !ok {
		if required {
			m.report.Add(m.line, m.fieldPath(name), "", "required: "+allowed)
		}
		return nil, false
	}
	if node.Kind != yaml.ScalarNode {
		m.report.Add(node.Line, m.fieldPath(name), nodeText(node), allowed)
		return nil, false
	}
	return node, true
}

// A Field is the type of a scalar field: how it is parsed and validated.
type Field[T any] struct {
	// Allowed completes the sentence "allowed: …".
	Allowed string
	// Parse returns the value of the text, or false when the text is not allowed.
	Parse func(text string) (T, bool)
}

// Required reads a scalar and reports a problem when it is missing. After a
// problem the target is unchanged.
func Required[T any](m *Mapping, name string, target *T, field Field[T]) {
	readScalar(m, name, target, field, true)
}

// Optional reads a scalar. When it is missing, or after a problem, the target
// is unchanged.
func Optional[T any](m *Mapping, name string, target *T, field Field[T]) {
	readScalar(m, name, target, field, false)
}

func readScalar[T any](m *Mapping, name string, target *T, field Field[T], required bool) {
	node, ok := m.takeScalar(name, field.Allowed, required)
	if !ok {
		return
	}
	value, ok := field.Parse(node.Value)
	if !ok {
		m.report.Add(node.Line, m.fieldPath(name), node.Value, field.Allowed)
		return
	}
	*target = value
}

// List reads a list of mappings and calls read with each of them, in order.
func (m *Mapping) List(name string, required bool, read func(m *Mapping)) {
	node, ok := m.unread[name]
	delete(m.unread, name)
	if !ok {
		if required {
			m.report.Add(m.line, m.fieldPath(name), "", "required: a list of mappings")
		}
		return
	}
	if node.Kind != yaml.SequenceNode {
		m.report.Add(node.Line, m.fieldPath(name), nodeText(node), "a list of mappings")
		return
	}
	for i, item := range node.Content {
		if child := newMapping(m.report, fmt.Sprintf("%s[%d]", m.fieldPath(name), i), item); child != nil {
			read(child)
		}
	}
}

// ScalarList reads a list of scalars and appends the valid ones to the target.
func ScalarList[T any](m *Mapping, name string, required bool, target *[]T, field Field[T]) {
	node, ok := m.unread[name]
	delete(m.unread, name)
	if !ok {
		if required {
			m.report.Add(m.line, m.fieldPath(name), "", "required: a list, each "+field.Allowed)
		}
		return
	}
	if node.Kind != yaml.SequenceNode {
		m.report.Add(node.Line, m.fieldPath(name), nodeText(node), "a list, each "+field.Allowed)
		return
	}
	for i, item := range node.Content {
		value, ok := field.Parse(item.Value)
		if item.Kind != yaml.ScalarNode || !ok {
			m.report.Add(item.Line, fmt.Sprintf("%s[%d]", m.fieldPath(name), i), nodeText(item), field.Allowed)
			continue
		}
		*target = append(*target, value)
	}
}

// Name returns the field type of names: a lower-case letter, then lower-case
// letters, digits and hyphens, at most 63 bytes in all.
func Name[T ~string]() Field[T] {
	return Field[T]{
		Allowed: "a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter",
		Parse: func(text string) (T, bool) {
			return T(text), isName(text)
		},
	}
}

func isName(text string) bool {
	if text == "" || len(text) > 63 || text[0] < 'a' || text[0] > 'z' {
		return false
	}
	for i := range len(text) {
		c := text[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// Text returns the field type of free text of 1 to limit bytes.
func Text(limit int) Field[string] {
	return Field[string]{
		Allowed: fmt.Sprintf("a text of 1 to %d bytes", limit),
		Parse:   func(text string) (string, bool) { return text, text != "" && len(text) <= limit },
	}
}

// Integer returns the field type of whole numbers from low to high. Negative
// numbers are never allowed.
func Integer[T ~int | ~uint64](low, high T) Field[T] {
	return Field[T]{
		Allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		Parse: func(text string) (T, bool) {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil || n < 0 {
				return 0, false
			}
			return T(n), T(n) >= low && T(n) <= high
		},
	}
}

// Number returns the field type of floating-point numbers, as
// strconv.ParseFloat accepts them.
func Number() Field[float64] {
	return Field[float64]{Allowed: "a number", Parse: func(text string) (float64, bool) {
		f, err := strconv.ParseFloat(text, 64)
		return f, err == nil
	}}
}

// Duration returns the field type of durations from low to high.
func Duration(low, high time.Duration) Field[time.Duration] {
	return Field[time.Duration]{
		Allowed: fmt.Sprintf("a duration from %s to %s", low, high),
		Parse: func(text string) (time.Duration, bool) {
			d, err := time.ParseDuration(text)
			return d, err == nil && d >= low && d <= high
		},
	}
}

// AddrPort returns the field type of an IP address with a port other than 0.
func AddrPort() Field[netip.AddrPort] {
	return Field[netip.AddrPort]{
		Allowed: "an IP address and a port, such as 127.0.0.1:7000",
		Parse: func(text string) (netip.AddrPort, bool) {
			a, err := netip.ParseAddrPort(text)
			return a, err == nil && a.Port() != 0
		},
	}
}

// Addr returns the field type of an IP address.
func Addr() Field[netip.Addr] {
	return Field[netip.Addr]{
		Allowed: "an IP address, such as 127.0.0.1",
		Parse: func(text string) (netip.Addr, bool) {
			a, err := netip.ParseAddr(text)
			return a, err == nil
		},
	}
}

// Enum returns the field type of a fixed set of words.
func Enum[T ~string](values ...T) Field[T] {
	words := make([]string, 0, len(values))
	for _, v := range values {
		words = append(words, string(v))
	}
	return Field[T]{
		Allowed: "one of " + strings.Join(words, ", "),
		Parse: func(text string) (T, bool) {
			for _, v := range values {
				if string(v) == text {
					return v, true
				}
			}
			return "", false
		},
	}
}
