// Command pollenstep runs the processes of the load balancer and the operators'
// commands.
package main

import (
	"context"
	"os"

	"pollenstep.example/pollenstep/platform"
	"pollenstep.example/pollenstep/pollencommand"
)

func main() {
	os.Exit(pollencommand.Main(context.Background(), os.Args, os.Stdout, os.Stderr,
		pollencommand.CheckCommand(platform.InspectDocument), platform.Command()))
}
