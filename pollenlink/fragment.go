package pollenlink

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// Limits of fragments.
const (
	// fragmentSize is the payload of a fragment in bytes; with the headers of
	// UDP, IP and this package it stays below 1,280, the least MTU of IPv6.
	fragmentSize = 1200
	// MaxMessage bounds a message in bytes: a document of 4,000 routes.
	MaxMessageSize = 1 << 20
	// joinTimeout is how long the missing fragments of a message are waited for.
	joinTimeout = time.Second
	// maxPartial bounds the messages that wait for fragments.
	maxPartial = 64
)

// formPacked is the second byte of the fragments of a compressed message.
const formPacked = 1

// fragments returns the number of fragments of a message of so many bytes.
func fragments(size int) int { return max(1, (size+fragmentSize-1)/fragmentSize) }

// split passes the message to emit in datagrams. The buffer is reused from one
// call of emit to the next.
func split(kind Kind, id uint32, message, buffer []byte, emit func(datagram []byte)) {
	message, packed := pack(message)
	count := fragments(len(message))
	for i := range count {
		part := message[i*fragmentSize : min(len(message), (i+1)*fragmentSize)]
		datagram := buffer[:HeaderSize]
		clear(datagram)
		datagram[0] = kind.code()
		if packed {
			datagram[1] = formPacked
		}
		binary.BigEndian.PutUint16(datagram[4:], uint16(i))
		binary.BigEndian.PutUint16(datagram[6:], uint16(count))
		binary.BigEndian.PutUint32(datagram[8:], id)
		emit(append(datagram, part...))
	}
}

// A joiner puts fragments together. It is not safe for concurrent use.
type joiner struct {
	partial map[partialKey]*partial
}

type partialKey struct {
	from netip.AddrPort
	id   uint32
}

type partial struct {
	parts [][]byte
	have  int
	begun time.Time
}

func newJoiner() *joiner { return &joiner{partial: map[partialKey]*partial{}} }

// add takes a datagram and returns the message that it completes, or nil. A
// message of one fragment may share the datagram's memory.
func (j *joiner) add(now time.Time, from netip.AddrPort, datagram []byte) ([]byte, error) {
	message := j.join(now, from, datagram)
	if message == nil || datagram[1] != formPacked {
		return message, nil
	}
	return unpack(message)
}

func (j *joiner) join(now time.Time, from netip.AddrPort, datagram []byte) []byte {
	index := int(binary.BigEndian.Uint16(datagram[4:]))
	count := int(binary.BigEndian.Uint16(datagram[6:]))
	part := datagram[HeaderSize:]
	if count == 0 || index >= count || count > MaxMessageSize/fragmentSize+1 {
		return nil
	}
	if count == 1 {
		return part
	}
	j.expire(now)
	key := partialKey{from: from, id: binary.BigEndian.Uint32(datagram[8:])}
	p := j.partial[key]
	if p == nil {
		if len(j.partial) >= maxPartial {
			return nil
		}
		p = &partial{parts: make([][]byte, count), begun: now}
		j.partial[key] = p
	}
	if count != len(p.parts) || p.parts[index] != nil {
		return nil
	}
	p.parts[index] = append([]byte(nil), part...)
	p.have++
	if p.have < count {
		return nil
	}
	delete(j.partial, key)
	var message []byte
	for _, b := range p.parts {
		message = append(message, b...)
	}
	return message
}

func (j *joiner) expire(now time.Time) {
	for key, p := range j.partial {
		if now.Sub(p.begun) >= joinTimeout {
			delete(j.partial, key)
		}
	}
}
