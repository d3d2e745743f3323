package pollenstore_test

import "flag"

// init sets a fixed seed so that the rapid tests draw the same operations in
// every run. The flag -rapid.seed selects another seed.
func init() {
	const seed = "20261204"
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
