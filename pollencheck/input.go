package pollencheck

import (
	"slices"
	"strings"

	"pollenstep.example/pollenstep/pollendocument"
)

// An Input is a document that is checked: either the teams' sections or a
// declaration.
type Input struct {
	// File names the document in the findings.
	File string
	// Document is nil for a declaration, and Declaration is nil for a document of
	// teams' sections.
	Document    *pollendocument.Document
	Declaration *pollendocument.Declaration

	// values and conflicts are the errors of reading: invalid values, and
	// contradictions between values.
	values, conflicts []Finding
	// weightless are the shares of weight 0 in the text of a declaration.
	weightless []pollendocument.WeightlessShare
	// lines holds the lines of the entries of a document of teams' sections.
	lines map[place]int
	// faulty holds the places of the errors. Warnings about them are left out, since
	// their values may be missing.
	faulty map[place]bool
}

// A place is a section and an entry, as in a Finding.
type place struct{ section, entry string }

// NewDocument returns a valid document of teams' sections as an Input.
func NewDocument(file string, document *pollendocument.Document) *Input {
	in := newInput(file)
	in.Document = document
	return in
}

// ReadDocument returns the text of a document of teams' sections as an Input.
func ReadDocument(file string, text []byte) *Input {
	reading := pollendocument.Inspect(file, text)
	slices.SortStableFunc(reading.Document.Sections, func(a, b pollendocument.Section) int {
		return strings.Compare(string(a.Team), string(b.Team))
	})
	in := newInput(file)
	in.Document = &reading.Document
	paths := make(map[string]place, len(reading.Entries))
	for _, e := range reading.Entries {
		p := place{string(e.Team), e.Field}
		in.lines[p] = e.Line
		paths[e.Path] = p
	}
	for _, v := range reading.Values {
		p := enclosing(paths, v.Field)
		in.values = append(in.values, Finding{
			// An invalid name is left out; the text holds the field path.
			File: file, Line: v.Line, Section: p.section, Entry: strings.TrimSuffix(p.entry, "."),
			Text: v.Rejected(), Expected: v.Allowed,
		})
		in.faulty[p] = true
	}
	for i, v := range reading.Conflicts {
		c := reading.Contradictions[i]
		in.conflicts = append(in.conflicts, Finding{
			File: file, Line: v.Line, Section: string(c.Team), Entry: c.Field, Text: v.Rejected(), Expected: v.Allowed,
		})
		in.faulty[place{string(c.Team), c.Field}] = true
	}
	return in
}

// enclosing returns the entry to which the field path belongs, or the zero value for
// a field outside of all entries.
func enclosing(entries map[string]place, path string) place {
	for {
		if p, ok := entries[path]; ok {
			return p
		}
		end := strings.LastIndexByte(path, '.')
		if end < 0 {
			return place{}
		}
		path = path[:end]
	}
}

// NewDeclaration returns a declaration that has been decoded from a file as an Input.
func NewDeclaration(file string, reading *pollendocument.DeclarationReading) *Input {
	in := newInput(file)
	in.Declaration = &reading.Declaration
	in.weightless = reading.Weightless
	convert := func(faults []pollendocument.DeclarationFault) []Finding {
		findings := make([]Finding, 0, len(faults))
		for _, v := range faults {
			p := place{string(v.Part), v.Entry}
			in.faulty[p] = true
			findings = append(findings, Finding{
				File: file, Section: p.section, Entry: p.entry, Text: v.Err.Error(), Expected: v.Allowed,
			})
		}
		return findings
	}
	in.values = convert(reading.Undecoded)
	in.conflicts = convert(reading.Invalid)
	return in
}

func newInput(file string) *Input {
	return &Input{File: file, lines: map[place]int{}, faulty: map[place]bool{}}
}

// Valid reports whether the document has no errors.
func (in *Input) Valid() bool { return len(in.values) == 0 && len(in.conflicts) == 0 }

// sections returns the sections of a document of teams' sections.
func (in *Input) sections() []pollendocument.Section {
	if in.Document == nil {
		return nil
	}
	return in.Document.Sections
}

// routes returns the routes of a declaration that have no errors.
func (in *Input) routes() []pollendocument.Route {
	if in.Declaration == nil {
		return nil
	}
	return withoutErrors(in, pollendocument.PartRoutes, in.Declaration.Routes, func(r *pollendocument.Route) string { return r.Name })
}

// pools returns the services of a declaration that have no errors.
func (in *Input) pools() []pollendocument.Pool {
	if in.Declaration == nil {
		return nil
	}
	return withoutErrors(in, pollendocument.PartServices, in.Declaration.Pools, func(p *pollendocument.Pool) string { return string(p.Name) })
}

func withoutErrors[T any](in *Input, part pollendocument.DeclarationPart, entries []T, name func(*T) string) []T {
	var valid []T
	for i := range entries {
		if !in.faulty[place{string(part), name(&entries[i])}] {
			valid = append(valid, entries[i])
		}
	}
	return valid
}

// services calls check with each service of the teams' sections that has no errors.
// The texts that check returns become findings.
func (in *Input) services(check func(s *pollendocument.Service) (text, expected string)) []Finding {
	var findings []Finding
	sections := in.sections()
	for i := range sections {
		section := &sections[i]
		for j := range section.Services {
			p := place{string(section.Team), "services." + string(section.Services[j].Name)}
			if in.faulty[p] {
				continue
			}
			if text, expected := check(&section.Services[j]); text != "" {
				findings = append(findings, in.finding(p, text, expected))
			}
		}
	}
	return findings
}

func (in *Input) finding(p place, text, expected string) Finding {
	return Finding{File: in.File, Line: in.lines[p], Section: p.section, Entry: p.entry, Text: text, Expected: expected}
}

func (in *Input) routeFinding(name, text, expected string) Finding {
	return in.finding(place{string(pollendocument.PartRoutes), name}, text, expected)
}

func (in *Input) serviceFinding(name pollendocument.ServiceName, text, expected string) Finding {
	return in.finding(place{string(pollendocument.PartServices), string(name)}, text, expected)
}
