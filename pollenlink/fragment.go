package pollenlink

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// Limits of fragments.
const (
	// fragmentSize is the maximum payload of a fragment in bytes. With the headers
	// of UDP, IP and this package it stays below 1,280, the minimum MTU of IPv6.
	fragmentSize = 1200
	// MaxMessageSize bounds a message in bytes; a document of 12,000 routes fits twice.
	MaxMessageSize = 8 << 20
	// reassemblyTimeout is the maximum wait for the next fragment of a message.
	reassemblyTimeout = time.Second
	// completeTimeout is how long a message is remembered after its last fragment. It is
	// longer than its sender waits for an acknowledgement.
	completeTimeout = 4 * maxAckTimeout
	// maxPartialMessages bounds the messages with missing fragments.
	maxPartialMessages = 64
)

// Values of the second and the third byte of a fragment.
const (
	// formCompressed is set in each fragment of a compressed message.
	formCompressed = 1
	// flagAcknowledge requests an acknowledgement.
	flagAcknowledge = 1
	// flagTransfer is set in each fragment of a message that may be sent again.
	flagTransfer = 2
)

// fragmentCount returns the number of fragments of a message of size bytes.
func fragmentCount(size int) int { return max(1, (size+fragmentSize-1)/fragmentSize) }

// appendFragment appends the datagram of one fragment of a message. It holds,
// big-endian: kind (1 byte), form (1), flags (1), a zero byte, index (2), number of
// fragments (2), message ID (4), four zero bytes, and the part of the message.
func appendFragment(buffer []byte, f *Fragment) []byte {
	m := f.Message
	header := [HeaderSize]byte{0: m.Kind.code()}
	if m.Compressed {
		header[1] = formCompressed
	}
	if f.Acknowledge {
		header[2] |= flagAcknowledge
	}
	if !m.direct() {
		header[2] |= flagTransfer
	}
	binary.BigEndian.PutUint16(header[4:], uint16(f.Index))
	binary.BigEndian.PutUint16(header[6:], uint16(m.count()))
	binary.BigEndian.PutUint32(header[8:], m.ID)
	part := m.Data[f.Index*fragmentSize : min(len(m.Data), (f.Index+1)*fragmentSize)]
	return append(append(buffer, header[:]...), part...)
}

// appendReceived appends an acknowledgement: the header of a fragment, and a bit for
// each fragment of the message that has arrived.
func appendReceived(buffer []byte, id uint32, count int, received func(index int) bool) []byte {
	header := [HeaderSize]byte{0: KindReceived.code()}
	binary.BigEndian.PutUint16(header[6:], uint16(count))
	binary.BigEndian.PutUint32(header[8:], id)
	buffer = append(buffer, header[:]...)
	start := len(buffer)
	buffer = append(buffer, make([]byte, (count+7)/8)...)
	for i := range count {
		if received(i) {
			buffer[start+i/8] |= 1 << (i % 8)
		}
	}
	return buffer
}

// readReceived reads what appendReceived appended.
func readReceived(datagram []byte) (id uint32, received func(index int) bool) {
	bits := datagram[HeaderSize:]
	return binary.BigEndian.Uint32(datagram[8:]), func(index int) bool {
		return index/8 < len(bits) && bits[index/8]&(1<<(index%8)) != 0
	}
}

// A reassembler joins fragments to messages. It is not safe for concurrent use.
type reassembler struct {
	partial map[partialKey]*partialMessage
	// complete holds when each message that its sender may send again was last seen
	// after it was complete.
	complete map[partialKey]time.Time
	// onIncomplete is called for each message that is given up.
	onIncomplete func(from netip.AddrPort, m Incomplete)
}

// An Incomplete describes a message of which fragments were lost.
type Incomplete struct {
	Kind Kind
	// Received of its Fragments have arrived.
	Received, Fragments int
}

type partialKey struct {
	from netip.AddrPort
	id   uint32
}

type partialMessage struct {
	kind     Kind
	parts    [][]byte
	received int
	// heardAt is when the last fragment arrived.
	heardAt time.Time
}

func newReassembler(onIncomplete func(from netip.AddrPort, m Incomplete)) *reassembler {
	return &reassembler{
		partial: map[partialKey]*partialMessage{}, complete: map[partialKey]time.Time{}, onIncomplete: onIncomplete,
	}
}

// add adds a fragment and returns the message that it completes, decompressed,
// or nil. A message of one fragment may share the datagram's memory.
func (r *reassembler) add(now time.Time, from netip.AddrPort, datagram []byte) ([]byte, error) {
	message := r.reassemble(now, from, datagram)
	if message == nil || datagram[1] != formCompressed {
		return message, nil
	}
	return decompress(message)
}

func (r *reassembler) reassemble(now time.Time, from netip.AddrPort, datagram []byte) []byte {
	index := int(binary.BigEndian.Uint16(datagram[4:]))
	count := int(binary.BigEndian.Uint16(datagram[6:]))
	part := datagram[HeaderSize:]
	if count == 0 || index >= count || count > MaxMessageSize/fragmentSize+1 {
		return nil
	}
	transferred := datagram[2]&flagTransfer != 0
	if count == 1 && !transferred {
		return part
	}
	r.expire(now)
	key := keyOf(from, datagram)
	if _, complete := r.complete[key]; complete {
		r.complete[key] = now
		return nil
	}
	p := r.partial[key]
	if p == nil {
		if len(r.partial) >= maxPartialMessages {
			return nil
		}
		p = &partialMessage{kind: kindFromCode(datagram[0]), parts: make([][]byte, count)}
		r.partial[key] = p
	}
	p.heardAt = now
	if count != len(p.parts) || p.parts[index] != nil {
		return nil
	}
	p.parts[index] = append([]byte(nil), part...)
	p.received++
	if p.received < count {
		return nil
	}
	delete(r.partial, key)
	if transferred {
		r.complete[key] = now
	}
	var message []byte
	for _, b := range p.parts {
		message = append(message, b...)
	}
	return message
}

// keyOf returns the key of the message that a fragment belongs to.
func keyOf(from netip.AddrPort, datagram []byte) partialKey {
	return partialKey{from: from, id: binary.BigEndian.Uint32(datagram[8:])}
}

// acknowledgement returns the acknowledgement that a fragment requests, or nil.
func (r *reassembler) acknowledgement(from netip.AddrPort, datagram []byte) []byte {
	if datagram[2]&flagAcknowledge == 0 {
		return nil
	}
	key := keyOf(from, datagram)
	_, complete := r.complete[key]
	p := r.partial[key]
	if !complete && p == nil {
		return nil
	}
	count := int(binary.BigEndian.Uint16(datagram[6:]))
	return appendReceived(nil, key.id, count, func(index int) bool {
		return complete || index < len(p.parts) && p.parts[index] != nil
	})
}

func (r *reassembler) expire(now time.Time) {
	for key, at := range r.complete {
		if now.Sub(at) >= completeTimeout {
			delete(r.complete, key)
		}
	}
	for key, p := range r.partial {
		if now.Sub(p.heardAt) >= reassemblyTimeout {
			delete(r.partial, key)
			r.onIncomplete(key.from, Incomplete{Kind: p.kind, Received: p.received, Fragments: len(p.parts)})
		}
	}
}
