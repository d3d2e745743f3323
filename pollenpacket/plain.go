package pollenpacket

import (
	"encoding/binary"
	"net/netip"
)

// PlainHeaderSize is the size of the header of a Plain packet in bytes.
const PlainHeaderSize = 32

// Plain is the project's own packet format, for emulations and embedded use. It
// implements Format.
//
// The header holds, big-endian: flags (2 bytes), payload size (2), mark (4),
// sequence (4), acknowledged (4), sender (6), receiver (6), and four zero bytes.
// The payload follows it.
type Plain struct{}

// Bits of the flags.
const (
	plainSYN = 1 << iota
	plainACK
	plainFIN
	plainRST
	plainReturned
)

// AppendPlain appends a packet from a caller, or from a backend server if
// fromServer is set, with the payload, which is at most 65,535 bytes long. The
// addresses of the flow must be IPv4. p.Size is ignored.
func AppendPlain(data []byte, p *Packet, fromServer bool, payload []byte) []byte {
	var flags uint16
	for _, f := range [...]struct {
		set bool
		bit uint16
	}{{p.SYN, plainSYN}, {p.ACK, plainACK}, {p.FIN, plainFIN}, {p.RST, plainRST}, {p.Returned, plainReturned}} {
		if f.set {
			flags |= f.bit
		}
	}
	data = binary.BigEndian.AppendUint16(data, flags)
	data = binary.BigEndian.AppendUint16(data, uint16(len(payload)))
	data = binary.BigEndian.AppendUint32(data, p.Mark)
	data = binary.BigEndian.AppendUint32(data, p.Sequence)
	data = binary.BigEndian.AppendUint32(data, p.Acknowledged)
	ends := [...]netip.AddrPort{p.Flow.Caller, p.Flow.Service}
	if fromServer {
		ends[0], ends[1] = ends[1], ends[0]
	}
	for _, end := range ends {
		ip := end.Addr().As4()
		data = append(data, ip[:]...)
		data = binary.BigEndian.AppendUint16(data, end.Port())
	}
	data = append(data, 0, 0, 0, 0)
	return append(data, payload...)
}

// ParseFromCaller implements Format.
func (Plain) ParseFromCaller(data []byte) (Packet, bool) { return parsePlain(data, false) }

// ParseFromServer implements Format.
func (Plain) ParseFromServer(data []byte) (Packet, bool) {
	p, ok := parsePlain(data, false)
	if !ok || p.Returned {
		return p, ok
	}
	return parsePlain(data, true)
}

func parsePlain(data []byte, fromServer bool) (Packet, bool) {
	if len(data) < PlainHeaderSize {
		return Packet{}, false
	}
	size := int(binary.BigEndian.Uint16(data[2:]))
	if len(data) != PlainHeaderSize+size {
		return Packet{}, false
	}
	flags := binary.BigEndian.Uint16(data)
	end := func(b []byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
	}
	p := Packet{
		Flow: Flow{Caller: end(data[16:]), Service: end(data[22:])},
		SYN:  flags&plainSYN != 0, ACK: flags&plainACK != 0, FIN: flags&plainFIN != 0,
		RST: flags&plainRST != 0, Returned: flags&plainReturned != 0, Size: size,
		Mark: binary.BigEndian.Uint32(data[4:]), Sequence: binary.BigEndian.Uint32(data[8:]),
		Acknowledged: binary.BigEndian.Uint32(data[12:]),
	}
	if fromServer {
		p.Flow.Caller, p.Flow.Service = p.Flow.Service, p.Flow.Caller
	}
	return p, true
}

// SetMark implements Format.
func (Plain) SetMark(data []byte, mark uint32) {
	flags := binary.BigEndian.Uint16(data)
	binary.BigEndian.PutUint16(data, flags&^plainReturned)
	binary.BigEndian.PutUint32(data[4:], mark)
}

// AppendReset implements Format.
func (Plain) AppendReset(data []byte, p *Packet) []byte {
	reset := Packet{Flow: p.Flow, RST: true}
	if !p.Opening() {
		reset.Sequence = p.Acknowledged
	}
	return AppendPlain(data, &reset, true, nil)
}
