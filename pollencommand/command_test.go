package pollencommand_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"pollenstep.example/pollenstep/pollencommand"
)

// TestExitCodes runs commands that succeed and commands with invalid input.
// Scripts depend on the documented exit codes, and users on an output that
// names what is wrong.
func TestExitCodes(t *testing.T) {
	const cases = "../pollendocument/testdata/cases/"
	for _, c := range []struct {
		args   string
		code   int
		output string
	}{
		{"version", pollencommand.ExitDone, "pollenstep 0.1.0"},
		{"version --output json", pollencommand.ExitDone, `"version": "0.1.0"`},
		{"version --output xml", pollencommand.ExitInput, "allowed: text, json"},
		{"check " + cases + "whole.yaml", pollencommand.ExitDone, "ok: 3 sections, 3 services"},
		{"check " + cases + "faults.yaml", pollencommand.ExitInput, `field "color": value "red"`},
		{"check", pollencommand.ExitInput, "one document file is needed"},
		{"check --unknown", pollencommand.ExitInput, "unknown"},
		{"control --check --settings ../pollensettings/testdata/cases/control-valid.yaml", pollencommand.ExitDone, ""},
		{"agent --check --settings ../pollensettings/testdata/cases/agent-faults.yaml", pollencommand.ExitInput, `field "placement"`},
		{"replay ../traces/none.yaml", pollencommand.ExitInput, "no such file"},
		{"repair nowhere", pollencommand.ExitInput, "Required flag"},
		{"repair --settings x nowhere", pollencommand.ExitInput, "address of the control host"},
		{"nonsense", pollencommand.ExitInput, "nonsense"},
	} {
		var out bytes.Buffer
		args := append([]string{"pollenstep"}, strings.Fields(c.args)...)
		code := pollencommand.Main(context.Background(), args, &out, &out)
		if code != c.code || !strings.Contains(out.String(), c.output) {
			t.Errorf("%s: exit %d, want %d; output %q, want it to contain %q", c.args, code, c.code, out.String(), c.output)
		}
	}
}
