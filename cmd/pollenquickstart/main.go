// Command pollenquickstart runs a small system as processes and sends traffic
// through it while processes restart, a backend server drains and a failure domain
// is taken out of service and brought back. It prints what callers and backend
// servers observed, and exits with 1 if a guarantee was violated or the run
// failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"pollenstep.example/pollenstep/pollendeployment"
	"pollenstep.example/pollenstep/pollenstandin"
)

// runTimeout bounds the whole run.
const runTimeout = 39 * time.Second

func main() {
	binary := flag.String("binary", "bin/pollenstep", "path of the pollenstep program")
	keepFolder := flag.String("keep", "", "folder for settings, data and logs; by default a temporary one, which is removed at the end")
	flag.Parse()
	tally, err := run(*binary, *keepFolder)
	switch {
	case err != nil:
		fmt.Printf("quickstart: FAIL %v\n", err)
	case !tally.Passed():
		fmt.Printf("quickstart: FAIL %s\n", tally.Summary())
	default:
		fmt.Printf("quickstart: ok %s\n", tally.Summary())
		return
	}
	os.Exit(1)
}

func run(binary, keepFolder string) (*pollenstandin.Tally, error) {
	folder := keepFolder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "pollenstep-quickstart-"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	binary, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	system, err := pollendeployment.New(pollendeployment.QuickstartLayout(), binary, folder)
	if err != nil {
		return nil, err
	}
	defer system.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	report := func(format string, args ...any) {
		fmt.Printf("quickstart: "+format+"\n", args...)
	}
	if err := pollendeployment.Quickstart(ctx, system, report); err != nil {
		return nil, err
	}
	return system.Tally, nil
}
