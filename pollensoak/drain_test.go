package pollensoak_test

import (
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollensoak"
)

func TestReplacedServerHasNotDrained(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const replaced, successor = 1, 2
	d := pollensoak.NewDrain(successor)
	d.Acknowledge(now, replaced, pollenpeer.ServerDraining)
	d.Acknowledge(now, successor, pollenpeer.ServerReady)
	if got := d.Since(now.Add(time.Minute)); got != 0 {
		t.Fatalf("drained for %s after the answer to a report of the replaced incarnation", got)
	}
}

func TestDrainCountsFromItsFirstAcknowledgement(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const incarnation = 1
	d := pollensoak.NewDrain(incarnation)
	d.Acknowledge(now, incarnation, pollenpeer.ServerDraining)
	d.Acknowledge(now.Add(time.Second), incarnation, pollenpeer.ServerDraining)
	if got := d.Since(now.Add(3 * time.Second)); got != 3*time.Second {
		t.Fatalf("drained for %s, want 3s", got)
	}
}
