package pollensteer

import (
	"time"

	"pollenstep.example/pollenstep/pollenbucket"
	"pollenstep.example/pollenstep/pollenlink"
)

// Sizes on the link in bytes.
const (
	// datagramSize is the size of a datagram to a gate without its queries: header, and
	// the overhead of UDP, IP and Ethernet.
	datagramSize = pollenlink.HeaderSize + 8 + 20 + 18
	// querySize is the size of a query alone in its datagram.
	querySize = datagramSize + pollenlink.QuerySize
)

// Limits of searches.
const (
	// searchLinkShare is the share of the link that queries may use. The rest is
	// for opening packets, flows whose holder is known, and heartbeats.
	searchLinkShare = 0.4
	// maxQueryRate bounds the queries per second whatever the link rate: at 10 us
	// per query they take a tenth of a core.
	maxQueryRate = 10_000
	// searchBurst is the capacity of the budget, as the time in which it refills.
	searchBurst = 250 * time.Millisecond
	// queryTimeout is the time after which the gates that did not answer a query
	// are queried again. It is below the 200 ms after which a caller retransmits
	// for the first time.
	queryTimeout = 150 * time.Millisecond
	// slowQueryTimeout replaces it for the few gates that a search over a low-bandwidth
	// link begins with. Datagrams wait for such a link for up to 50 ms, and a round trip
	// takes a few. It is below the tick interval of a node, so that each tick can repeat
	// the queries that the previous one sent.
	slowQueryTimeout = 90 * time.Millisecond
)

// A budget bounds the queries of a balancer; its tokens are bytes on the link. After a power loss
// every old flow is searched at every gate; without a limit the queries saturate a slow
// link, and neither they nor opening packets arrive.
type budget struct{ pollenbucket.Bucket }

// newBudget returns a full budget for a link whose rate is given in bits per
// second; zero means that the rate is unknown.
func newBudget(linkRate float64) budget {
	rate := float64(maxQueryRate * querySize)
	if linkRate > 0 {
		rate = min(rate, linkRate*searchLinkShare/8)
	}
	return budget{pollenbucket.New(rate, rate*searchBurst.Seconds())}
}

// take takes the size of the queries of one search from the budget and reports whether
// they are allowed. A search of more gates than the capacity is allowed whenever the
// budget is full. A search that is not urgent leaves half of the capacity to
// those that are.
func (b *budget) take(now time.Time, size int, urgent bool) bool {
	capacity := b.Capacity()
	needed := min(capacity, float64(size))
	if !urgent {
		needed = min(capacity, needed+capacity/2)
	}
	if b.Level(now) < needed {
		return false
	}
	b.Take(float64(size))
	return true
}
