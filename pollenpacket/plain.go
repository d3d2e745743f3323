package pollenpacket

import (
	"encoding/binary"
	"net/netip"
)

// PlainHead is the number of bytes before the stream's in a Plain packet.
const PlainHeaderSize = 32

// Plain is the project's own format of packets, for emulations and embedded
// use. It implements Format.
//
// A head holds, big-endian: flags (2 bytes), size (2), mark (4), sequence (4),
// acknowledged (4), sender (6), receiver (6), and four bytes that are zero.
type Plain struct{}

const (
	plainOpen = 1 << iota
	plainAnswer
	plainFinish
	plainReset
	plainReturned
)

// AppendPlain appends a packet from a caller, or from a server when fromServer
// is set, with the stream's bytes.
func AppendPlain(data []byte, p *Packet, fromServer bool, stream []byte) []byte {
	var flags uint16
	for _, f := range [...]struct {
		set bool
		bit uint16
	}{{p.SYN, plainOpen}, {p.ACK, plainAnswer}, {p.FIN, plainFinish}, {p.RST, plainReset}, {p.Returned, plainReturned}} {
		if f.set {
			flags |= f.bit
		}
	}
	data = binary.BigEndian.AppendUint16(data, flags)
	data = binary.BigEndian.AppendUint16(data, uint16(len(stream)))
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
	return append(data, stream...)
}

// Caller implements Format.
func (Plain) ParseFromCaller(data []byte) (Packet, bool) { return readPlain(data, false) }

// Server implements Format.
func (Plain) ParseFromServer(data []byte) (Packet, bool) {
	p, ok := readPlain(data, false)
	if !ok || p.Returned {
		return p, ok
	}
	return readPlain(data, true)
}

func readPlain(data []byte, fromServer bool) (Packet, bool) {
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
		SYN:  flags&plainOpen != 0, ACK: flags&plainAnswer != 0, FIN: flags&plainFinish != 0,
		RST: flags&plainReset != 0, Returned: flags&plainReturned != 0, Size: size,
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
