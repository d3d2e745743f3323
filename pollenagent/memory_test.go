package pollenagent_test

import (
	"runtime"
	"testing"

	"pollenstep.example/pollenstep/pollenagent"
)

// memoryOf returns the bytes that each of n additions takes.
func memoryOf(b *testing.B, n int, add func(f *pollenagent.Flows, i int)) float64 {
	b.Helper()
	f := newFlows(b, 1, 1)
	before := heap()
	for i := range n {
		add(f, i)
	}
	used := heap() - before
	runtime.KeepAlive(f)
	return float64(used) / float64(n)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
