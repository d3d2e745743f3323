package pollenemulator_test

import (
	"path/filepath"
	"strings"
	"testing"

	"pollenstep.example/pollenstep/pollenemulator"
)

// TestPlans runs every plan of the plans folder and checks its expectations. It
// fails when a fault of the plan breaks flows, runs unsafe requests twice, loses
// acknowledged documents or delays too many answers.
func TestPlans(t *testing.T) {
	files, err := filepath.Glob("../plans/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("found %d plans in ../plans: %v", len(files), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan, err := pollenemulator.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			r := pollenemulator.Run(plan)
			for _, f := range r.FailedExpectations {
				t.Error(f)
			}
			t.Logf("%v", r.Figures)
			for _, note := range r.Notes {
				t.Log(note)
			}
		})
	}
}

// TestSameSeedRepeatsFigures guards against nondeterminism: a run that depends on
// map order or on the real clock gives other figures the second time, and a failed
// plan could not be reproduced from its seed.
func TestSameSeedRepeatsFigures(t *testing.T) {
	plan, err := pollenemulator.Load("../plans/calm.yaml")
	if err != nil {
		t.Fatal(err)
	}
	first, second := pollenemulator.Run(plan), pollenemulator.Run(plan)
	for m, f := range first.Figures {
		if second.Figures[m] != f {
			t.Errorf("%s differs with the same seed: %g, then %g", m, f, second.Figures[m])
		}
	}
}
