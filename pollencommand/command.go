// Package pollencommand is the command line.
package pollencommand

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pollenstep.example/pollenstep"
	"pollenstep.example/pollenstep/pollensettings"
	"pollenstep.example/pollenstep/pollenyaml"
)

// Exit codes.
const (
	ExitDone    = 0
	ExitRefused = 1
	ExitInput   = 2
	ExitUnknown = 3
)

// An exitError ends the program with a code; its text may be empty when all
// was said.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

func inputError(err error) error { return &exitError{code: ExitInput, text: err.Error()} }

// Main runs the command line, with more verbs than its own, and returns the
// exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer, extra ...*cli.Command) int {
	root := newRoot(stdout, stderr)
	root.Commands = append(root.Commands, extra...)
	started := false
	trackStart(root.Commands, &started)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	if err.Error() != "" {
		_, _ = fmt.Fprintln(stderr, err)
	}
	if !started {
		// The words of the call are off.
		return ExitInput
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var report *pollenyaml.ReportError
	if errors.As(err, &report) {
		return ExitInput
	}
	return ExitRefused
}

// watchBegin sets begun once the action of a verb runs.
func trackStart(commands []*cli.Command, started *bool) {
	for _, c := range commands {
		trackStart(c.Commands, started)
		action := c.Action
		if action == nil {
			continue
		}
		c.Action = func(ctx context.Context, c *cli.Command) error {
			*started = true
			return action(ctx, c)
		}
	}
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:    "pollenstep",
		Usage:   "layer-4 load balancer run by declarations",
		Version: pollenstep.Version,
		Description: "Exit codes: 0 done; 1 refused, nothing has changed; 2 bad input;\n" +
			"3 unknown outcome, resend with the same --id.",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			roleCommand(pollensettings.RoleControl, "keep the replicated state (a host with a disk)",
				&cli.BoolFlag{Name: "found", Usage: "make an empty host the first of a new system; used once"}),
			roleCommand(pollensettings.RoleBalancer, "pass callers' packets to agents"),
			roleCommand(pollensettings.RoleAgent, "stand beside one backend server"),
			keysCommand(), checkCommand(), submitCommand(), showCommand(), diffCommand(),
			statusCommand(), repairCommand(), replayCommand(), emulateCommand(), versionCommand(),
		},
	}
	return root
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE`", Required: true,
		Sources: cli.EnvVars("POLLENSTEP_SETTINGS"),
	}
}

func roleCommand(role pollensettings.Role, usage string, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name:        string(role),
		Usage:       usage,
		Description: fmt.Sprintf("Example: pollenstep %s --settings /etc/pollenstep/%s.yaml", role, role),
		Flags: append([]cli.Flag{
			settingsFlag(),
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		}, flags...),
		Action: func(_ context.Context, c *cli.Command) error { return runRole(c, role) },
	}
}

func runRole(c *cli.Command, role pollensettings.Role) error {
	settings, err := pollensettings.Load(role, c.String("settings"))
	if err != nil {
		return inputError(err)
	}
	if c.Bool("check") {
		return nil
	}
	process, err := pollenstep.New(
		pollenstep.WithSettings(settings),
		pollenstep.WithBootstrap(c.Bool("found")),
		pollenstep.WithStart(time.Now()),
	)
	if err != nil {
		return err
	}
	return process.Run()
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Flags: []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return output(c, versionView{Version: pollenstep.Version}, func(w io.Writer) {
				_, _ = fmt.Fprintln(w, "pollenstep", pollenstep.Version)
			})
		},
	}
}
