// Command standin runs the scripts of this review: it starts the project's own programs
// as separate processes on loopback addresses, with stand-ins for the operator, the
// backend servers, the callers and the routers.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	recordFile   = "record.txt"
	overallLimit = 115 * time.Second
)

var cases = map[string]func(s *system, trouble bool) (broken bool, err error){
	"core": coreReplaced, "evacuation": evacuationWithdrawn, "delayed": delayedOpening, "restarts": plannedRestarts,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2] + "/" + recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	record := &recorder{out: file, start: time.Now()}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.printf("cannot run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	s, err := newSystem(folder, record)
	if err != nil {
		record.printf("cannot run: %v", err)
		return exitNotRun
	}
	defer s.stop()
	time.AfterFunc(overallLimit, func() {
		record.printf("cannot run: the time limit has passed")
		s.stop()
		os.Exit(exitNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](s, trouble)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(folder))
	}
	switch {
	case err != nil:
		record.printf("cannot run: %v", err)
		return exitNotRun
	case broken:
		record.printf("result: the rule was broken")
		return exitBroken
	}
	record.printf("result: the rule held")
	return exitHeld
}
