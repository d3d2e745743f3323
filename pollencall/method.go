// Package pollencall carries calls between the system's processes: drpc over
// TCP with mutual TLS.
package pollencall

import (
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// A Method names a call.
type Method string

// Methods.
const (
	// MethodLog passes a consensus message between control hosts.
	MethodLog Method = "/pollen/log"
	// MethodJoin tells the leader of an empty replica.
	MethodJoin Method = "/pollen/join"
	// MethodSubmit submits a document.
	MethodSubmit Method = "/pollen/submit"
	// MethodState asks for the whole system's state.
	MethodState Method = "/pollen/state"
	// MethodRepair replaces a lost replica.
	MethodRepair Method = "/pollen/repair"
	// MethodFetch asks any process for a newer view.
	MethodFetch Method = "/pollen/fetch"
	// MethodKeep gives an agent's flow records to a peer for safe keeping.
	MethodKeep Method = "/pollen/keep"
	// MethodKept asks a peer for the records kept for an agent.
	MethodKept Method = "/pollen/kept"
	// MethodRun passes a request to another agent.
	MethodRun Method = "/pollen/run"
	// MethodClaim asks a ledger replica for a claim.
	MethodClaim Method = "/pollen/claim"
	// MethodSettle tells a ledger replica how a claim ended.
	MethodSettle Method = "/pollen/settle"
	// MethodSync asks a ledger replica for its claims.
	MethodSync Method = "/pollen/sync"
)

// ErrNotSent is the cause of errors after which the other side has surely not
// seen the call.
var ErrNotSent = errors.New("call was not sent")

// codec passes messages that are encoded already.
type codec struct{}

// Marshal implements drpc.Encoding.
func (codec) Marshal(message drpc.Message) ([]byte, error) {
	b, ok := message.(*[]byte)
	if !ok {
		return nil, errors.Errorf("message of type %T", message)
	}
	return *b, nil
}

// Unmarshal implements drpc.Encoding.
func (codec) Unmarshal(data []byte, message drpc.Message) error {
	b, ok := message.(*[]byte)
	if !ok {
		return errors.Errorf("message of type %T", message)
	}
	*b = append([]byte(nil), data...)
	return nil
}
