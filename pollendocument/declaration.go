package pollendocument

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// A RouteKind says which repeats of a request are harmless.
type RouteKind string

// Kinds of routes.
const (
	// RouteSafe carries requests that may run any number of times.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe carries requests that may run once at most.
	RouteUnsafe RouteKind = "unsafe"
	// RouteDownload carries repeatable requests with large answers.
	RouteDownload RouteKind = "download"
)

// A Share is one service's part of the new flows of a route.
type Share struct {
	Service ServiceName
	// Weight is positive and relative to the other shares of the route.
	Weight int
}

// A Route sends the flows of one address to one or more services.
type Route struct {
	Name string
	// Address is where callers send; it is unique in a Declaration.
	Address netip.AddrPort
	// Shares is never empty.
	Shares []Share
	Kind   RouteKind
	// Timeout is the longest that a request may take; it is positive.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Priority orders routes under overload; 0 is the highest.
	Priority int
}

// A Pool holds the limits of the backend servers of one service.
type Pool struct {
	Name ServiceName
	// Connections is the number of flows that one backend server holds at most.
	ConnectionLimit int
	// ColdRate is the number of requests a second that a backend server in a
	// cold start bears.
	ColdRate float64
	// ColdTime is how long a backend server stays cold after its start.
	ColdDuration time.Duration
}

// A Declaration is a document that is kept and versioned elsewhere and taken as
// a whole: the highest version is in force. It is the counterpart of a Document
// for installations whose operators own the version numbers.
type Declaration struct {
	// Version is zero before the first declaration.
	Version uint64
	Routes  []Route
	Pools   []Pool
	// Idle is how long a flow may be silent before it may be forgotten.
	IdleTimeout time.Duration
	// Source is the text as it was submitted. Only control hosts hold it.
	Source []byte
}

// ErrInvalid is the cause of errors about declarations that contradict
// themselves.
var ErrInvalid = errors.New("declaration is invalid")

// Check returns an error that names the first contradiction.
func (d *Declaration) Check() error {
	pools := make(map[ServiceName]bool, len(d.Pools))
	for _, p := range d.Pools {
		if p.Name == "" {
			return errors.Wrap(ErrInvalid, "a service has no name")
		}
		if pools[p.Name] {
			return errors.Wrapf(ErrInvalid, "service %q is declared twice", p.Name)
		}
		pools[p.Name] = true
	}
	addresses := make(map[netip.AddrPort]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(pools); err != nil {
			return err
		}
		if other, taken := addresses[r.Address]; taken {
			return errors.Wrapf(ErrInvalid, "routes %q and %q share address %s", other, r.Name, r.Address)
		}
		addresses[r.Address] = r.Name
	}
	return nil
}

func (r *Route) check(pools map[ServiceName]bool) error {
	switch {
	case !r.Address.IsValid() || r.Address.Port() == 0:
		return errors.Wrapf(ErrInvalid, "route %q has no address", r.Name)
	case r.Timeout <= 0:
		return errors.Wrapf(ErrInvalid, "route %q has a timeout of %s", r.Name, r.Timeout)
	case len(r.Shares) == 0:
		return errors.Wrapf(ErrInvalid, "route %q names no service", r.Name)
	case !slices.Contains([]RouteKind{RouteSafe, RouteUnsafe, RouteDownload}, r.Kind):
		return errors.Wrapf(ErrInvalid, "route %q has kind %q", r.Name, r.Kind)
	}
	for _, s := range r.Shares {
		if !pools[s.Service] {
			return errors.Wrapf(ErrInvalid, "route %q names service %q, which is not declared", r.Name, s.Service)
		}
		if s.Weight <= 0 {
			return errors.Wrapf(ErrInvalid, "route %q gives service %q the weight %d", r.Name, s.Service, s.Weight)
		}
	}
	return nil
}

// Serves reports whether new flows of the route may go to the service.
func (r *Route) Serves(service ServiceName) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// Summary names the declaration in logs.
func (d *Declaration) Summary() string {
	text := fmt.Sprintf("version %d, %d routes", d.Version, len(d.Routes))
	for _, p := range d.Pools {
		text += fmt.Sprintf(", service %s (cold rate %g)", p.Name, p.ColdRate)
	}
	return text
}
