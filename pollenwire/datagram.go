package pollenwire

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenview"
)

// A DatagramKind is the type of a datagram's payload. On the wire it is one
// byte, the index in datagramKinds.
type DatagramKind string

// Kinds of datagrams.
const (
	// DatagramPacket carries a caller's packet to an agent.
	DatagramPacket DatagramKind = "packet"
	// DatagramAnswer carries a backend server's packet to a balancer.
	DatagramAnswer DatagramKind = "answer"
	// DatagramHeartbeat carries a pollenmember.Heartbeat.
	DatagramHeartbeat DatagramKind = "heartbeat"
	// DatagramNotice carries a pollenmember.Notice.
	DatagramNotice DatagramKind = "notice"
	// DatagramRegister carries a list of pollenflow.Registration.
	DatagramRegister DatagramKind = "register"
	// DatagramLoad carries a pollenflow.Load.
	DatagramLoad DatagramKind = "load"
)

var datagramKinds = [...]DatagramKind{
	DatagramPacket, DatagramAnswer, DatagramHeartbeat, DatagramNotice, DatagramRegister, DatagramLoad,
}

// Layout of a datagram: header, payload, nonce, authentication tag. Numbers are
// big-endian. The bytes between the fields are zero.
const (
	offsetVersion  = 0
	offsetKind     = 1
	offsetFlags    = 2
	offsetHops     = 3
	offsetSearch   = 4
	offsetService  = 8
	offsetTarget   = 16
	offsetRevision = 24
	offsetCaller   = 32
	offsetBalancer = 50
	// HeaderSize is the number of bytes before the payload.
	HeaderSize = 68

	addressSize = 18
	nonceSize   = 12
	tagSize     = 16
	// TrailerSize is the number of bytes after the payload.
	TrailerSize = nonceSize + tagSize
)

// MaxPayload is the largest payload of a datagram in bytes; 65507 bytes is the
// largest payload of a UDP datagram over IPv4.
const MaxPayload = 65507 - HeaderSize - TrailerSize

// Bits of the flags byte.
const (
	flagMayOpenFlow = 1 << 0
	flagAssigned    = 1 << 1
	flagSearch      = 1 << 2
)

// A Header holds the fields of a datagram that precede its payload.
type Header struct {
	Kind DatagramKind
	// MayOpenFlow is set when the packet may open a flow.
	MayOpenFlow bool
	// Assigned is set when the directory owner chose the receiver as the
	// holder of the flow.
	Assigned bool
	// Search is set while the directory owner sends the packet to one agent
	// after another to find the holder of the flow.
	Search bool
	// SearchIndex is the index of the next candidate.
	SearchIndex uint8
	// Hops is the number of times that agents have forwarded the packet; steps
	// of a search are not counted.
	Hops uint8
	// Service and Target are digests of the service's and the receiver's names.
	Service uint64
	Target  uint64
	// Revision is that of the sender's view.
	Revision pollenview.Revision
	Caller   netip.AddrPort
	// Balancer is the address to which answers to the caller are sent.
	Balancer netip.AddrPort
}

// Errors of Sealer.Open, besides ErrMalformed.
var (
	// ErrForged means that the authentication tag matches none of the keys.
	ErrForged = errors.New("datagram authentication failed")
)

// A Sealer authenticates datagrams with AES-GMAC; it does not encrypt them. It
// is safe for concurrent use. Seal and Open do not allocate.
type Sealer struct {
	// primary uses the first key and seals. accepted has one AEAD for each key,
	// so that datagrams under the previous key are accepted while keys change.
	primary  cipher.AEAD
	accepted []cipher.AEAD
	// A nonce is prefix followed by the low 48 bits of counter. The prefix is
	// drawn at random for each Sealer, so that processes that share a key, and
	// restarts of one, do not repeat a nonce.
	prefix  [nonceSize - 6]byte
	counter atomic.Uint64
}

// NewSealer returns a new Sealer. It seals with the first key and opens
// datagrams under any of the keys. The keys have 16, 24 or 32 bytes. The prefix
// must be drawn at random for each Sealer, since a repeated nonce breaks the
// authentication.
func NewSealer(keys [][]byte, prefix [6]byte) (*Sealer, error) {
	s := &Sealer{prefix: prefix}
	for _, key := range keys {
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, errors.Wrap(err, "create AES cipher for datagram key")
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, errors.Wrap(err, "create GCM for datagram key")
		}
		s.accepted = append(s.accepted, aead)
	}
	if len(s.accepted) == 0 {
		return nil, errors.New("datagram key list is empty")
	}
	s.primary = s.accepted[0]
	return s, nil
}

// Seal writes header, nonce and tag around a payload, in place, and returns the
// whole datagram. The buffer holds size bytes of payload from HeaderSize on and
// must have a capacity of TrailerSize bytes after them.
func (s *Sealer) Seal(buffer []byte, size int, h *Header) []byte {
	end := HeaderSize + size
	putHeader(buffer, h)
	nonce := buffer[end : end+nonceSize]
	copy(nonce, s.prefix[:])
	n := s.counter.Add(1)
	binary.BigEndian.PutUint16(nonce[6:], uint16(n>>32))
	binary.BigEndian.PutUint32(nonce[8:], uint32(n))
	return s.primary.Seal(buffer[:end+nonceSize], nonce, nil, buffer[:end])
}

// Open authenticates a datagram, decodes its header into h, and returns the
// payload, a part of the datagram's slice. It returns ErrForged when no key
// matches, and ErrMalformed when the size, the version or the kind is invalid;
// h is then unchanged.
func (s *Sealer) Open(datagram []byte, h *Header) ([]byte, error) {
	if len(datagram) < HeaderSize+TrailerSize || datagram[offsetVersion] != formatVersion {
		return nil, ErrMalformed
	}
	end := len(datagram) - TrailerSize
	nonce := datagram[end : end+nonceSize]
	tag := datagram[end+nonceSize:]
	authentic := false
	for _, aead := range s.accepted {
		if _, err := aead.Open(nil, nonce, tag, datagram[:end]); err == nil {
			authentic = true
			break
		}
	}
	if !authentic {
		return nil, ErrForged
	}
	if int(datagram[offsetKind]) >= len(datagramKinds) {
		return nil, ErrMalformed
	}
	getHeader(datagram, h)
	return datagram[HeaderSize:end], nil
}

func putHeader(b []byte, h *Header) {
	b[offsetVersion] = formatVersion
	b[offsetKind] = kindByte(h.Kind)
	b[offsetFlags] = 0
	if h.MayOpenFlow {
		b[offsetFlags] |= flagMayOpenFlow
	}
	if h.Assigned {
		b[offsetFlags] |= flagAssigned
	}
	if h.Search {
		b[offsetFlags] |= flagSearch
	}
	b[offsetHops] = h.Hops
	b[offsetSearch] = h.SearchIndex
	b[5], b[6], b[7] = 0, 0, 0
	binary.BigEndian.PutUint64(b[offsetService:], h.Service)
	binary.BigEndian.PutUint64(b[offsetTarget:], h.Target)
	binary.BigEndian.PutUint64(b[offsetRevision:], uint64(h.Revision))
	putAddress(b[offsetCaller:], h.Caller)
	putAddress(b[offsetBalancer:], h.Balancer)
}

func getHeader(b []byte, h *Header) {
	flags := b[offsetFlags]
	*h = Header{
		Kind:        datagramKinds[b[offsetKind]],
		MayOpenFlow: flags&flagMayOpenFlow != 0,
		Assigned:    flags&flagAssigned != 0,
		Search:      flags&flagSearch != 0,
		SearchIndex: b[offsetSearch],
		Hops:        b[offsetHops],
		Service:     binary.BigEndian.Uint64(b[offsetService:]),
		Target:      binary.BigEndian.Uint64(b[offsetTarget:]),
		Revision:    pollenview.Revision(binary.BigEndian.Uint64(b[offsetRevision:])),
		Caller:      getAddress(b[offsetCaller:]),
		Balancer:    getAddress(b[offsetBalancer:]),
	}
}

// kindByte returns the index of the kind in datagramKinds. For an unknown kind
// it returns an index out of range, which Open rejects.
func kindByte(kind DatagramKind) byte {
	for i, k := range datagramKinds {
		if k == kind {
			return byte(i)
		}
	}
	return byte(len(datagramKinds))
}

// putAddress writes an address as 16 bytes of IPv6 or mapped IPv4 address and 2
// bytes of port. The invalid address is written as zeros.
func putAddress(b []byte, a netip.AddrPort) {
	if !a.IsValid() {
		clear(b[:addressSize])
		return
	}
	raw := a.Addr().As16()
	copy(b, raw[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

// getAddress reads an address written by putAddress; port 0 stands for the
// invalid address.
func getAddress(b []byte) netip.AddrPort {
	port := binary.BigEndian.Uint16(b[16:])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte(b[:16])).Unmap(), port)
}
