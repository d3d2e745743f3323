package pollenreplay_test

import "flag"

// init sets a fixed seed, so that the random tests draw the same traces in
// every run. The flag -rapid.seed overrides it.
func init() {
	const seed = "20261204"
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
