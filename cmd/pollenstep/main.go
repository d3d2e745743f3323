// Command pollenstep runs the processes of the load balancer and its operators'
// verbs.
package main

import (
	"context"
	"os"

	"pollenstep.example/pollenstep/platform"
	"pollenstep.example/pollenstep/pollencommand"
)

func main() {
	os.Exit(pollencommand.Main(context.Background(), os.Args, os.Stdout, os.Stderr, platform.Command()))
}
