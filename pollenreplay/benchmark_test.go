package pollenreplay_test

import (
	"net/netip"
	"testing"

	"pollenstep.example/pollenstep/pollenreplay"
	"pollenstep.example/pollenstep/pollentrace"
)

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(number)}), 4430)
}

// BenchmarkImbalance reports the highest load of a backend server with
// requests, divided by the mean, when requests use 80% of the capacity.
func BenchmarkImbalance(b *testing.B) {
	trace, err := pollentrace.Load("../traces/steady.yaml")
	if err != nil {
		b.Fatal(err)
	}
	for range b.N {
		r := pollenreplay.Run(trace, pollenreplay.VariantSystem)
		b.ReportMetric(r.Figures[pollentrace.MeasureRunImbalance], "max/mean")
	}
}
