// Package pollenlink transports packets of flows and messages between nodes over
// one UDP socket. It is connectionless, so no connection can break or go silent.
package pollenlink

import (
	"encoding/binary"
	"net/netip"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenview"
)

// A Kind is the type of a datagram between nodes. On the wire it is one byte.
type Kind string

// Kinds of datagrams.
const (
	// KindPass carries a packet to the gate that is believed to hold its flow, or
	// that was chosen to open it.
	KindPass Kind = "pass"
	// KindSearch carries a packet to a gate that may hold its flow.
	KindSearch Kind = "search"
	// KindDeclined carries a declined packet back to the balancer that passed it.
	KindDeclined Kind = "declined"
	// KindNotFound reports that the sender does not hold a flow. It carries back
	// the packet, or only names the flow.
	KindNotFound Kind = "absent"
	// KindQuery asks a gate whether it holds a flow. KindNeedsPacket answers that
	// the gate needs a packet of the flow to decide.
	KindQuery       Kind = "query"
	KindNeedsPacket Kind = "unsure"
	// KindHolder reports to a balancer that the sender holds a flow.
	KindHolder Kind = "held"
	// KindHeartbeat carries a pollenpeer.Heartbeat.
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
	// KindReceived acknowledges fragments of a message.
	KindReceived Kind = "received"
	// KindCheckpoint carries the pollencheckpoint.Checkpoint of a gate to a balancer that
	// keeps it. KindRestore asks for it, and KindRestored carries it back.
	KindCheckpoint Kind = "checkpoint"
	KindRestore    Kind = "restore"
	KindRestored   Kind = "restored"
	// KindQueries asks a gate about several flows, and KindAnswers answers it. The service
	// in their headers is the number of the batch.
	KindQueries Kind = "queries"
	KindAnswers Kind = "answers"
)

// kinds lists the kinds by their codes on the wire, which start at 1.
var kinds = [...]Kind{
	KindPass, KindSearch, KindDeclined, KindHolder, KindHeartbeat, KindUpdate, KindLog, KindJoin, KindCall, KindAnswer,
	KindNotFound, KindQuery, KindNeedsPacket, KindReceived, KindCheckpoint, KindRestore, KindRestored,
	KindQueries, KindAnswers,
}

func (k Kind) code() byte {
	for i, known := range kinds {
		if k == known {
			return byte(i + 1)
		}
	}
	return 0
}

func kindFromCode(code byte) Kind {
	if code == 0 || int(code) > len(kinds) {
		return ""
	}
	return kinds[code-1]
}

// concernsFlow reports whether a datagram of the kind concerns flows, with or without a
// packet of one.
func (k Kind) concernsFlow() bool {
	return k.carriesPacket() || k == KindHolder || k == KindQuery || k == KindNeedsPacket ||
		k == KindQueries || k == KindAnswers
}

// carriesPacket reports whether a packet of a flow follows the header.
func (k Kind) carriesPacket() bool {
	return k == KindPass || k == KindSearch || k == KindDeclined || k == KindNotFound
}

// HeaderSize is the size in bytes of the header before the packet of a flow, and
// before a fragment of a message.
const HeaderSize = 16

// A Header is the header before the packet of a flow.
type Header struct {
	Kind Kind
	// Hops is the number of gates that the packet was passed to before.
	Hops uint8
	// Reason is why a packet was declined. In an opening packet that is passed to a gate,
	// RefusalPriority states that the gate must not decline it for its priority.
	Reason pollenkernel.Refusal
	// Service is the hash of the service that the sender routes to.
	Service uint32
	// Revision is the revision of the view that the sender routes by.
	Revision pollenview.Revision
}

// Put writes the header to the first HeaderSize bytes of the buffer.
func (h *Header) Put(buffer []byte) {
	buffer[0] = h.Kind.code()
	buffer[1] = h.Hops
	buffer[2] = reasonCode(h.Reason)
	buffer[3] = 0
	binary.BigEndian.PutUint32(buffer[4:], h.Service)
	binary.BigEndian.PutUint64(buffer[8:], uint64(h.Revision))
}

// ReadHeader reads the header at the start of data. ok is false if data is too
// short or its kind is unknown.
func ReadHeader(data []byte) (h Header, ok bool) {
	if len(data) < HeaderSize {
		return Header{}, false
	}
	h = Header{
		Kind: kindFromCode(data[0]), Hops: data[1], Reason: reasonFromCode(data[2]),
		Service:  binary.BigEndian.Uint32(data[4:]),
		Revision: pollenview.Revision(binary.BigEndian.Uint64(data[8:])),
	}
	return h, h.Kind != ""
}

// reasons lists the reasons for which a gate declines a packet. The index of a
// reason is its code on the wire.
var reasons = [...]pollenkernel.Refusal{
	pollenkernel.RefusalNone, pollenkernel.RefusalUnknownFlow, pollenkernel.RefusalWrongService,
	pollenkernel.RefusalNoRoute, pollenkernel.RefusalDraining, pollenkernel.RefusalDomainOut,
	pollenkernel.RefusalColdLimit, pollenkernel.RefusalServerSilent, pollenkernel.RefusalNotReady,
	pollenkernel.RefusalNoSlots, pollenkernel.RefusalConnectionLimit, pollenkernel.RefusalBackendFailed,
	pollenkernel.RefusalPriority,
}

func reasonCode(reason pollenkernel.Refusal) byte {
	for i, known := range reasons {
		if reason == known {
			return byte(i)
		}
	}
	return 0
}

func reasonFromCode(code byte) pollenkernel.Refusal {
	if int(code) >= len(reasons) {
		return pollenkernel.RefusalNone
	}
	return reasons[code]
}

// flowSize is the size of an encoded flow in bytes: two IPv4 addresses and ports.
const flowSize = 12

// AppendFlow appends the two addresses of a flow, which must be IPv4.
func AppendFlow(data []byte, f pollenpacket.Flow) []byte {
	for _, end := range [...]netip.AddrPort{f.Caller, f.Service} {
		ip := end.Addr().As4()
		data = append(data, ip[:]...)
		data = binary.BigEndian.AppendUint16(data, end.Port())
	}
	return data
}

// AppendQuery appends the two addresses of a flow and the position that its
// caller last acknowledged.
func AppendQuery(data []byte, f pollenpacket.Flow, acknowledged uint32) []byte {
	return binary.BigEndian.AppendUint32(AppendFlow(data, f), acknowledged)
}

// ReadQuery reads what AppendQuery appended; ok is false if data is too short.
func ReadQuery(data []byte) (f pollenpacket.Flow, acknowledged uint32, ok bool) {
	f, ok = ReadFlow(data)
	if !ok || len(data) < flowSize+4 {
		return f, 0, false
	}
	return f, binary.BigEndian.Uint32(data[flowSize:]), true
}

// IsFlowOnly reports whether a datagram names a flow and carries no packet of
// it.
func IsFlowOnly(datagram []byte) bool { return len(datagram) == HeaderSize+flowSize }

// ReadFlow reads what AppendFlow appended; ok is false if data is too short.
func ReadFlow(data []byte) (f pollenpacket.Flow, ok bool) {
	if len(data) < flowSize {
		return f, false
	}
	end := func(b []byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
	}
	return pollenpacket.Flow{Caller: end(data), Service: end(data[6:])}, true
}
