package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Bits of the flags byte and the size of the header, as the protocol page lists them.
const (
	flagSyn     = 2
	flagRst     = 4
	flagAck     = 16
	flagFin     = 64
	flagBounced = 128
	headerSize  = 32
	maxPayload  = 1200
)

// A packet is one datagram of a flow.
type packet struct {
	flags            byte
	sum              uint32
	echo             uint32
	seq, ack         uint32
	src, dst         netip.AddrPort
	data             []byte
	syn, rst, isAck  bool
	fin, hasBounced  bool
	checksumMatching bool
}

// checksum stands for the keyed sum over all fields except echo, pad and BOUNCED.
func checksum(raw []byte) uint32 {
	clean := append([]byte(nil), raw...)
	clean[0] &^= flagBounced
	clean[1] = 0
	copy(clean[2:6], []byte{0, 0, 0, 0})
	copy(clean[8:12], []byte{0, 0, 0, 0})
	return crc32.ChecksumIEEE(append(clean, "review"...))
}

func encodePacket(flags byte, seq, ack uint32, src, dst netip.AddrPort, data []byte) []byte {
	raw := make([]byte, headerSize, headerSize+len(data))
	raw[0] = flags
	binary.BigEndian.PutUint16(raw[6:], uint16(len(data)))
	binary.BigEndian.PutUint32(raw[12:], seq)
	binary.BigEndian.PutUint32(raw[16:], ack)
	d, s := dst.Addr().As4(), src.Addr().As4()
	copy(raw[20:], d[:])
	copy(raw[24:], s[:])
	binary.BigEndian.PutUint16(raw[28:], src.Port())
	binary.BigEndian.PutUint16(raw[30:], dst.Port())
	raw = append(raw, data...)
	binary.BigEndian.PutUint32(raw[2:], checksum(raw))
	return raw
}

func decodePacket(raw []byte) (packet, bool) {
	if len(raw) < headerSize {
		return packet{}, false
	}
	size := int(binary.BigEndian.Uint16(raw[6:]))
	if size > maxPayload || len(raw) != headerSize+size {
		return packet{}, false
	}
	flags := raw[0]
	return packet{
		flags: flags, sum: binary.BigEndian.Uint32(raw[2:]), echo: binary.BigEndian.Uint32(raw[8:]),
		seq: binary.BigEndian.Uint32(raw[12:]), ack: binary.BigEndian.Uint32(raw[16:]),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[20:24])), binary.BigEndian.Uint16(raw[30:])),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[24:28])), binary.BigEndian.Uint16(raw[28:])),
		data: append([]byte(nil), raw[headerSize:]...),
		syn:  flags&flagSyn != 0, rst: flags&flagRst != 0, isAck: flags&flagAck != 0, fin: flags&flagFin != 0, hasBounced: flags&flagBounced != 0,
		checksumMatching: binary.BigEndian.Uint32(raw[2:]) == checksum(raw),
	}, true
}
