package pollencommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"pollenstep.example/pollenstep/platform"
	"pollenstep.example/pollenstep/pollencommand"
)

func runCheck(args string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = pollencommand.Main(context.Background(), append([]string{"pollenstep", "check"}, strings.Fields(args)...), &out, &errs,
		pollencommand.CheckCommand(platform.InspectDocument))
	return code, out.String(), errs.String()
}

// TestCheckExitCodes guards against exit codes of check that scripts do not expect, and
// against findings or differences that are not printed.
func TestCheckExitCodes(t *testing.T) {
	const cases, diffs = "../pollencheck/testdata/cases/", "../pollencheck/testdata/diffs/"
	for _, c := range []struct {
		args   string
		code   int
		output string
	}{
		{cases + "none.json", pollencommand.ExitDone, "ok: 1 routes, 1 services\n"},
		{"--strict " + cases + "none.json", pollencommand.ExitDone, "ok: 1 routes"},
		{cases + "low-cold-rate.json", pollencommand.ExitDone, ", 1 warnings\n"},
		{"--strict " + cases + "low-cold-rate.json", pollencommand.ExitInput, "warning low-cold-rate"},
		{"--strict --output json " + cases + "connections-below-slots.yaml", pollencommand.ExitInput, `"warnings": 1`},
		{cases + "conflict-platform.json", pollencommand.ExitInput, `routes "a" and "b" share address`},
		{cases + "conflict-text.yaml", pollencommand.ExitInput, "refused: 4 errors, 1 warnings\n"},
		{"--output xml " + cases + "none.json", pollencommand.ExitInput, "allowed: text, json"},
		{"--against " + diffs + "platform-old.json " + diffs + "platform-new.json", pollencommand.ExitDone, "removed routes b"},
		{"--against " + diffs + "text-old.yaml " + diffs + "text-new.yaml", pollencommand.ExitDone, "slots 5 -> 6"},
		{"--against " + diffs + "platform-same-old.json " + diffs + "platform-same-new.json", pollencommand.ExitDone, "no differences"},
		{"--against " + diffs + "text-old.yaml " + diffs + "platform-new.json", pollencommand.ExitInput, "cannot be compared"},
		{"--against " + cases + "conflict-text.yaml " + diffs + "text-new.yaml", pollencommand.ExitInput, "has errors"},
		{"--against none.yaml " + diffs + "text-new.yaml", pollencommand.ExitInput, "no such file"},
		{"--settings none.yaml " + diffs + "text-new.yaml", pollencommand.ExitInput, "no such file"},
		{"--settings x --against y " + diffs + "text-new.yaml", pollencommand.ExitInput, "exclude each other"},
		{"none.yaml", pollencommand.ExitInput, "no such file"},
		{"", pollencommand.ExitInput, "one document file is needed"},
	} {
		code, stdout, stderr := runCheck(c.args)
		if code != c.code || !strings.Contains(stdout+stderr, c.output) {
			t.Errorf("check %s: exit %d, want %d; output %q, want it to contain %q", c.args, code, c.code, stdout+stderr, c.output)
		}
	}
}

// TestCheckIgnoresEnvironment guards against a check that calls control hosts because the
// environment names a settings file: it has to work offline.
func TestCheckIgnoresEnvironment(t *testing.T) {
	t.Setenv("POLLENSTEP_SETTINGS", "none.yaml")
	if code, stdout, stderr := runCheck("../pollencheck/testdata/cases/none.json"); code != pollencommand.ExitDone {
		t.Errorf("exit %d: %s%s", code, stdout, stderr)
	}
}

// TestCheckKeys guards against keys of the JSON output that change or are missing.
func TestCheckKeys(t *testing.T) {
	keys := func(v any) string {
		var names []string
		for name := range v.(map[string]any) {
			names = append(names, name)
		}
		slices.Sort(names)
		return strings.Join(names, " ")
	}
	_, stdout, _ := runCheck("--output json --against ../pollencheck/testdata/diffs/text-old.yaml ../pollencheck/testdata/cases/connections-below-slots.yaml")
	var view map[string]any
	if err := json.Unmarshal([]byte(stdout), &view); err != nil {
		t.Fatalf("%v: %s", err, stdout)
	}
	change := view["changes"].([]any)[0]
	for _, c := range []struct {
		value any
		want  string
	}{
		{view, "changes errors file findings warnings"},
		{view["findings"].([]any)[0], "entry expected file line rule section severity text"},
		{change, "effect entry fields kind section"},
		{change.(map[string]any)["fields"].([]any)[0], "field new old"},
	} {
		if got := keys(c.value); got != c.want {
			t.Errorf("keys %q, want %q", got, c.want)
		}
	}
}
