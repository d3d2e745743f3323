package pollendocument

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
)

// A DeclarationPart is a list or group of values of a Declaration.
type DeclarationPart string

// Parts of a Declaration.
const (
	PartRoutes   DeclarationPart = "routes"
	PartServices DeclarationPart = "services"
	PartLimits   DeclarationPart = "limits"
)

// A DeclarationFault is an invalid or contradictory value of a Declaration.
type DeclarationFault struct {
	// Part is empty for a fault of the whole text.
	Part DeclarationPart
	// Entry is the name of the route or service, as it was declared.
	Entry string
	// Err has the cause ErrInvalid, or the cause that the decoder states.
	Err error
	// Allowed describes the values that are accepted.
	Allowed string
}

// A WeightlessShare is an entry in the list of services of a route that gives the
// service no flows.
type WeightlessShare struct {
	Route   string
	Service ServiceName
}

// A DeclarationReading is the result of decoding the text of a declaration.
type DeclarationReading struct {
	// Declaration lacks the values that could not be decoded.
	Declaration Declaration
	// Undecoded holds the faults of values that could not be decoded, and Invalid
	// those of Declaration.Faults.
	Undecoded, Invalid []DeclarationFault
	// Weightless holds the shares that the declaration leaves out because their
	// weight is 0.
	Weightless []WeightlessShare
}

// Faults returns all faults of the declaration. Their cause is ErrInvalid.
func (d *Declaration) Faults() []DeclarationFault {
	var faults []DeclarationFault
	pools := make(map[ServiceName]bool, len(d.Pools))
	for i, p := range d.Pools {
		add := func(allowed, format string, args ...any) {
			faults = append(faults, DeclarationFault{
				Part: PartServices, Entry: string(p.Name), Err: errors.Wrapf(ErrInvalid, format, args...), Allowed: allowed,
			})
		}
		if p.Name == "" {
			add("a name", "the service at index %d has no name", i)
		}
		if pools[p.Name] {
			add("each service once", "service %q is declared twice", p.Name)
		}
		if p.ColdRate > maxColdRate {
			add(fmt.Sprintf("at most %g", float64(maxColdRate)),
				"service %q has the cold rate %g; at most %g is allowed", p.Name, p.ColdRate, float64(maxColdRate))
		}
		if p.Name != "" {
			pools[p.Name] = true
		}
	}
	addresses := make(map[netip.AddrPort]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		faults = r.appendFaults(faults, pools)
		if !r.addressValid() {
			continue
		}
		if other, taken := addresses[r.Address]; taken {
			faults = append(faults, r.fault("each address once", "routes %q and %q share address %s", other, r.Name, r.Address))
		}
		addresses[r.Address] = r.Name
	}
	return faults
}

func (r *Route) addressValid() bool { return r.Address.IsValid() && r.Address.Port() != 0 }

func (r *Route) fault(allowed, format string, args ...any) DeclarationFault {
	return DeclarationFault{Part: PartRoutes, Entry: r.Name, Err: errors.Wrapf(ErrInvalid, format, args...), Allowed: allowed}
}

func (r *Route) appendFaults(faults []DeclarationFault, pools map[ServiceName]bool) []DeclarationFault {
	if !r.addressValid() {
		faults = append(faults, r.fault("an address and a port other than 0", "route %q has the invalid address %s", r.Name, r.Address))
	}
	if r.Timeout <= 0 {
		faults = append(faults, r.fault("a positive duration", "route %q has the timeout %s, which is not positive", r.Name, r.Timeout))
	}
	if len(r.Shares) == 0 {
		faults = append(faults, r.fault("at least one service", "route %q lists no service", r.Name))
	}
	if !slices.Contains(RouteKinds(), r.Kind) {
		faults = append(faults, r.fault(fmt.Sprintf("one of %q", RouteKinds()), "route %q has the unknown kind %q", r.Name, r.Kind))
	}
	rest := maxRouteWeight
	for _, s := range r.Shares {
		if !pools[s.Service] {
			faults = append(faults, r.fault("a declared service", "route %q refers to service %q, which is not declared", r.Name, s.Service))
		}
		if s.Weight <= 0 {
			faults = append(faults, r.fault("a positive weight", "route %q gives service %q the weight %d, which is not positive", r.Name, s.Service, s.Weight))
			continue
		}
		if s.Weight > rest {
			return append(faults, r.fault(fmt.Sprintf("a sum of at most %d", maxRouteWeight), "the weights of route %q exceed %d", r.Name, maxRouteWeight))
		}
		rest -= s.Weight
	}
	return faults
}
