package pollencommand

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pollenstep.example/pollenstep/pollenreplay"
	"pollenstep.example/pollenstep/pollentrace"
)

// replayView is the JSON output for one variant of a replayed trace.
type replayView struct {
	Trace    string             `json:"trace"`
	Variant  string             `json:"variant"`
	Figures  map[string]float64 `json:"figures"`
	Refusals map[string]int     `json:"refusals,omitempty"`
	Failed   []string           `json:"failed,omitempty"`
	Notes    []string           `json:"notes,omitempty"`
}

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "run traces in virtual time and check their outcomes", ArgsUsage: "TRACE...",
		Description: "Example: pollenstep replay traces/planned.yaml\n" +
			"Example: pollenstep replay --compare traces/*.yaml",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.BoolFlag{Name: "compare", Usage: "run the baselines too, one column each; expectations are then not checked"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` that replaces the trace's"},
		},
		Action: replay,
	}
}

func replay(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return inputError(errors.New("at least one trace file is needed"))
	}
	var views []replayView
	failed := false
	for _, file := range c.Args().Slice() {
		trace, err := pollentrace.Load(file)
		if err != nil {
			return inputError(err)
		}
		if c.IsSet("seed") {
			trace.Seed = c.Uint64("seed")
		}
		variants := []pollenreplay.Variant{pollenreplay.VariantSystem}
		if c.Bool("compare") {
			variants = pollenreplay.Variants()
		}
		for _, v := range variants {
			r := pollenreplay.Run(trace, v)
			failed = failed || len(r.FailedExpectations) > 0 && !c.Bool("compare")
			views = append(views, newReplayView(r))
		}
	}
	if err := output(c, views, func(w io.Writer) { writeReplays(w, views) }); err != nil {
		return err
	}
	if failed {
		return &exitError{code: ExitRefused}
	}
	return nil
}

func newReplayView(r *pollenreplay.Result) replayView {
	v := replayView{
		Trace: r.Trace, Variant: string(r.Variant), Failed: r.FailedExpectations, Notes: r.Notes, Figures: map[string]float64{},
		Refusals: map[string]int{},
	}
	for reason, n := range r.Refusals {
		v.Refusals[string(reason)] = n
	}
	for m, f := range r.Figures {
		v.Figures[string(m)] = f
	}
	return v
}

// writeReplays prints one table for each trace, with one column for each variant.
// The views of a trace are adjacent.
func writeReplays(w io.Writer, views []replayView) {
	for len(views) > 0 {
		n := 1
		for n < len(views) && views[n].Trace == views[0].Trace {
			n++
		}
		writeTable(w, views[:n])
		views = views[n:]
	}
}

// writeTable prints the figures of one trace. Refusals, failed expectations and
// notes follow only if there is a single variant.
func writeTable(w io.Writer, views []replayView) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s", views[0].Trace)
	for _, v := range views {
		_, _ = fmt.Fprintf(t, "\t%s", v.Variant)
	}
	_, _ = fmt.Fprintln(t)
	for _, m := range pollentrace.Measures() {
		_, _ = fmt.Fprintf(t, "  %s", m)
		for _, v := range views {
			_, _ = fmt.Fprintf(t, "\t%s", strconv.FormatFloat(v.Figures[string(m)], 'g', 4, 64))
		}
		_, _ = fmt.Fprintln(t)
	}
	_ = t.Flush()
	for _, v := range views {
		if len(views) > 1 {
			continue
		}
		for _, reason := range slices.Sorted(maps.Keys(v.Refusals)) {
			_, _ = fmt.Fprintf(w, "refused %d: %s\n", v.Refusals[reason], reason)
		}
		for _, f := range v.Failed {
			_, _ = fmt.Fprintf(w, "FAILED %s\n", f)
		}
		for _, note := range v.Notes {
			_, _ = fmt.Fprintf(w, "note: %s\n", note)
		}
	}
}
