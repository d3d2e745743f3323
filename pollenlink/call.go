package pollenlink

import "net/netip"

// A Method names what a Call asks the leading control host.
type Method string

// Methods.
const (
	// MethodDeclare puts a declaration in force.
	MethodDeclare Method = "declare"
	// MethodEmpty takes a failure domain out or back.
	MethodEvacuate Method = "empty"
	// MethodDeclared asks for the declaration that is surely in force.
	MethodGetDeclaration Method = "declared"
)

// A Call asks another node. It may be lost, and may arrive more than once.
type Call struct {
	// ID ties the answer to the call; it is unique at the caller.
	ID     uint64
	Method Method
	Body   []byte
}

// A Result says how a call ended.
type Result string

// Results.
const (
	ResultDone Result = "done"
	// ResultRefused means that the request contradicts itself or the state.
	ResultRefused Result = "refused"
	// ResultAgain means that this node could not say; another, or the same one
	// later, may.
	ResultRetry Result = "again"
)

// An Answer answers the Call with the same ID.
type Answer struct {
	ID     uint64
	Result Result
	// Reason says why, unless Result is ResultDone.
	Reason string
	// Leader is where to ask instead, if known.
	Leader netip.AddrPort
	Body   []byte
}
