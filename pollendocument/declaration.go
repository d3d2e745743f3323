package pollendocument

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// A RouteKind specifies whether a request of a route may be repeated.
type RouteKind string

// Kinds of routes.
const (
	// RouteSafe is for requests that may run any number of times.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe is for requests that may run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteDownload is for repeatable requests with large answers.
	RouteDownload RouteKind = "download"
	// RouteUpload is for requests with large bodies that may run at most once.
	RouteUpload RouteKind = "upload"
)

// RouteKinds returns all kinds of routes.
func RouteKinds() []RouteKind { return []RouteKind{RouteSafe, RouteUnsafe, RouteDownload, RouteUpload} }

// Repeatable reports whether a request of the kind may run more than once.
func (k RouteKind) Repeatable() bool { return k == RouteSafe || k == RouteDownload }

// A Share is the proportion of a route's new flows that one service receives.
type Share struct {
	Service ServiceName
	// Weight is relative to the sum of the weights of the route; it is positive.
	Weight int
}

// A Route distributes the flows to one address over one or more services.
type Route struct {
	Name string
	// Address is where callers send to; it is unique in a Declaration.
	Address netip.AddrPort
	// Shares is never empty.
	Shares []Share
	Kind   RouteKind
	// Timeout is the longest time that a request may take; it is positive.
	Timeout time.Duration
	// Objective is the latency objective of the route: an answer within this
	// time has its full value.
	Objective time.Duration
	// Priority orders routes under overload; 0 is the highest.
	Priority int
}

// A Pool specifies the limits of each backend server of one service.
type Pool struct {
	Name ServiceName
	// ConnectionLimit is the largest number of flows on one backend server.
	ConnectionLimit int
	// ColdRate is the highest number of requests per second that a backend
	// server may receive during its cold start.
	ColdRate float64
	// ColdDuration is how long the cold start of a backend server lasts.
	ColdDuration time.Duration
}

// A Declaration is a configuration that is stored and versioned outside of the
// system and replaced as a whole: the highest version is in force. It serves the
// purpose of a Document in installations whose operators assign the version
// numbers.
type Declaration struct {
	// Version is zero before the first declaration.
	Version uint64
	Routes  []Route
	Pools   []Pool
	// IdleTimeout is how long a flow may be without packets before its record
	// may be evicted.
	IdleTimeout time.Duration
	// Source is the text as it was submitted. It is empty except on control
	// hosts.
	Source []byte
}

// Limits of the numbers in a Declaration. Larger ones overflow in sums and products.
const (
	// maxRouteWeight is the maximum sum of the weights of one route.
	maxRouteWeight = math.MaxInt32
	// maxColdRate is in requests per second.
	maxColdRate = 1e9
)

// ErrInvalid is the cause of the errors that Declaration.Check returns.
var ErrInvalid = errors.New("declaration is invalid")

// Check returns an error with the cause ErrInvalid for the first invalid or
// contradictory value, or nil.
func (d *Declaration) Check() error {
	if faults := d.Faults(); len(faults) > 0 {
		return faults[0].Err
	}
	return nil
}

// Serves reports whether the service has a share of the route's new flows.
func (r *Route) Serves(service ServiceName) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// Summary returns a description of the declaration in one line, for logs.
func (d *Declaration) Summary() string {
	text := fmt.Sprintf("version %d, %d routes", d.Version, len(d.Routes))
	for _, p := range d.Pools {
		text += fmt.Sprintf(", service %s (cold rate %g)", p.Name, p.ColdRate)
	}
	return text
}
