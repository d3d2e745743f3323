package pollenwire_test

import (
	"bytes"
	"net/netip"
	"runtime"
	"testing"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenwire"
)

func checkpointOf(flows int) *pollencheckpoint.Checkpoint {
	c := &pollencheckpoint.Checkpoint{
		Gate: netip.MustParseAddrPort("10.0.1.1:7000"), Server: "i-1", Incarnation: 1_790_000_000_000, Counter: 1_790_000_000_000,
	}
	for i := range flows {
		c.Flows = append(c.Flows, pollencheckpoint.Flow{
			Flow:     pollenpacket.Flow{Caller: netip.AddrPortFrom(caller.Addr(), uint16(i)), Service: netip.MustParseAddrPort("198.51.100.1:443")},
			Position: uint32(i) << 20,
		})
	}
	return c
}

// TestCheckpoint guards against a field that is lost, a size that exceeds the one by
// which gates limit their rate, and a decoded list that is longer than the limit.
func TestCheckpoint(t *testing.T) {
	for _, flows := range []int{0, 1, 100, 1400, pollencheckpoint.MaxFlows} {
		c := checkpointOf(flows)
		roundTrip(t, c, pollenwire.MapCheckpoint)
		encoded := pollenwire.Marshal(c, pollenwire.MapCheckpoint)
		if len(encoded) > c.Size() {
			t.Errorf("%d flows take %d bytes, more than Size %d", flows, len(encoded), c.Size())
		}
		var got pollencheckpoint.Checkpoint
		if err := pollenwire.Unmarshal(encoded, &got, pollenwire.MapCheckpoint); err != nil || len(got.Flows) != flows || flows > 0 && got.Flows[flows-1] != c.Flows[flows-1] {
			t.Fatalf("%d flows: decoded %d, %v", flows, len(got.Flows), err)
		}
	}
	var got pollencheckpoint.Checkpoint
	if err := pollenwire.Unmarshal(pollenwire.Marshal(checkpointOf(pollencheckpoint.MaxFlows+1), pollenwire.MapCheckpoint), &got, pollenwire.MapCheckpoint); err == nil {
		t.Fatal("a checkpoint with too many flows was decoded")
	}
	all := []pollencheckpoint.Checkpoint{*checkpointOf(3), *checkpointOf(0)}
	roundTrip(t, &all, pollenwire.MapCheckpoints)
	roundTrip(t, &all[0].Gate, pollenwire.MapRestoreRequest)
}

// TestForgedLength guards against a message of a few bytes that makes its receiver
// allocate gigabytes.
func TestForgedLength(t *testing.T) {
	for name, forged := range map[string][]byte{
		"bytes":  {1, 0, 0xa0, 0, 0, 0xc6, 0xff, 0xff, 0xff, 0xff},
		"string": {1, 0, 0xdb, 0xff, 0xff, 0xff, 0xff},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var c pollencheckpoint.Checkpoint
		if pollenwire.Unmarshal(forged, &c, pollenwire.MapCheckpoint) == nil {
			t.Errorf("%s: forged length decoded", name)
		}
		if runtime.ReadMemStats(&after); after.TotalAlloc-before.TotalAlloc > 1<<20 {
			t.Errorf("%s: %d bytes allocated", name, after.TotalAlloc-before.TotalAlloc)
		}
	}
}

// FuzzCheckpoint guards against messages and files that crash the process when they are
// decoded, or that decode to a value which cannot be encoded again.
func FuzzCheckpoint(f *testing.F) {
	f.Add(pollenwire.Marshal(checkpointOf(2), pollenwire.MapCheckpoint))
	f.Add([]byte{1, 0, 0xa0, 0, 0, 0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var c pollencheckpoint.Checkpoint
		if pollenwire.Unmarshal(data, &c, pollenwire.MapCheckpoint) != nil {
			return
		}
		encoded := pollenwire.Marshal(&c, pollenwire.MapCheckpoint)
		var again pollencheckpoint.Checkpoint
		if err := pollenwire.Unmarshal(encoded, &again, pollenwire.MapCheckpoint); err != nil || !bytes.Equal(encoded, pollenwire.Marshal(&again, pollenwire.MapCheckpoint)) {
			t.Fatalf("%x: %v", data, err)
		}
	})
}
