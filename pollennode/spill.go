package pollennode

import (
	"time"

	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollensteer"
)

// countPlacement counts a new flow by whether it was placed in the own failure domain.
func (b *Balancer) countPlacement(d *pollensteer.Decision) {
	switch {
	case !d.Placed:
	case d.Away:
		b.metrics.CountEvent(pollenmetric.EventFlowAway, 1)
	default:
		b.metrics.CountEvent(pollenmetric.EventFlowHome, 1)
	}
}

// logSpill logs the services whose share of flows that leave the failure domain has changed. mu
// must be held.
func (b *Balancer) logSpill(now time.Time) {
	for _, c := range b.steer.SpillChanges(now) {
		b.log.Info("spill changed", pollenrecord.Fields{
			"service": c.Service, "had": c.Previous, "share": c.New, "home": c.HomeLoad, "away": c.AwayLoad, "age": c.InputAge.String(),
		})
	}
}
