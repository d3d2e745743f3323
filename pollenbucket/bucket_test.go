package pollenbucket_test

import (
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenbucket"
)

// TestBucket guards against a rate that is exceeded: by what accumulates during a pause,
// by an overdraft that is forgotten, or by time that goes back.
func TestBucket(t *testing.T) {
	now := time.Unix(1000, 0)
	b := pollenbucket.New(10, 5)
	taken := func() (n int) {
		for b.TakeOne(now) {
			n++
		}
		return n
	}
	if n := taken(); n != 5 {
		t.Fatalf("%d tokens at the start; want 5", n)
	}
	now = now.Add(time.Minute)
	if n := taken(); n != 5 {
		t.Fatalf("%d tokens after a pause; want 5", n)
	}
	b.Take(3)
	now = now.Add(400 * time.Millisecond)
	if n := taken(); n != 1 {
		t.Fatalf("%d tokens 400 ms after an overdraft of 3; want 1", n)
	}
	now = now.Add(-time.Second)
	if n := taken(); n != 0 {
		t.Fatalf("%d tokens after the time went back; want 0", n)
	}
}
