// Package pollencall implements calls between the system's processes with DRPC
// over TCP and mutual TLS.
package pollencall

import (
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// A Method is the name of a call on the wire.
type Method string

// Methods that processes call on each other.
const (
	// MethodLog sends a consensus message to another control host.
	MethodLog Method = "/pollen/log"
	// MethodJoin asks a control host to add the sender's empty replica. An empty
	// request only asks whether the host belongs to a cluster.
	MethodJoin Method = "/pollen/join"
	// MethodSubmit submits a document.
	MethodSubmit Method = "/pollen/submit"
	// MethodState returns the state of the whole system.
	MethodState Method = "/pollen/state"
	// MethodRepair replaces the lost consensus replica of a control host.
	MethodRepair Method = "/pollen/repair"
	// MethodFetch returns a newer view; any process serves it.
	MethodFetch Method = "/pollen/fetch"
	// MethodStoreBackup sends an agent's flow records to a backup peer.
	MethodStoreBackup Method = "/pollen/keep"
	// MethodGetBackup returns the flow records that a backup peer holds for an
	// agent.
	MethodGetBackup Method = "/pollen/kept"
	// MethodRun forwards a request to another agent.
	MethodRun Method = "/pollen/run"
	// MethodClaim requests a claim from a ledger replica.
	MethodClaim Method = "/pollen/claim"
	// MethodComplete reports the completion of a claim to a ledger replica.
	MethodComplete Method = "/pollen/settle"
	// MethodSync returns the claims of a ledger replica.
	MethodSync Method = "/pollen/sync"
)

// ErrNotSent is the cause of errors after which the other side has certainly not
// received the call.
var ErrNotSent = errors.New("call was not sent")

// codec is a drpc.Encoding for messages that are already encoded. Messages have
// the type *[]byte.
type codec struct{}

// Marshal implements drpc.Encoding.
func (codec) Marshal(message drpc.Message) ([]byte, error) {
	b, ok := message.(*[]byte)
	if !ok {
		return nil, errors.Errorf("marshal message: type %T, want *[]byte", message)
	}
	return *b, nil
}

// Unmarshal implements drpc.Encoding.
func (codec) Unmarshal(data []byte, message drpc.Message) error {
	b, ok := message.(*[]byte)
	if !ok {
		return errors.Errorf("unmarshal message: type %T, want *[]byte", message)
	}
	*b = append([]byte(nil), data...)
	return nil
}
