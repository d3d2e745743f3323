package pollenstore

import (
	"encoding/binary"
	"hash/crc32"
)

// headerSize is the size of a frame's header in bytes. A frame is a header
// followed by a payload. The header holds the payload's length, the payload's
// CRC-32C and the CRC-32C of these two fields, each in four big-endian bytes.
const headerSize = 12

// maxPayload bounds the payload of a frame in bytes, so that a damaged length
// is rejected.
const maxPayload = 256 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends the payload as a frame.
func appendFrame(buffer, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	buffer = binary.BigEndian.AppendUint32(buffer, crc32.Checksum(buffer[start:], castagnoli))
	return append(buffer, payload...)
}

// readFrame returns the payload of the frame at the start of the data and the
// size of that frame in bytes. It returns false when the frame is incomplete or
// a checksum does not match. The payload is a part of the data's slice.
func readFrame(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerSize {
		return nil, 0, false
	}
	if crc32.Checksum(data[:8], castagnoli) != binary.BigEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(data))
	if length > maxPayload || length > len(data)-headerSize {
		return nil, 0, false
	}
	payload = data[headerSize : headerSize+length]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return payload, headerSize + length, true
}

// containsFrame reports whether a valid frame starts at any byte of the data.
func containsFrame(data []byte) bool {
	for i := range data {
		if _, _, ok := readFrame(data[i:]); ok {
			return true
		}
	}
	return false
}
