package pollencommand

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pollenstep.example/pollenstep/pollenemulator"
)

// emulationView is the JSON form of an emulated day.
type emulationView struct {
	Plan    string             `json:"plan"`
	Seed    uint64             `json:"seed"`
	Figures map[string]float64 `json:"figures"`
	Failed  []string           `json:"failed,omitempty"`
	Notes   []string           `json:"notes,omitempty"`
}

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name: "emulate", Usage: "play plans with whole systems in virtual time and check what came of them", ArgsUsage: "PLAN...",
		Description: "Example: pollenstep emulate plans/rolling.yaml\n" +
			"Example: pollenstep emulate --load 150 --seeds 20 plans/*.yaml",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` in place of the plan's"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "play each plan `N` times, with one seed after the other"},
			&cli.IntFlag{Name: "load", Value: 100, Usage: "callers in `PERCENT` of the plan's"},
		},
		Action: emulate,
	}
}

func emulate(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return inputError(errors.New("one plan file or more are needed"))
	}
	if c.Int("load") <= 0 || c.Int("seeds") <= 0 {
		return inputError(errors.New("load and seeds must be positive"))
	}
	var views []emulationView
	failed := false
	for _, file := range c.Args().Slice() {
		plan, err := pollenemulator.Load(file)
		if err != nil {
			return inputError(err)
		}
		if c.IsSet("seed") {
			plan.Seed = c.Uint64("seed")
		}
		plan.Scale(c.Int("load"))
		for range c.Int("seeds") {
			r := pollenemulator.Run(plan)
			failed = failed || len(r.Failed) > 0
			v := emulationView{Plan: r.Plan, Seed: plan.Seed, Failed: r.Failed, Notes: r.Notes, Figures: map[string]float64{}}
			for m, f := range r.Figures {
				v.Figures[string(m)] = f
			}
			views = append(views, v)
			plan.Seed++
		}
	}
	if err := output(c, views, func(w io.Writer) { writeEmulations(w, views) }); err != nil {
		return err
	}
	if failed {
		return &exitError{code: ExitRefused}
	}
	return nil
}

func writeEmulations(w io.Writer, views []emulationView) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(t, "plan\tseed")
	for _, m := range pollenemulator.Measures() {
		_, _ = fmt.Fprintf(t, "\t%s", m)
	}
	_, _ = fmt.Fprintln(t)
	for _, v := range views {
		_, _ = fmt.Fprintf(t, "%s\t%d", v.Plan, v.Seed)
		for _, m := range pollenemulator.Measures() {
			_, _ = fmt.Fprintf(t, "\t%s", strconv.FormatFloat(v.Figures[string(m)], 'g', 4, 64))
		}
		_, _ = fmt.Fprintln(t)
	}
	_ = t.Flush()
	for _, v := range views {
		for _, f := range v.Failed {
			_, _ = fmt.Fprintf(w, "FAILED %s, seed %d: %s\n", v.Plan, v.Seed, f)
		}
	}
}
