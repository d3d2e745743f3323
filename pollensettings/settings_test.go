package pollensettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"pollenstep.example/pollenstep/pollensettings"
)

// TestCases guards against accepting invalid settings and against errors that
// omit a problem or its line. It reads each settings file in testdata/cases,
// whose name starts with the role, and compares the error of Read, or "ok",
// with the golden file.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/cases/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/cases"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			role, _, _ := strings.Cut(name, "-")
			_, err = pollensettings.Read(pollensettings.Role(role), name+".yaml", text)
			result := "ok"
			if err != nil {
				result = err.Error()
			}
			g.Assert(t, name, []byte(result+"\n"))
		})
	}
}
