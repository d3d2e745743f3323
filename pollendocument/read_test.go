package pollendocument_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"pollenstep.example/pollenstep/pollendocument"
)

// TestCases reads every document in testdata/cases and compares what Read says
// of it with the golden file beside it.
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
			document, err := pollendocument.Read(name+".yaml", text)
			if err != nil {
				g.Assert(t, name, []byte(err.Error()+"\n"))
				return
			}
			written, err := pollendocument.Write(document)
			if err != nil {
				t.Fatal(err)
			}
			g.Assert(t, name, written)
			again, err := pollendocument.Read(name, written)
			if err != nil || !reflect.DeepEqual(document, again) {
				t.Fatalf("written document differs when it is read again: %v", err)
			}
		})
	}
}

func FuzzRead(f *testing.F) {
	files, err := filepath.Glob("testdata/cases/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := pollendocument.Read("fuzz", text)
		if err != nil {
			return
		}
		written, err := pollendocument.Write(document)
		if err != nil {
			t.Fatalf("an accepted document cannot be written: %v", err)
		}
		again, err := pollendocument.Read("written", written)
		if err != nil || !reflect.DeepEqual(document, again) {
			t.Fatalf("written document differs: %v\n%s", err, written)
		}
	})
}
