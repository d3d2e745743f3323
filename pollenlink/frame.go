// Package pollenlink carries packets of flows and messages between nodes over
// one UDP socket. It keeps no connections, so there is none that could fall
// silent.
package pollenlink

import (
	"encoding/binary"
	"net/netip"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenview"
)

// A Kind says what a datagram between nodes carries. On the wire it is one
// byte.
type Kind string

// Kinds of datagrams.
const (
	// KindPass carries a packet to the gate that is believed to hold its flow,
	// or that is to open it.
	KindPass Kind = "pass"
	// KindSearch carries a packet to every gate that may hold its flow.
	KindSearch Kind = "search"
	// KindDeclined carries a packet back to the balancer that passed it.
	KindDeclined Kind = "declined"
	// KindAbsent carries back a packet whose flow was searched for in vain, or
	// only names the flow.
	KindNotFound Kind = "absent"
	// KindQuery asks whether a gate holds a flow, and KindUnsure answers that only
	// a packet of it can tell.
	KindQuery       Kind = "query"
	KindNeedsPacket Kind = "unsure"
	// KindHeld tells a balancer that the sender holds a flow.
	KindHolder Kind = "held"
	// KindBeat carries a pollenpeer.Beat.
	KindHeartbeat Kind = "beat"
	// KindUpdate carries a pollenview.Update.
	KindUpdate Kind = "update"
	// KindLog carries a pollenlog.Message.
	KindLog Kind = "log"
	// KindJoin carries a pollencontrol.Join.
	KindJoin Kind = "join"
	// KindCall and KindAnswer carry a Call and its Answer.
	KindCall   Kind = "call"
	KindAnswer Kind = "answer"
)

var kinds = [...]Kind{
	KindPass, KindSearch, KindDeclined, KindHolder, KindHeartbeat, KindUpdate, KindLog, KindJoin, KindCall, KindAnswer,
	KindNotFound, KindQuery, KindNeedsPacket,
}

func (k Kind) code() byte {
	for i, known := range kinds {
		if k == known {
			return byte(i + 1)
		}
	}
	return 0
}

func kindOf(code byte) Kind {
	if code == 0 || int(code) > len(kinds) {
		return ""
	}
	return kinds[code-1]
}

// ofFlow reports whether a datagram of the kind concerns one flow, whether it
// carries a packet of it or not.
func (k Kind) ofFlow() bool {
	return k.carriesPacket() || k == KindHolder || k == KindQuery || k == KindNeedsPacket
}

// carriesPacket reports whether a packet of a flow follows the header.
func (k Kind) carriesPacket() bool {
	return k == KindPass || k == KindSearch || k == KindDeclined || k == KindNotFound
}

// HeaderSize is the number of bytes before the packet of a flow, and before a
// fragment of a message.
const HeaderSize = 16

// A Header goes before the packet of a flow.
type Header struct {
	Kind Kind
	// Hops counts the gates that the packet was passed to before.
	Hops uint8
	// Reason says why a packet was declined.
	Reason pollenkernel.Refusal
	// Service is the hash of the service that the sender routes to.
	Service uint32
	// Revision is that of the view that the sender routes by.
	Revision pollenview.Revision
}

// Put writes the header at the start of the buffer.
func (h *Header) Put(buffer []byte) {
	buffer[0] = h.Kind.code()
	buffer[1] = h.Hops
	buffer[2] = codeOf(h.Reason)
	buffer[3] = 0
	binary.BigEndian.PutUint32(buffer[4:], h.Service)
	binary.BigEndian.PutUint64(buffer[8:], uint64(h.Revision))
}

// ReadHeader reads the header before a packet; ok is false when there is none.
func ReadHeader(data []byte) (h Header, ok bool) {
	if len(data) < HeaderSize {
		return Header{}, false
	}
	h = Header{
		Kind: kindOf(data[0]), Hops: data[1], Reason: reasonOf(data[2]),
		Service:  binary.BigEndian.Uint32(data[4:]),
		Revision: pollenview.Revision(binary.BigEndian.Uint64(data[8:])),
	}
	return h, h.Kind != ""
}

// reasons are those for which a gate declines a packet; a reason's place is its
// code.
var reasons = [...]pollenkernel.Refusal{
	pollenkernel.RefusalNone, pollenkernel.RefusalUnknownFlow, pollenkernel.RefusalWrongService,
	pollenkernel.RefusalNoRoute, pollenkernel.RefusalDraining, pollenkernel.RefusalDomainOut,
	pollenkernel.RefusalColdLimit, pollenkernel.RefusalServerSilent, pollenkernel.RefusalNotReady,
	pollenkernel.RefusalNoSlots, pollenkernel.RefusalConnectionLimit, pollenkernel.RefusalBackendFailed,
}

func codeOf(why pollenkernel.Refusal) byte {
	for i, known := range reasons {
		if why == known {
			return byte(i)
		}
	}
	return 0
}

func reasonOf(code byte) pollenkernel.Refusal {
	if int(code) >= len(reasons) {
		return pollenkernel.RefusalNone
	}
	return reasons[code]
}

// flowSize is the size of an encoded flow: two IPv4 addresses and ports.
const flowSize = 12

// AppendFlow appends the ends of a flow.
func AppendFlow(data []byte, f pollenpacket.Flow) []byte {
	for _, end := range [...]netip.AddrPort{f.Caller, f.Service} {
		ip := end.Addr().As4()
		data = append(data, ip[:]...)
		data = binary.BigEndian.AppendUint16(data, end.Port())
	}
	return data
}

// AppendQuery appends the ends of a flow and what its caller acknowledged last.
func AppendQuery(data []byte, f pollenpacket.Flow, acknowledged uint32) []byte {
	return binary.BigEndian.AppendUint32(AppendFlow(data, f), acknowledged)
}

// ReadQuery undoes AppendQuery; ok is false when the bytes are too few.
func ReadQuery(data []byte) (f pollenpacket.Flow, acknowledged uint32, ok bool) {
	f, ok = ReadFlow(data)
	if !ok || len(data) < flowSize+4 {
		return f, 0, false
	}
	return f, binary.BigEndian.Uint32(data[flowSize:]), true
}

// OnlyFlow reports whether a datagram names a flow and carries no packet.
func IsFlowOnly(datagram []byte) bool { return len(datagram) == HeaderSize+flowSize }

// ReadFlow reads the ends of a flow; ok is false when the bytes are too few.
func ReadFlow(data []byte) (f pollenpacket.Flow, ok bool) {
	if len(data) < flowSize {
		return f, false
	}
	end := func(b []byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
	}
	return pollenpacket.Flow{Caller: end(data), Service: end(data[6:])}, true
}
