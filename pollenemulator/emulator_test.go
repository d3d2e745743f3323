package pollenemulator_test

import (
	"path/filepath"
	"strings"
	"testing"

	"pollenstep.example/pollenstep/pollenemulator"
)

func TestPlans(t *testing.T) {
	files, err := filepath.Glob("../plans/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d plans, %v", len(files), err)
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

func TestSameSeedRepeatsFigures(t *testing.T) {
	plan, err := pollenemulator.Load("../plans/calm.yaml")
	if err != nil {
		t.Fatal(err)
	}
	first, second := pollenemulator.Run(plan), pollenemulator.Run(plan)
	for m, f := range first.Figures {
		if second.Figures[m] != f {
			t.Errorf("%s is %g and then %g with the same seed", m, f, second.Figures[m])
		}
	}
}
