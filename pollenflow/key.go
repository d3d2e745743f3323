// Package pollenflow provides what is needed to find the agent that holds a
// flow: flow keys, buckets and their directory owners, registrations of
// holders, and the placement of new flows.
package pollenflow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// A Key identifies a flow of a service by the caller's address and port. A
// caller has at most one flow to a service from one address and port.
type Key = netip.AddrPort

// BucketCount is the number of buckets that the flows of a service are hashed
// into. It bounds the time and memory that a change of members takes.
const BucketCount = 512

// A Bucket is a number below BucketCount.
type Bucket uint16

// A Digest is a hash that replaces a name in datagrams.
type Digest = uint64

// DigestOf returns the digest of a name.
func DigestOf[T ~string](name T) Digest { return xxhash.Sum64String(string(name)) }

// BucketOf returns the bucket of a flow. The hash includes the digest of the
// service, so that a caller's flows to several services fall into different
// buckets.
func BucketOf(service Digest, key Key) Bucket {
	var b [26]byte
	binary.BigEndian.PutUint64(b[:], service)
	raw := key.Addr().As16()
	copy(b[8:], raw[:])
	binary.BigEndian.PutUint16(b[24:], key.Port())
	return Bucket(xxhash.Sum64(b[:]) % BucketCount)
}
