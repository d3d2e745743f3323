package pollencommand

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkey"
	"pollenstep.example/pollenstep/pollenoperator"
	"pollenstep.example/pollenstep/pollensettings"
	"pollenstep.example/pollenstep/pollenwire"
)

// defaultWait is the default of the --wait flags.
const defaultWait = 15 * time.Second

// newClient returns a client that calls the control hosts of the settings file
// with its keys.
func newClient(c *cli.Command) (*pollenoperator.Client, error) {
	settings, err := pollensettings.Load(pollensettings.RoleOperator, c.String("settings"))
	if err != nil {
		return nil, inputError(err)
	}
	ring, err := pollenkey.Load(settings.Keys)
	if err != nil {
		return nil, inputError(err)
	}
	return pollenoperator.NewClient(settings.ControlHosts, ring), nil
}

// documentFile returns the only argument.
func documentFile(c *cli.Command) (string, error) {
	file := c.Args().First()
	if file == "" || c.Args().Len() > 1 {
		return "", inputError(errors.New("one document file is needed"))
	}
	return file, nil
}

func readDocument(c *cli.Command) (*pollendocument.Document, error) {
	file, err := documentFile(c)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, inputError(err)
	}
	document, err := pollendocument.Read(file, text)
	if err != nil {
		return nil, inputError(err)
	}
	return document, nil
}

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "submit a document and wait until it is in force", ArgsUsage: "DOCUMENT",
		Description: "Example: pollenstep submit --settings operator.yaml --team rings --by ana services.yaml\n" +
			"After an unknown outcome, run it again with the --id that it printed.",
		Flags: []cli.Flag{
			settingsFlag(), outputFlag(),
			&cli.StringFlag{Name: "id", Usage: "submission `ID`; random by default"},
			&cli.StringFlag{Name: "by", Usage: "`NAME` of the submitter", Value: os.Getenv("USER")},
			&cli.StringSliceFlag{Name: "team", Usage: "refuse changes to sections other than `TEAM`'s; may be repeated"},
			&cli.DurationFlag{Name: "wait", Usage: "`TIME` to wait for the outcome and for every member", Value: defaultWait},
			&cli.BoolFlag{Name: "no-wait", Usage: "do not wait until the document is in force"},
		},
		Action: submit,
	}
}

func submit(ctx context.Context, c *cli.Command) error {
	document, err := readDocument(c)
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	call := pollenwire.SubmitCall{ID: c.String("id"), Submitter: c.String("by"), Document: *document}
	if call.ID == "" {
		call.ID = newSubmissionID()
	}
	for _, t := range c.StringSlice("team") {
		call.Teams = append(call.Teams, pollendocument.Team(t))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait"))
	defer cancel()
	started := time.Now()
	answer, err := client.Submit(ctx, call)
	if err != nil {
		return err
	}
	view := newSubmitView(call.ID, answer)
	if answer.Verdict == pollencontrol.VerdictDone && !c.Bool("no-wait") {
		for _, name := range client.WaitInForce(ctx, answer.Outcome.Revision) {
			view.SlowMembers = append(view.SlowMembers, string(name))
		}
		// WaitInForce also returns no names if the context ended before it received
		// a state.
		view.InForce = len(view.SlowMembers) == 0 && ctx.Err() == nil
	}
	if err := output(c, view, func(w io.Writer) { writeSubmit(w, view, time.Since(started)) }); err != nil {
		return err
	}
	return verdictError(answer.Verdict)
}

func newSubmissionID() string {
	var b [8]byte
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func newSubmitView(id string, a pollencontrol.Answer) submitView {
	v := submitView{Verdict: string(a.Verdict), ID: id, Reason: a.Reason, Revision: uint64(a.Outcome.Revision)}
	for _, w := range a.Outcome.Sections {
		v.Sections = append(v.Sections, sectionView{
			Team: string(w.Team), Version: w.Version, Hash: w.Hash, Submitter: w.Submitter, Fields: w.Fields,
		})
	}
	return v
}

func writeSubmit(w io.Writer, v submitView, took time.Duration) {
	if v.Verdict != string(pollencontrol.VerdictDone) {
		_, _ = fmt.Fprintf(w, "%s: id %s\n%s\n", v.Verdict, v.ID, v.Reason)
		return
	}
	_, _ = fmt.Fprintf(w, "accepted: id %s revision %d\n", v.ID, v.Revision)
	for _, s := range v.Sections {
		_, _ = fmt.Fprintf(w, "section %s is now version %d\n", s.Team, s.Version)
	}
	if v.InForce {
		_, _ = fmt.Fprintf(w, "in force at every live member after %s\n", took.Round(time.Millisecond))
	} else if len(v.SlowMembers) > 0 {
		_, _ = fmt.Fprintf(w, "not yet in force at %s\n", strings.Join(v.SlowMembers, ", "))
	}
}

// verdictError maps a verdict to an exit code. The error has no text because the
// reason has been printed with the verdict.
func verdictError(v pollencontrol.Verdict) error {
	switch v {
	case pollencontrol.VerdictDone:
		return nil
	case pollencontrol.VerdictUnknown:
		return &exitError{code: ExitUnknown}
	default:
		return &exitError{code: ExitRefused}
	}
}

// fetchState queries the system's state. If no control host returns it, the exit
// code is ExitUnknown.
func fetchState(ctx context.Context, c *cli.Command) (*pollencontrol.State, error) {
	client, err := newClient(c)
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait"))
	defer cancel()
	s, err := client.State(ctx)
	if err != nil {
		return nil, &exitError{code: ExitUnknown, text: err.Error()}
	}
	return s, nil
}

func waitFlag() cli.Flag {
	return &cli.DurationFlag{Name: "wait", Usage: "`TIME` to wait for the answer", Value: defaultWait}
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "print the document that is in force, with its versions",
		Description: "Example: pollenstep show --settings operator.yaml > services.yaml",
		Flags:       []cli.Flag{settingsFlag(), waitFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := fetchState(ctx, c)
			if err != nil {
				return err
			}
			text, err := pollendocument.Write(&s.View.Document)
			if err != nil {
				return err
			}
			_, err = c.Root().Writer.Write(text)
			return err
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "compare a document with the one in force", ArgsUsage: "DOCUMENT",
		Description: "Example: pollenstep diff --settings operator.yaml services.yaml",
		Flags:       []cli.Flag{settingsFlag(), outputFlag(), waitFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			document, err := readDocument(c)
			if err != nil {
				return err
			}
			s, err := fetchState(ctx, c)
			if err != nil {
				return err
			}
			views := diffDocuments(&s.View.Document, document)
			return output(c, views, func(w io.Writer) {
				for _, v := range views {
					_, _ = fmt.Fprintf(w, "section %s (edited from version %d, now %d): %s\n",
						v.Team, v.BaseVersion, v.CurrentVersion, strings.Join(v.Fields, ", "))
				}
			})
		},
	}
}

// diffDocuments compares each submitted section with the section of the same team
// that is in force and omits the equal ones.
func diffDocuments(inForce, submitted *pollendocument.Document) []diffView {
	views := []diffView{}
	for i := range submitted.Sections {
		section := &submitted.Sections[i]
		current := inForce.Section(section.Team)
		if current == nil {
			current = &pollendocument.Section{Team: section.Team}
		}
		if fields := pollendocument.DiffSections(current, section); len(fields) > 0 {
			views = append(views, diffView{
				Team: string(section.Team), BaseVersion: section.Version, CurrentVersion: current.Version, Fields: fields,
			})
		}
	}
	return views
}
