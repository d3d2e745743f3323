package pollenlink

import "net/netip"

// A Method is the operation that a Call requests from the leading control host.
type Method string

// Values of Method.
const (
	// MethodDeclare submits a declaration to be put in force.
	MethodDeclare Method = "declare"
	// MethodEvacuate evacuates a failure domain or takes it back into use.
	MethodEvacuate Method = "empty"
	// MethodGetDeclaration reads the declaration that is in force, with a
	// linearizable read.
	MethodGetDeclaration Method = "declared"
	// MethodGetRevision reads the revision of the view, with a linearizable read.
	MethodGetRevision Method = "revision"
)

// A Call is a request to another node. It may be lost, and may arrive more than
// once.
type Call struct {
	// ID matches the Answer to the Call; it is unique at the sender.
	ID     uint64
	Method Method
	Body   []byte
}

// A Result is the outcome of a call.
type Result string

// Values of Result.
const (
	ResultDone Result = "done"
	// ResultRefused means that the request is invalid or conflicts with the state.
	ResultRefused Result = "refused"
	// ResultConflict means that the state has changed since the caller read it. The
	// call had no effect; the caller may read the state and call again.
	ResultConflict Result = "conflict"
	// ResultRetry means that this node cannot answer now. Another node may, or the
	// same one later.
	ResultRetry Result = "again"
)

// An Answer is the response to the Call with the same ID.
type Answer struct {
	ID     uint64
	Result Result
	// Reason explains a Result other than ResultDone.
	Reason string
	// Leader is the address to call instead; invalid if unknown.
	Leader netip.AddrPort
	Body   []byte
}
