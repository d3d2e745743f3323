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

// TestReadCases reads every document in testdata/cases. The golden file next to
// it holds the expected error, or the text that Write must return for the
// document. It guards against problems that Read does not report or reports for
// the wrong line, and against values that are lost when a document is written
// and read again.
func TestReadCases(t *testing.T) {
	files, err := filepath.Glob("testdata/cases/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files match testdata/cases/*.yaml: %v", err)
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
				t.Fatalf("the document differs after it was written and read again: %v", err)
			}
		})
	}
}

// FuzzRead guards against texts that make Read panic, and against accepted
// documents that Write cannot write or that differ when they are read again.
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
			t.Fatalf("write a document that was read without error: %v", err)
		}
		again, err := pollendocument.Read("written", written)
		if err != nil || !reflect.DeepEqual(document, again) {
			t.Fatalf("the document differs after it was written and read again: %v\n%s", err, written)
		}
	})
}
