package main

import (
	"encoding/binary"
	"net/netip"
)

// Bits of a packet's flags.
const (
	flagSYN     = 2
	flagRST     = 4
	flagACK     = 16
	flagFIN     = 64
	flagBounced = 128
	headerSize  = 32
)

// A packet is one datagram of a flow, as PROTOCOL.md specifies it. The sum is
// left zero, since its key is not disclosed.
type packet struct {
	flags    byte
	seq, ack uint32
	src, dst netip.AddrPort
	data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint16(b[6:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[12:], p.seq)
	binary.BigEndian.PutUint32(b[16:], p.ack)
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[20:], dst[:])
	copy(b[24:], src[:])
	binary.BigEndian.PutUint16(b[28:], p.src.Port())
	binary.BigEndian.PutUint16(b[30:], p.dst.Port())
	return append(b, p.data...)
}

func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[6:])) {
		return packet{}, false
	}
	address := func(at, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[at:at+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		flags: b[0], seq: binary.BigEndian.Uint32(b[12:]), ack: binary.BigEndian.Uint32(b[16:]),
		dst: address(20, 30), src: address(24, 28), data: append([]byte(nil), b[headerSize:]...),
	}, true
}
