package pollennode

import (
	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenrecord"
)

// resetLostFlows resets the flows at their callers. mu must not be held, so that
// packets pass between the resets.
func (g *Gate) resetLostFlows(lost *pollengate.LostFlows) {
	if len(lost.Packets) == 0 {
		return
	}
	for i := range lost.Packets {
		g.sendReset(&lost.Packets[i])
	}
	g.metrics.CountEvent(pollenmetric.EventFlowLost, int64(len(lost.Packets)))
	g.log.Info("flows of the previous backend server reset", pollenrecord.Fields{
		"flows": len(lost.Packets), "before": lost.Before, "born": lost.After,
	})
}
