package pollenwire

import (
	"net/netip"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollenlink"
)

// maxServerName bounds the name of a backend server in a checkpoint, in bytes.
const maxServerName = 256

// MapCheckpoint encodes or decodes the checkpoint of a gate. The flows are one string of
// bytes, 16 for each flow.
func MapCheckpoint(c *Codec, v *pollencheckpoint.Checkpoint) {
	node(c, &v.Gate)
	text(c, &v.Server)
	signed(c, &v.Incarnation)
	unsigned(c, &v.Counter)
	var flows []byte
	if !c.decoding() {
		flows = make([]byte, 0, pollencheckpoint.FlowSize*len(v.Flows))
		for _, f := range v.Flows {
			flows = pollenlink.AppendQuery(flows, f.Flow, f.Position)
		}
	}
	blob(c, &flows)
	if !c.decoding() || c.err != nil {
		return
	}
	if len(v.Server) > maxServerName || len(flows)%pollencheckpoint.FlowSize != 0 || len(flows) > pollencheckpoint.MaxFlows*pollencheckpoint.FlowSize {
		c.fail(errors.Errorf("checkpoint with a name of %d bytes and flows of %d bytes", len(v.Server), len(flows)))
		return
	}
	v.Flows = make([]pollencheckpoint.Flow, 0, len(flows)/pollencheckpoint.FlowSize)
	for ; len(flows) > 0; flows = flows[pollencheckpoint.FlowSize:] {
		f, position, _ := pollenlink.ReadQuery(flows)
		v.Flows = append(v.Flows, pollencheckpoint.Flow{Flow: f, Position: position})
	}
}

// MapCheckpoints encodes or decodes the checkpoints that a balancer keeps.
func MapCheckpoints(c *Codec, v *[]pollencheckpoint.Checkpoint) { list(c, v, MapCheckpoint) }

// MapRestoreRequest encodes or decodes the address of a gate that asks for its
// checkpoint.
func MapRestoreRequest(c *Codec, v *netip.AddrPort) { node(c, v) }
