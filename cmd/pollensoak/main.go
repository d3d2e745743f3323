// Command pollensoak runs the platform's programs as processes, injects sequences
// of faults that are generated from a seed, and checks the system's guarantees. It
// exits with 1 if a guarantee was violated or a run failed, and then does not remove
// the folder with the settings, data and logs of that run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"pollenstep.example/pollenstep/pollensoak"
)

func main() {
	binary := flag.String("binary", "bin/pollenstep", "path of the pollenstep program")
	seed := flag.Uint64("seed", 1, "seed of the first run")
	runs := flag.Int("runs", 1, "number of runs, with consecutive seeds")
	duration := flag.Duration("duration", time.Minute, "time during which faults are injected")
	network := flag.Int("network", 77, "second byte of the loopback addresses")
	balancers := flag.Int("balancers", pollensoak.DefaultBalancers, "number of balancers in each of three failure domains")
	servers := flag.Int("servers", pollensoak.DefaultServers, "number of backend servers in each failure domain")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	failed := false
	for i := 0; i < *runs && ctx.Err() == nil; i++ {
		c := pollensoak.Config{
			Seed: *seed + uint64(i), Duration: *duration, Binary: *binary, Network: *network, Balancers: *balancers, Servers: *servers,
		}
		if !runSoak(ctx, c) {
			failed = true
		}
	}
	cancel()
	if failed {
		os.Exit(1)
	}
}

// runSoak runs one seed in a new temporary folder and reports whether it passed. It
// removes the folder only in that case.
func runSoak(ctx context.Context, c pollensoak.Config) bool {
	var err error
	if c.Folder, err = os.MkdirTemp("", "pollensoak-"); err == nil {
		c.Binary, err = filepath.Abs(c.Binary)
	}
	if err != nil {
		fmt.Printf("soak: FAIL %v\n", err)
		return false
	}
	result, err := pollensoak.Run(ctx, c)
	switch {
	case err != nil:
		fmt.Printf("soak: FAIL seed=%d %v; see %s\n", c.Seed, err, c.Folder)
		return false
	case !result.Passed():
		fmt.Printf("soak: FAIL %s; see %s\n", result.Summary(), c.Folder)
		for _, n := range result.Notes {
			fmt.Printf("soak: %s\n", n)
		}
		return false
	}
	fmt.Printf("soak: ok %s\n", result.Summary())
	return os.RemoveAll(c.Folder) == nil
}
