// Package pollenpacket defines the packets of flows that the system forwards
// without terminating them, and the interface to their formats.
package pollenpacket

import (
	"cmp"
	"net/netip"
)

// A Flow identifies a flow by the addresses of its two ends.
type Flow struct {
	Caller netip.AddrPort
	// Service is the destination address of the caller's packets.
	Service netip.AddrPort
}

// Compare orders flows by caller, then by service address.
func (f Flow) Compare(other Flow) int {
	return cmp.Or(f.Caller.Compare(other.Caller), f.Service.Compare(other.Service))
}

// A Packet holds the fields that the system reads from one packet of a flow.
type Packet struct {
	Flow Flow
	// SYN, ACK, FIN and RST are flags as in TCP. SYN requests a new flow, and ACK
	// is set on every packet that acknowledges the other end; SYN with ACK is the
	// second step of the handshake.
	SYN bool
	ACK bool
	FIN bool
	RST bool
	// Returned marks a packet that the backend server rejected and sent back.
	Returned bool
	// Sequence and Acknowledged are positions in the two byte streams. In an
	// opening packet of a caller, Acknowledged is instead the number of its earlier
	// transmissions.
	Sequence     uint32
	Acknowledged uint32
	// ServerError is set on a packet of a backend server whose payload starts like
	// a response that reports a server error. It is meaningful only for the first
	// packet after a request.
	ServerError bool
	// Size is the length of the payload in bytes.
	Size int
	// Mark is the value that the node which forwarded the packet set with SetMark.
	Mark uint32
}

// Opening reports whether a caller requests a new flow: SYN without ACK.
func (p *Packet) Opening() bool { return p.SYN && !p.ACK }

// A Format parses packets from datagrams and writes the few fields that nodes
// may change. Implementations are stateless.
type Format interface {
	// ParseFromCaller parses a packet that a caller sent, also if the backend
	// server returned it. ok is false if data is not a valid packet.
	ParseFromCaller(data []byte) (p Packet, ok bool)
	// ParseFromServer parses a packet that a backend server sent, or one of a
	// caller that it returned. ok is false if data is not a valid packet.
	ParseFromServer(data []byte) (p Packet, ok bool)
	// SetMark sets the mark and clears all other fields that only nodes read. data
	// is a valid packet.
	SetMark(data []byte, mark uint32)
	// AppendReset appends a packet to data that resets the flow at its caller, in
	// response to p.
	AppendReset(data []byte, p *Packet) []byte
}
