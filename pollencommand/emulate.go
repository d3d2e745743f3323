package pollencommand

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pollenstep.example/pollenstep/pollenemulator"
	"pollenstep.example/pollenstep/pollensteer"
)

// emulationView is the JSON output for one run of a plan. An empty policy stands
// for the default one.
type emulationView struct {
	Plan    string             `json:"plan"`
	Seed    uint64             `json:"seed"`
	Policy  string             `json:"policy,omitempty"`
	Figures map[string]float64 `json:"figures"`
	Failed  []string           `json:"failed,omitempty"`
	Notes   []string           `json:"notes,omitempty"`
}

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name: "emulate", Usage: "run plans against whole systems in virtual time and check their expectations", ArgsUsage: "PLAN...",
		Description: "Example: pollenstep emulate plans/rolling.yaml\n" +
			"Example: pollenstep emulate --load 150 --seeds 20 plans/*.yaml",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` that replaces the plan's"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "run each plan `N` times, with consecutive seeds"},
			&cli.StringFlag{Name: "policy", Usage: fmt.Sprintf("`POLICY` that chooses gates, one of %v", pollensteer.Policies())},
			&cli.BoolFlag{Name: "compare", Usage: "run each plan with every policy"},
			&cli.IntFlag{Name: "load", Value: 100, Usage: "number of callers in `PERCENT` of the plan's"},
		},
		Action: emulate,
	}
}

func emulate(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return inputError(errors.New("at least one plan file is needed"))
	}
	policies := []pollensteer.PolicyName{pollensteer.PolicyName(c.String("policy"))}
	if c.Bool("compare") {
		policies = pollensteer.Policies()
	}
	if p := policies[0]; p != "" && !slices.Contains(pollensteer.Policies(), p) {
		return inputError(errors.Errorf("policy %q is not one of %v", p, pollensteer.Policies()))
	}
	if c.Int("load") <= 0 || c.Int("seeds") <= 0 {
		return inputError(errors.Errorf("--load %d and --seeds %d must be positive", c.Int("load"), c.Int("seeds")))
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
		for i := range c.Int("seeds") * len(policies) {
			plan.Policy = policies[i%len(policies)]
			r := pollenemulator.Run(plan)
			failed = failed || len(r.FailedExpectations) > 0
			v := emulationView{Plan: r.Plan, Seed: plan.Seed, Policy: string(plan.Policy), Failed: r.FailedExpectations, Notes: r.Notes, Figures: map[string]float64{}}
			for m, f := range r.Figures {
				v.Figures[string(m)] = f
			}
			views = append(views, v)
			if (i+1)%len(policies) == 0 {
				plan.Seed++
			}
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

// writeEmulations prints one table with a row for each run, and the failed
// expectations after it.
func writeEmulations(w io.Writer, views []emulationView) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(t, "plan\tseed\tpolicy")
	for _, m := range pollenemulator.Measures() {
		_, _ = fmt.Fprintf(t, "\t%s", m)
	}
	_, _ = fmt.Fprintln(t)
	for _, v := range views {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s", v.Plan, v.Seed, v.Policy)
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
