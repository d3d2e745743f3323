package pollencommand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pollenstep.example/pollenstep/pollencheck"
	"pollenstep.example/pollenstep/pollendocument"
)

// A Decoder decodes the text of a declaration as far as possible.
type Decoder func(text []byte) *pollendocument.DeclarationReading

// CheckCommand returns the command that checks a document. Files whose first byte is
// "{" are decoded by decode; if it is nil, they are read as teams' sections.
func CheckCommand(decode Decoder) *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a document without submitting it", ArgsUsage: "DOCUMENT",
		Description: "Example: pollenstep check --against services-old.yaml services.yaml\n" +
			"Reports all errors and warnings, and with --against or --settings what differs.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "compare with the document in `FILE`"},
			// Unlike the other commands, check does not take the settings from the
			// environment: it calls control hosts only if this is asked for.
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "compare with the version in force, by the settings `FILE`"},
			&cli.BoolFlag{Name: "strict", Usage: "fail if there are warnings"},
			outputFlag(), waitFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error { return check(ctx, c, decode) },
	}
}

func check(ctx context.Context, c *cli.Command, decode Decoder) error {
	if c.IsSet("against") && c.IsSet("settings") {
		return inputError(errors.New("--against and --settings exclude each other"))
	}
	file, err := documentFile(c)
	if err != nil {
		return err
	}
	in, err := readInput(file, decode)
	if err != nil {
		return err
	}
	findings := pollencheck.Check(in)
	var changes []pollencheck.Change
	// A document with errors lacks values, which would be reported as changes.
	compared := in.Valid() && (c.IsSet("against") || c.IsSet("settings"))
	if compared {
		if changes, err = compareInput(ctx, c, in, decode); err != nil {
			return err
		}
	}
	view := newCheckView(in.File, findings, changes, compared)
	if err := output(c, view, func(w io.Writer) { writeCheck(w, in, findings, changes, compared) }); err != nil {
		return err
	}
	if view.Errors > 0 || c.Bool("strict") && view.Warnings > 0 {
		// The findings have been printed.
		return &exitError{code: ExitInput}
	}
	return nil
}

func readInput(file string, decode Decoder) (*pollencheck.Input, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, inputError(err)
	}
	if decode != nil && bytes.HasPrefix(text, []byte("{")) {
		return pollencheck.NewDeclaration(file, decode(text)), nil
	}
	return pollencheck.ReadDocument(file, text), nil
}

// compareInput returns the changes from the file or version that the flags name.
func compareInput(ctx context.Context, c *cli.Command, in *pollencheck.Input, decode Decoder) ([]pollencheck.Change, error) {
	old, err := previousInput(ctx, c, in, decode)
	if err != nil {
		return nil, err
	}
	changes, err := pollencheck.Diff(old, in)
	if err != nil {
		return nil, inputError(err)
	}
	return changes, nil
}

func previousInput(ctx context.Context, c *cli.Command, in *pollencheck.Input, decode Decoder) (*pollencheck.Input, error) {
	if file := c.String("against"); file != "" {
		old, err := readInput(file, decode)
		if err != nil {
			return nil, err
		}
		if !old.Valid() {
			return nil, inputError(errors.Errorf("%s has errors and cannot be compared with", file))
		}
		return old, nil
	}
	s, err := fetchState(ctx, c)
	if err != nil {
		return nil, err
	}
	if in.Declaration != nil {
		return pollencheck.NewDeclaration("", &pollendocument.DeclarationReading{Declaration: s.View.Declared}), nil
	}
	return pollencheck.NewDocument("", &s.View.Document), nil
}

func newCheckView(file string, findings []pollencheck.Finding, changes []pollencheck.Change, compared bool) checkView {
	v := checkView{
		File: file, Findings: []findingView{},
		Errors:   pollencheck.Count(findings, pollencheck.SeverityError),
		Warnings: pollencheck.Count(findings, pollencheck.SeverityWarning),
	}
	for _, f := range findings {
		v.Findings = append(v.Findings, findingView{
			Rule: f.Rule, Severity: string(f.Severity), File: f.File, Line: f.Line, Section: f.Section, Entry: f.Entry,
			Text: f.Text, Expected: f.Expected,
		})
	}
	if compared {
		v.Changes = []changeView{}
	}
	for _, c := range changes {
		change := changeView{Section: c.Section, Entry: c.Entry, Kind: string(c.Kind), Effect: string(c.Effect)}
		for _, f := range c.Fields {
			change.Fields = append(change.Fields, fieldChangeView{Field: f.Field, Old: f.Old, New: f.New})
		}
		v.Changes = append(v.Changes, change)
	}
	return v
}

func writeCheck(w io.Writer, in *pollencheck.Input, findings []pollencheck.Finding, changes []pollencheck.Change, compared bool) {
	for i := range findings {
		_, _ = fmt.Fprintln(w, findings[i].String())
	}
	for i := range changes {
		_, _ = fmt.Fprintln(w, changes[i].String())
	}
	if compared && len(changes) == 0 {
		_, _ = fmt.Fprintln(w, "no differences")
	}
	warnings := ""
	if n := pollencheck.Count(findings, pollencheck.SeverityWarning); n > 0 {
		warnings = fmt.Sprintf(", %d warnings", n)
	}
	if !in.Valid() {
		_, _ = fmt.Fprintf(w, "refused: %d errors%s\n", pollencheck.Count(findings, pollencheck.SeverityError), warnings)
		return
	}
	if in.Declaration != nil {
		_, _ = fmt.Fprintf(w, "ok: %d routes, %d services%s\n", len(in.Declaration.Routes), len(in.Declaration.Pools), warnings)
		return
	}
	services := 0
	for i := range in.Document.Sections {
		services += len(in.Document.Sections[i].Services)
	}
	_, _ = fmt.Fprintf(w, "ok: %d sections, %d services%s\n", len(in.Document.Sections), services, warnings)
}
