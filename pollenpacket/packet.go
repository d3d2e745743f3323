// Package pollenpacket describes single packets of flows that the system passes
// on without ending them.
package pollenpacket

import (
	"cmp"
	"net/netip"
)

// A Flow is the pair of ends that tells one flow from every other.
type Flow struct {
	Caller netip.AddrPort
	// Service is the address that the caller sends to.
	Service netip.AddrPort
}

// Compare orders flows by their callers, then by the service addresses.
func (f Flow) Compare(other Flow) int {
	return cmp.Or(f.Caller.Compare(other.Caller), f.Service.Compare(other.Service))
}

// A Packet is what the system reads of one packet of a flow.
type Packet struct {
	Flow Flow
	// Open asks for a new flow; Answer is set on every packet that acknowledges
	// the other end, so Open with Answer is the second step of the handshake.
	SYN bool
	ACK bool
	FIN bool
	RST bool
	// Returned marks a packet that the backend server would not take.
	Returned bool
	// Sequence and Acknowledged are positions in the two byte streams. In an
	// opening packet of a caller, Acknowledged counts its earlier copies.
	Sequence     uint32
	Acknowledged uint32
	// Failed is set on a packet of a backend server whose bytes begin like an
	// answer that says that the server failed. It means something only for the
	// first packet after a request.
	ServerError bool
	// Size is the number of bytes of the stream that the packet carries.
	Size int
	// Mark is what the node that passed the packet on wrote into it.
	Mark uint32
}

// Opening reports whether a caller asks for a new flow.
func (p *Packet) Opening() bool { return p.SYN && !p.ACK }

// A Format reads packets as they lie in datagrams, and writes the few parts of
// them that nodes may change. Implementations are stateless.
type Format interface {
	// Caller reads a packet that a caller sent, also when the backend server
	// returned it. ok is false when the bytes are no packet.
	ParseFromCaller(data []byte) (p Packet, ok bool)
	// Server reads a packet that a backend server sent, or one that it returned.
	ParseFromServer(data []byte) (p Packet, ok bool)
	// SetMark writes the mark and clears what else only nodes read.
	SetMark(data []byte, mark uint32)
	// AppendReset appends a packet that resets the flow at the caller's end and
	// answers p.
	AppendReset(data []byte, p *Packet) []byte
}
