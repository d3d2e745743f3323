package pollencheck_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"pollenstep.example/pollenstep/platform"
	"pollenstep.example/pollenstep/pollencheck"
	"pollenstep.example/pollenstep/pollendocument"
)

func read(file string, text []byte) *pollencheck.Input {
	if bytes.HasPrefix(text, []byte("{")) {
		return pollencheck.NewDeclaration(file, platform.InspectDocument(text))
	}
	return pollencheck.ReadDocument(file, text)
}

func readFile(tb testing.TB, path string) *pollencheck.Input {
	tb.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	return read(filepath.Base(path), text)
}

func glob(tb testing.TB, pattern string) []string {
	tb.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		tb.Fatalf("no files match %s: %v", pattern, err)
	}
	return files
}

// TestRules checks every document in testdata/cases, whose name starts with the rule
// that it is for. It guards against rules that report nothing, report entries that are
// just within the limit, or report them for the wrong place, and against rules
// without a case.
func TestRules(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata/cases"))
	seen := map[string]bool{}
	for _, file := range append(glob(t, "testdata/cases/*.yaml"), glob(t, "testdata/cases/*.json")...) {
		name := filepath.Base(file)
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			for _, f := range pollencheck.Check(readFile(t, file)) {
				text.WriteString(f.String() + "\n")
				if strings.HasPrefix(name, f.Rule) {
					seen[f.Rule] = true
				}
			}
			g.Assert(t, name, []byte(text.String()))
		})
	}
	for _, rule := range pollencheck.Rules.Names() {
		if !seen[rule] {
			t.Errorf("no document in testdata/cases violates the rule %q", rule)
		}
	}
}

// TestDiff compares the pairs of documents in testdata/diffs. It guards against changes
// that are missing, reported for equal entries, or reported with the wrong effect on
// open flows.
func TestDiff(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata/diffs"))
	for _, file := range glob(t, "testdata/diffs/*-old.*") {
		name, extension, _ := strings.Cut(filepath.Base(file), "-old.")
		t.Run(name, func(t *testing.T) {
			old, changed := readFile(t, file), readFile(t, "testdata/diffs/"+name+"-new."+extension)
			if !old.Valid() || !changed.Valid() {
				t.Fatalf("the documents have errors: %v %v", pollencheck.Check(old), pollencheck.Check(changed))
			}
			changes, err := pollencheck.Diff(old, changed)
			if err != nil {
				t.Fatal(err)
			}
			var text strings.Builder
			for _, c := range changes {
				text.WriteString(c.String() + "\n")
			}
			g.Assert(t, name, []byte(text.String()))
		})
	}
}

// TestDiffOfForms guards against a comparison of teams' sections with a declaration,
// which would report every entry of one of them.
func TestDiffOfForms(t *testing.T) {
	text, declaration := readFile(t, "testdata/diffs/text-old.yaml"), readFile(t, "testdata/diffs/platform-old.json")
	if _, err := pollencheck.Diff(text, declaration); err == nil {
		t.Error("two documents of different forms were compared")
	}
}

// FuzzCheck guards against texts that make Check or Diff panic, against errors whose
// words or number differ from those with which the text is refused on submission, and
// against differences between a document and itself.
func FuzzCheck(f *testing.F) {
	for _, pattern := range []string{"testdata/cases/*.yaml", "testdata/cases/*.json", "testdata/diffs/*.yaml", "testdata/diffs/*.json"} {
		for _, file := range glob(f, pattern) {
			text, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		in := read("fuzz", text)
		var refused []string
		for _, f := range pollencheck.Check(in) {
			if f.Severity == pollencheck.SeverityError {
				refused = append(refused, refusal(in, f))
			}
		}
		if in.Valid() != (len(refused) == 0) {
			t.Fatalf("valid: %v, errors: %q", in.Valid(), refused)
		}
		if in.Declaration != nil {
			_, err := platform.ReadDocument(text)
			if (err == nil) != in.Valid() || err != nil && err.Error() != refused[0] {
				t.Fatalf("refused on submission with %v, by the check with %q", err, refused)
			}
		} else {
			_, err := pollendocument.Read("fuzz", text)
			if (err == nil) != in.Valid() || err != nil && err.Error() != strings.Join(refused, "\n") {
				t.Fatalf("refused on submission with %v, by the check with %q", err, refused)
			}
		}
		if !in.Valid() {
			return
		}
		if changes, err := pollencheck.Diff(in, read("again", text)); err != nil || len(changes) > 0 {
			t.Fatalf("a document differs from itself: %v %v", changes, err)
		}
	})
}

// refusal returns the words with which a finding is refused on submission.
func refusal(in *pollencheck.Input, f pollencheck.Finding) string {
	if in.Declaration != nil {
		return f.Text
	}
	return fmt.Sprintf("%s:%d: %s: allowed: %s", f.File, f.Line, f.Text, f.Expected)
}

// checkLimit is the longest time that a check of a document with 4,447 routes may take.
const checkLimit = 200 * time.Millisecond

// processorTime returns the processor time that this process has used on all cores,
// including garbage collection.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCheck reads and checks documents with 4,447 routes or services, and
// compares them with themselves. It fails if one check takes more than checkLimit of
// processor time. The elapsed time is reported only: at loads of 26 to 43 on 7 cores that
// of the same check varied from 65 to 390 ms.
func BenchmarkCheck(b *testing.B) {
	const routes = 4447
	var declaration, sections strings.Builder
	declaration.WriteString(`{"version":1,"limits":{"idleTimeoutMs":15000},"services":[{"name":"rings"},{"name":"feed"}],"routes":[`)
	sections.WriteString("format: 1\ndomains: [{domain: celje-a}]\nteams:\n  - team: registry\n    services:\n")
	for i := range routes {
		if i > 0 {
			declaration.WriteString(",")
		}
		_, _ = fmt.Fprintf(&declaration, `{"name":"r%d","host":"192.0.2.1","pathPrefix":"/%d/","type":"safe","timeoutMs":2000,"latencySloMs":400,`+
			`"priority":%d,"trafficSplit":[{"service":"rings","weight":90},{"service":"feed","weight":10}]}`, i, i+1, i%3)
		_, _ = fmt.Fprintf(&sections, "      - {service: r%d, address: \"192.0.2.1:%d\", delivery: relay, slots: 5, connections: 100}\n", i, i+1)
	}
	declaration.WriteString("]}")
	for name, text := range map[string]string{"declaration": declaration.String(), "sections": sections.String()} {
		b.Run(name, func(b *testing.B) {
			previous := read("old", []byte(text))
			b.ResetTimer()
			started := processorTime(b)
			for range b.N {
				in := read("new", []byte(text))
				if findings := pollencheck.Check(in); len(findings) > 0 {
					b.Fatalf("unexpected findings: %v", findings[0])
				}
				if changes, err := pollencheck.Diff(previous, in); err != nil || len(changes) > 0 {
					b.Fatalf("unexpected changes: %v %v", changes, err)
				}
			}
			mean := (processorTime(b) - started) / time.Duration(b.N)
			b.ReportMetric(float64(mean.Milliseconds()), "cpu-ms/op")
			if mean > checkLimit {
				b.Errorf("a check takes %s of processor time, more than %s", mean, checkLimit)
			}
		})
	}
}
