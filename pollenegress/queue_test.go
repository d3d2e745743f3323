package pollenegress_test

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenegress"
)

// linkRate is in bits per second, and linkQueue is what the link queues before it drops.
const (
	linkRate  = 5.3e6
	linkBytes = linkRate / 8
	linkQueue = 50 * time.Millisecond
)

var startTime = time.Unix(1000, 0)

// An arrival is a datagram to send, of size bytes without the overhead.
type arrival struct {
	at    time.Duration
	class pollenegress.Class
	route pollenegress.Route
	size  int
}

// A tailDropLink models a link that drops what exceeds its queue.
type tailDropLink struct {
	freeAt time.Duration
	// bytes, lost and delays are by class; delays are from the arrival until the datagram
	// has left the queue of the link.
	bytes, lost map[pollenegress.Class]int
	delays      map[pollenegress.Class][]time.Duration
}

func newLink() *tailDropLink {
	return &tailDropLink{
		bytes: map[pollenegress.Class]int{}, lost: map[pollenegress.Class]int{}, delays: map[pollenegress.Class][]time.Duration{},
	}
}

func (l *tailDropLink) send(now time.Duration, a arrival) {
	l.freeAt = max(l.freeAt, now)
	if l.freeAt-now > linkQueue {
		l.lost[a.class]++
		return
	}
	l.delays[a.class] = append(l.delays[a.class], l.freeAt-a.at)
	size := a.size + pollenegress.Overhead
	l.bytes[a.class] += size
	l.freeAt += time.Duration(float64(size) / linkBytes * float64(time.Second))
}

// replay sends the arrivals, which are sorted, through a Queue over the link, and returns
// when the queue was empty after the last one. It calls atEnd after the last arrival.
func replay(q *pollenegress.Queue, l *tailDropLink, arrivals []arrival, atEnd func()) (emptyAt time.Duration) {
	sent := map[netip.AddrPort]arrival{}
	due := func(now time.Duration) {
		for _, d := range q.Due(startTime.Add(now)) {
			l.send(now, sent[d.To])
		}
	}
	tick := time.Duration(0)
	for i, a := range arrivals {
		for ; tick < a.at; tick += pollenegress.Interval {
			due(tick)
		}
		now := startTime.Add(a.at)
		if q.Send(now, a.class, a.size) {
			l.send(a.at, a)
			continue
		}
		id := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1)
		sent[id] = a
		q.Enqueue(now, a.class, a.route, pollenegress.Datagram{To: id, Data: make([]byte, a.size)})
		due(a.at)
	}
	atEnd()
	for ; !q.Empty(); tick += pollenegress.Interval {
		due(tick)
	}
	return tick
}

// poisson appends arrivals at random times at the rate per second until the end.
func poisson(random *rand.Rand, arrivals []arrival, end time.Duration, rate float64, of ...arrival) []arrival {
	for t := time.Duration(0); ; {
		t += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if t >= end {
			return arrivals
		}
		for _, a := range of {
			a.at += t
			arrivals = append(arrivals, a)
		}
	}
}

// burst returns what one of 21 balancers of deployment W sends in a burst of six seconds:
// 2.6 times the uploads, each of 40,000 B in windows of 16 packets, 1.8 times the urgent
// requests, repeatable requests and queries.
func burst() []arrival {
	const end = 6 * time.Second
	random := rand.New(rand.NewPCG(23, 1))
	var upload []arrival
	for i := range 34 {
		upload = append(upload, arrival{at: time.Duration(i/16) * 12 * time.Millisecond, class: pollenegress.ClassBulk, route: 3, size: 1256})
	}
	arrivals := poisson(random, nil, end, 2.6*112/21, upload...)
	arrivals = poisson(random, arrivals, end, 1.8*375/21,
		arrival{class: pollenegress.ClassUrgent, route: 2, size: 56},
		arrival{at: 8 * time.Millisecond, class: pollenegress.ClassUrgent, route: 2, size: 956},
		arrival{at: 80 * time.Millisecond, class: pollenegress.ClassUrgent, route: 2, size: 56})
	arrivals = poisson(random, arrivals, end, 1312.0/21, arrival{class: pollenegress.ClassNormal, route: 1, size: 356})
	arrivals = poisson(random, arrivals, end, 100, arrival{class: pollenegress.ClassUrgent, size: 48})
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

func percentile99(delays []time.Duration) time.Duration {
	slices.Sort(delays)
	return delays[len(delays)*99/100]
}

// TestBurstOfUploads replays 2.6 times the uploads over a link of 5.3 Mbit/s. It guards
// against urgent packets that wait or are lost behind uploads, which happens without the
// queue, against uploads that get nothing, against drops by the link itself, and against
// a queue that outlasts the burst.
func TestBurstOfUploads(t *testing.T) {
	arrivals := burst()
	plain := newLink()
	for _, a := range arrivals {
		plain.send(a.at, a)
	}
	if plain.lost[pollenegress.ClassUrgent] == 0 {
		t.Fatal("no urgent packet is lost without the queue: the load is too small for this test")
	}
	q, l := pollenegress.NewQueue(linkRate), newLink()
	emptyAt := replay(q, l, arrivals, func() {})
	stats := q.Stats()
	urgent := percentile99(l.delays[pollenegress.ClassUrgent])
	t.Logf("without the queue: %v lost, urgent p99 %s; with it: link lost %v, urgent p99 %s, dropped %d urgent, %d normal, %d bulk of %d; %d bytes of uploads in 6 s; empty at %s",
		plain.lost, percentile99(plain.delays[pollenegress.ClassUrgent]), l.lost, urgent,
		stats.Of(pollenegress.ClassUrgent).Dropped, stats.Of(pollenegress.ClassNormal).Dropped, stats.Of(pollenegress.ClassBulk).Dropped,
		len(plain.delays[pollenegress.ClassBulk])+plain.lost[pollenegress.ClassBulk], l.bytes[pollenegress.ClassBulk], emptyAt)
	if urgent >= 50*time.Millisecond || stats.Of(pollenegress.ClassUrgent).Dropped > 0 {
		t.Errorf("urgent: 99th percentile of the delay %s, %d dropped; want less than 50 ms and none", urgent, stats.Of(pollenegress.ClassUrgent).Dropped)
	}
	if len(l.lost) > 0 {
		t.Errorf("the link dropped %v; want nothing", l.lost)
	}
	if share := float64(l.bytes[pollenegress.ClassBulk]) / (6 * linkBytes); share < 0.15 {
		t.Errorf("uploads got %.2f of the link; want at least 0.15", share)
	}
	if last := arrivals[len(arrivals)-1].at; emptyAt-last > 2*time.Second {
		t.Errorf("empty %s after the burst; want at most 2 s", emptyAt-last)
	}
}

// TestMinimumShares offers more than the link's rate in every class: a surge of urgent
// requests and messages during an update. It guards against a class that starves, against
// short and long messages that together exceed the rate, and against memory that grows.
func TestMinimumShares(t *testing.T) {
	const end = 4 * time.Second
	random := rand.New(rand.NewPCG(5, 1))
	var arrivals []arrival
	for _, c := range pollenegress.Classes() {
		arrivals = poisson(random, arrivals, end, 1.2*linkBytes/1228, arrival{class: c, route: 1, size: 1200})
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	q, l := pollenegress.NewQueue(linkRate), newLink()
	total := 0
	var sent map[pollenegress.Class]int
	replay(q, l, arrivals, func() {
		sent = maps.Clone(l.bytes)
		for _, n := range sent {
			total += n
		}
	})
	if len(l.lost) > 0 || float64(total) > 0.96*linkBytes*end.Seconds() {
		t.Errorf("%d bytes sent, of which the link lost %v; want at most 0.95 of the rate and none", total, l.lost)
	}
	for class, want := range map[pollenegress.Class]float64{pollenegress.ClassUrgent: 0.49, pollenegress.ClassNormal: 0.19, pollenegress.ClassBulk: 0.14, pollenegress.ClassUpdate: 0.14} {
		if share := float64(sent[class]) / float64(total); share < want {
			t.Errorf("%s got %.3f of the bytes; want at least %.2f", class, share, want)
		}
	}
}

// TestWaitingIsBounded fills every class without sending. It guards against memory that
// grows with the load: at most the delay of each class at the rate waits, and the oldest
// datagrams are dropped for newer ones.
func TestWaitingIsBounded(t *testing.T) {
	q := pollenegress.NewQueue(linkRate)
	for i := range 4000 {
		for _, c := range pollenegress.Classes() {
			q.Enqueue(startTime, c, pollenegress.Route(i%7), pollenegress.Datagram{Data: []byte{byte(i >> 8), byte(i), 1199: 0}})
		}
	}
	stats := q.Stats()
	for _, c := range pollenegress.Classes() {
		if limit := int(linkBytes * 0.95 * c.Delay().Seconds()); stats.Of(c).Waiting > limit || stats.Of(c).Waiting < limit-1300 {
			t.Errorf("%d bytes of %s wait; want at most %d", stats.Of(c).Waiting, c, limit)
		}
	}
	if oldest := q.Due(startTime)[0].Data; int(oldest[0])<<8+int(oldest[1]) < 3900 {
		t.Errorf("the first datagram sent is number %d of 4000; want one of the newest", int(oldest[0])<<8+int(oldest[1]))
	}
	for now := startTime; now.Before(startTime.Add(300 * time.Millisecond)); now = now.Add(pollenegress.Interval) {
		q.Due(now)
	}
	if !q.Empty() {
		t.Errorf("%d bytes wait after 300 ms; want all sent or dropped", q.Waiting())
	}
}

// TestPauseDropsNothing pauses the process for 300 ms while urgent datagrams wait, and
// then saturates the link. It guards against drops that the process causes rather than
// the link, and against a pause that extends the delay of later datagrams.
func TestPauseDropsNothing(t *testing.T) {
	q := pollenegress.NewQueue(linkRate)
	for range 20 {
		q.Enqueue(startTime, pollenegress.ClassUrgent, 1, pollenegress.Datagram{Data: make([]byte, 1200)})
	}
	now := startTime.Add(300 * time.Millisecond)
	sent := len(q.Due(now))
	for range 10 {
		now = now.Add(pollenegress.Interval)
		sent += len(q.Due(now))
	}
	if sent != 20 {
		t.Errorf("%d of 20 datagrams sent after a pause; want all", sent)
	}
	q.Enqueue(now, pollenegress.ClassBulk, 1, pollenegress.Datagram{Data: make([]byte, 1200)})
	for end := now.Add(time.Second); now.Before(end); now = now.Add(pollenegress.Interval) {
		for range 3 {
			q.Enqueue(now, pollenegress.ClassUrgent, 1, pollenegress.Datagram{Data: make([]byte, 1200)})
		}
		q.Due(now)
	}
	dropped := q.Stats()
	if dropped.Of(pollenegress.ClassUrgent).Dropped == 0 {
		t.Error("no urgent datagram was dropped at 1.2 times the rate")
	}
}

// TestRoutesShareAClass sends ten times the datagrams of one route as of another in the
// same class. It guards against a route that delays the others of its class.
func TestRoutesShareAClass(t *testing.T) {
	const end = 2 * time.Second
	var arrivals []arrival
	for at := time.Duration(0); at < end; at += 10 * time.Millisecond {
		for range 10 {
			arrivals = append(arrivals, arrival{at: at, class: pollenegress.ClassNormal, route: 1, size: 1200})
		}
		arrivals = append(arrivals, arrival{at: at, class: pollenegress.ClassNormal, route: 2, size: 1200})
	}
	q := pollenegress.NewQueue(linkRate)
	got := map[pollenegress.Route]int{}
	byID := map[netip.AddrPort]pollenegress.Route{}
	for i, a := range arrivals {
		now := startTime.Add(a.at)
		if q.Send(now, a.class, a.size) {
			got[a.route]++
			continue
		}
		id := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		byID[id] = a.route
		q.Enqueue(now, a.class, a.route, pollenegress.Datagram{To: id, Data: make([]byte, a.size)})
		for _, d := range q.Due(now) {
			got[byID[d.To]]++
		}
	}
	if got[2] < 195 {
		t.Errorf("%d of 200 datagrams of the light route were sent, and %d of the other; want nearly all", got[2], got[1])
	}
}

// TestShapes guards against a queue on a wide or unknown link, or without an upload route.
func TestShapes(t *testing.T) {
	upload := &pollendocument.Declaration{Routes: []pollendocument.Route{{Kind: pollendocument.RouteSafe}, {Kind: pollendocument.RouteUpload}}}
	safe := &pollendocument.Declaration{Routes: []pollendocument.Route{{Kind: pollendocument.RouteSafe}, {Kind: pollendocument.RouteUnsafe}}}
	for _, c := range []struct {
		rate        float64
		declaration *pollendocument.Declaration
		want        bool
	}{{5.3e6, upload, true}, {10e6, upload, true}, {10.1e6, upload, false}, {0, upload, false}, {5.3e6, safe, false}} {
		if got := pollenegress.Shapes(c.rate, c.declaration); got != c.want {
			t.Errorf("rate %g, %d routes: %t; want %t", c.rate, len(c.declaration.Routes), got, c.want)
		}
	}
}

// BenchmarkSend measures the path of a datagram within the rate.
func BenchmarkSend(b *testing.B) {
	q := pollenegress.NewQueue(1e15)
	now := startTime
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if !q.Send(now, pollenegress.ClassNormal, 1200) {
			b.Fatal("not sent")
		}
	}
}
