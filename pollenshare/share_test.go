package pollenshare_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenshare"
)

var startTime = time.Unix(1000, 0)

// Load pattern: any load that is served. Guards against refusals without contention: of a
// sole caller, and of one that takes more than others which all get what they ask for.
func TestNobodyExceedsWithoutUnmetDemand(t *testing.T) {
	table, now := pollenshare.New[int](), startTime
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		table.Ask(now, 0, 2)
		table.Add(now, 0, 1)
		if table.Exceeds(now, 0) || table.Below(now, 0) {
			t.Fatal("the only caller is compared with itself")
		}
	}
	table = pollenshare.New[int]()
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		caller := min(i%10, 1)
		table.Ask(now, caller, 1)
		table.Add(now, caller, 1)
		if table.Exceeds(now, 0) || table.Exceeds(now, 1) {
			t.Fatal("a caller exceeds its share although all demand is met")
		}
	}
}

// Load pattern: a caller asks for 900 units a second and stops, while two others ask for 60
// each and get 30. Guards against a caller that stays refused after it has stopped, and
// against a share that does not follow the demand.
func TestUsageDecays(t *testing.T) {
	table, now := pollenshare.New[int](), startTime
	step := func(heavy bool) {
		now = now.Add(10 * time.Millisecond)
		if heavy {
			table.Ask(now, 0, 9)
			table.Add(now, 0, 0.6)
		}
		for caller := 1; caller < 3; caller++ {
			table.Ask(now, caller, 0.6)
			table.Add(now, caller, 0.3)
		}
	}
	for range 1000 {
		step(true)
	}
	if !table.Exceeds(now, 0) || table.Exceeds(now, 1) || table.Below(now, 0) || table.Exceeds(now, 2) {
		t.Fatal("the heavy caller does not exceed its share, or a light one does")
	}
	stopped := now
	for table.Exceeds(now, 0) {
		step(false)
	}
	if d := now.Sub(stopped); d > 4*time.Second {
		t.Errorf("the caller exceeds its share for %s after it stopped; want at most two time constants", d)
	} else {
		t.Logf("the caller exceeds its share for %s after it stopped", d)
	}
	for range 1000 {
		step(false)
	}
	if table.Exceeds(now, 1); table.Len() != 2 {
		t.Errorf("%d callers in the table 10 s later; want 2", table.Len())
	}
}

// Load pattern: 100,000 callers, and a process that runs for an hour. Guards against a
// table that grows, and against weights that overflow.
func TestTableIsBounded(t *testing.T) {
	table, now := pollenshare.New[int](), startTime
	for i := range 100_000 {
		now = now.Add(36_000 * time.Microsecond)
		table.Ask(now, i, 1)
		table.Ask(now, -1, 1)
		table.Add(now, -1, 1)
		if table.Len() > pollenshare.MaxCallers {
			t.Fatalf("%d callers", table.Len())
		}
	}
	if !table.Exceeds(now, -1) {
		t.Error("the caller that takes everything was evicted, or its usage is not finite")
	}
}

// Load pattern: 10,000 callers at twice the capacity, and ten that each ask for a hundred
// times as much as the others. Guards against a bounded table that no longer tells them apart,
// and measures the error of what they take relative to the max-min share of all callers.
func TestSharesOfTenThousandCallers(t *testing.T) {
	const callers, heavy, capacity, seconds = 10_000, 10, 2000, 40
	table, random, now := pollenshare.New[int](), rand.New(rand.NewPCG(1, 2)), startTime
	// A heavy caller asks 36.7 times a second, and the others 0.367 times.
	const asks = 2 * capacity
	perLight := float64(asks) / (callers - heavy + 100*heavy)
	share := float64(capacity) / callers
	taken, refused, tokens := make([]float64, callers), [2]int{}, 0.0
	for range asks * seconds {
		now = now.Add(time.Second / asks)
		tokens = min(20, tokens+float64(capacity)/asks)
		caller := random.IntN(callers - heavy + 100*heavy)
		if caller >= callers-heavy {
			caller = callers - heavy + (caller-(callers-heavy))/100
		}
		table.Ask(now, caller, 1)
		if table.Exceeds(now, caller) {
			refused[min(1, max(0, caller-(callers-heavy)+1))]++
			continue
		}
		if tokens >= 1 {
			tokens--
			table.Add(now, caller, 1)
			taken[caller]++
		}
	}
	light, most, total := 0.0, 0.0, 0.0
	for i, n := range taken {
		if total += n / seconds; i < callers-heavy {
			light += n / seconds / (callers - heavy)
		} else {
			most = max(most, n/seconds)
		}
	}
	t.Logf("share %.3f/s; light callers ask %.3f/s and take %.3f/s (error %+.1f%%), heavy ones ask %.1f/s and take at most %.2f/s (%.1f times the share); %.0f of %d/s used; refused light %d heavy %d",
		share, perLight, light, 100*(light/share-1), 100*perLight, most, most/share, total, capacity, refused[0], refused[1])
	if math.Abs(light/share-1) > 0.1 {
		t.Errorf("light callers take %.3f/s; want %.3f/s within a tenth", light, share)
	}
	if most > 0.1*100*perLight {
		t.Errorf("a heavy caller takes %.2f/s; want less than a tenth of what it asks for", most)
	}
}

// BenchmarkDecision measures a request of a known caller and of an unknown one, with a full
// table, 1 ms apart, so that the share is computed at every fiftieth.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct {
		name    string
		callers int
	}{{"known", pollenshare.MaxCallers}, {"unknown", 1_000_000}} {
		b.Run(c.name, func(b *testing.B) {
			table, now, i := pollenshare.New[int](), startTime, 0
			for i := range pollenshare.MaxCallers {
				table.Ask(now, i, float64(i))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				i++
				caller := i % c.callers
				table.Ask(now, caller, 1)
				if !table.Exceeds(now, caller) {
					table.Add(now, caller, 1)
				}
			}
		})
	}
}
