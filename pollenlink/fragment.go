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
	// reassemblyTimeout is the maximum wait for the missing fragments of a message.
	reassemblyTimeout = time.Second
	// maxPartialMessages bounds the messages with missing fragments.
	maxPartialMessages = 64
)

// formCompressed is the second byte of each fragment of a compressed message.
const formCompressed = 1

// fragmentCount returns the number of fragments of a message of size bytes.
func fragmentCount(size int) int { return max(1, (size+fragmentSize-1)/fragmentSize) }

// split compresses the message if that saves a fragment, splits it into
// datagrams and passes each to emit. The datagrams share the buffer, so emit
// must not keep them. A datagram holds, big-endian: kind (1 byte), form (1),
// two zero bytes, index (2), number of fragments (2), message ID (4), and four
// zero bytes.
func split(kind Kind, id uint32, message, buffer []byte, emit func(datagram []byte)) {
	message, compressed := compress(message)
	count := fragmentCount(len(message))
	for i := range count {
		part := message[i*fragmentSize : min(len(message), (i+1)*fragmentSize)]
		datagram := buffer[:HeaderSize]
		clear(datagram)
		datagram[0] = kind.code()
		if compressed {
			datagram[1] = formCompressed
		}
		binary.BigEndian.PutUint16(datagram[4:], uint16(i))
		binary.BigEndian.PutUint16(datagram[6:], uint16(count))
		binary.BigEndian.PutUint32(datagram[8:], id)
		emit(append(datagram, part...))
	}
}

// A reassembler joins fragments to messages. It is not safe for concurrent use.
type reassembler struct {
	partial map[partialKey]*partialMessage
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
	kind      Kind
	parts     [][]byte
	received  int
	startTime time.Time
}

func newReassembler(onIncomplete func(from netip.AddrPort, m Incomplete)) *reassembler {
	return &reassembler{partial: map[partialKey]*partialMessage{}, onIncomplete: onIncomplete}
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
	if count == 1 {
		return part
	}
	r.expire(now)
	key := partialKey{from: from, id: binary.BigEndian.Uint32(datagram[8:])}
	p := r.partial[key]
	if p == nil {
		if len(r.partial) >= maxPartialMessages {
			return nil
		}
		p = &partialMessage{kind: kindFromCode(datagram[0]), parts: make([][]byte, count), startTime: now}
		r.partial[key] = p
	}
	if count != len(p.parts) || p.parts[index] != nil {
		return nil
	}
	p.parts[index] = append([]byte(nil), part...)
	p.received++
	if p.received < count {
		return nil
	}
	delete(r.partial, key)
	var message []byte
	for _, b := range p.parts {
		message = append(message, b...)
	}
	return message
}

func (r *reassembler) expire(now time.Time) {
	for key, p := range r.partial {
		if now.Sub(p.startTime) >= reassemblyTimeout {
			delete(r.partial, key)
			r.onIncomplete(key.from, Incomplete{Kind: p.kind, Received: p.received, Fragments: len(p.parts)})
		}
	}
}
