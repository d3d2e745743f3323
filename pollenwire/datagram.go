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

// A DatagramKind says what a datagram between two processes carries. On the
// wire it is one byte.
type DatagramKind string

// Kinds of datagrams.
const (
	// DatagramPacket carries a caller's packet towards an agent.
	DatagramPacket DatagramKind = "packet"
	// DatagramAnswer carries a backend server's packet towards a balancer.
	DatagramAnswer DatagramKind = "answer"
	// DatagramHeartbeat carries a Heartbeat.
	DatagramHeartbeat DatagramKind = "heartbeat"
	// DatagramNotice carries a Notice.
	DatagramNotice DatagramKind = "notice"
	// DatagramRegister carries Registrations.
	DatagramRegister DatagramKind = "register"
	// DatagramLoad carries a Load.
	DatagramLoad DatagramKind = "load"
)

var datagramKinds = [...]DatagramKind{
	DatagramPacket, DatagramAnswer, DatagramHeartbeat, DatagramNotice, DatagramRegister, DatagramLoad,
}

// Layout of a datagram: header, payload, nonce, tag.
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

// MaxPayload is the largest payload of a datagram in bytes.
const MaxPayload = 65507 - HeaderSize - TrailerSize

// Bits of the flags byte.
const (
	flagOpens    = 1 << 0
	flagAssigned = 1 << 1
	flagSearch   = 1 << 2
)

// A Header is what a datagram says besides its payload.
type Header struct {
	Kind DatagramKind
	// Opens is set when the packet may open a flow.
	MayOpenFlow bool
	// Assigned is set when the home agent chose the receiver as holder.
	Assigned bool
	// Search is set while agents are asked in turn for an unknown flow.
	Search bool
	// SearchIndex is the position of the next agent to ask.
	SearchIndex uint8
	// Hops counts the agents that passed the packet on.
	Hops uint8
	// Service and Target are digests of the service's and the receiver's names.
	Service uint64
	Target  uint64
	// Revision is the sender's.
	Revision pollenview.Revision
	Caller   netip.AddrPort
	// Balancer is where answers to the caller go.
	Balancer netip.AddrPort
}

// Errors of opening a datagram.
var (
	ErrForged = errors.New("datagram is not authentic")
)

// A Sealer authenticates datagrams with AES-GMAC. It is safe for concurrent
// use and allocates nothing.
type Sealer struct {
	// seal uses the first key; open holds one authenticator for each key.
	seal cipher.AEAD
	open []cipher.AEAD
	// prefix is drawn for each Sealer, so that nonces never repeat under a key.
	prefix  [nonceSize - 6]byte
	counter atomic.Uint64
}

// NewSealer returns a new Sealer with the keys, the first of which seals. The
// prefix must be drawn at random.
func NewSealer(keys [][]byte, prefix [6]byte) (*Sealer, error) {
	s := &Sealer{prefix: prefix}
	for _, key := range keys {
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, errors.Wrap(err, "datagram key")
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, errors.Wrap(err, "datagram key")
		}
		s.open = append(s.open, aead)
	}
	if len(s.open) == 0 {
		return nil, errors.New("no datagram key")
	}
	s.seal = s.open[0]
	return s, nil
}

// Seal completes a datagram in place: the buffer holds size bytes of payload
// from HeaderSize on and has room for TrailerSize more. It returns the whole
// datagram.
func (s *Sealer) Seal(buffer []byte, size int, h *Header) []byte {
	end := HeaderSize + size
	putHeader(buffer, h)
	nonce := buffer[end : end+nonceSize]
	copy(nonce, s.prefix[:])
	n := s.counter.Add(1)
	binary.BigEndian.PutUint16(nonce[6:], uint16(n>>32))
	binary.BigEndian.PutUint32(nonce[8:], uint32(n))
	return s.seal.Seal(buffer[:end+nonceSize], nonce, nil, buffer[:end])
}

// Open checks a datagram and returns its payload, which lies in it.
func (s *Sealer) Open(datagram []byte, h *Header) ([]byte, error) {
	if len(datagram) < HeaderSize+TrailerSize || datagram[offsetVersion] != formatVersion {
		return nil, ErrMalformed
	}
	end := len(datagram) - TrailerSize
	nonce := datagram[end : end+nonceSize]
	tag := datagram[end+nonceSize:]
	authentic := false
	for _, aead := range s.open {
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
		b[offsetFlags] |= flagOpens
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
		MayOpenFlow: flags&flagOpens != 0,
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

func kindByte(kind DatagramKind) byte {
	for i, k := range datagramKinds {
		if k == kind {
			return byte(i)
		}
	}
	return byte(len(datagramKinds))
}

// putAddress writes an address as sixteen bytes and the port; the invalid
// address becomes zeros.
func putAddress(b []byte, a netip.AddrPort) {
	if !a.IsValid() {
		clear(b[:addressSize])
		return
	}
	raw := a.Addr().As16()
	copy(b, raw[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

func getAddress(b []byte) netip.AddrPort {
	port := binary.BigEndian.Uint16(b[16:])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte(b[:16])).Unmap(), port)
}
