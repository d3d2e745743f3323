package pollencontrol_test

import "flag"

// init sets a fixed seed, so that the random tests run the same schedules each
// time. The flag -rapid.seed selects others.
func init() {
	const seed = "20261204"
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
