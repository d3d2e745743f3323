package pollenledger_test

import "flag"

// init makes random tests repeat the same schedules in every run; the flag
// -rapid.seed draws others.
func init() {
	const seed = "20261204"
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
