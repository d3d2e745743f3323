package pollenagent_test

import (
	"runtime"
	"testing"

	"pollenstep.example/pollenstep/pollenagent"
)

// memoryOf returns the average number of heap bytes that each of n calls of add
// allocates and retains.
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

// heap returns the number of heap bytes in use after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
