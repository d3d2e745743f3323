package pollencontrol_test

import "flag"

// init sets a fixed seed, so that the random tests use the same schedules in
// every run. The flag -rapid.seed selects other schedules.
func init() {
	const seed = "20261204"
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
