// Package pollencommand implements the command line of pollenstep.
package pollencommand

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pollenstep.example/pollenstep"
	"pollenstep.example/pollenstep/pollensettings"
	"pollenstep.example/pollenstep/pollenyaml"
)

// Exit codes.
const (
	ExitDone = 0
	// ExitRefused means that a change was refused and has no effect, that an
	// expectation of a trace or plan failed, or that a process ended with an error.
	ExitRefused = 1
	// ExitInput means that the command line, a settings file or an input file is
	// invalid.
	ExitInput = 2
	// ExitUnknown means that the outcome is unknown. A submission may be resent
	// with the same ID.
	ExitUnknown = 3
)

// An exitError ends the program with an exit code. Its text is empty if the
// command has already printed the reason.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

func inputError(err error) error { return &exitError{code: ExitInput, text: err.Error()} }

// Main runs the command line with the extra commands added and returns the
// exit code. An extra command replaces a built-in one of the same name. Errors are
// printed to stderr.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer, extra ...*cli.Command) int {
	root := newRoot(stdout, stderr)
	for _, e := range extra {
		root.Commands = slices.DeleteFunc(root.Commands, func(c *cli.Command) bool { return c.Name == e.Name })
	}
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
		// No action ran, so the error comes from parsing the command line.
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

// trackStart wraps the actions of all commands, including subcommands, so that
// they set started when they begin.
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
		Usage:   "layer-4 load balancer with declarative configuration",
		Version: pollenstep.Version,
		Description: "Exit codes: 0 done; 1 refused (nothing has changed) or failed; 2 invalid input;\n" +
			"3 unknown outcome, resend with the same --id.",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			roleCommand(pollensettings.RoleControl, "run a control host, which stores the replicated state on its disk",
				&cli.BoolFlag{Name: "found", Usage: "bootstrap a new system on this host; used once, with an empty data folder"}),
			roleCommand(pollensettings.RoleBalancer, "run a balancer, which forwards callers' packets to agents"),
			roleCommand(pollensettings.RoleAgent, "run the agent of one backend server"),
			keysCommand(), CheckCommand(nil), submitCommand(), showCommand(), diffCommand(),
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
