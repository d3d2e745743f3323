// Package pollenflow finds the agent that holds a flow: keys, buckets and their
// home agents, the directory of holders, and the placement of new flows.
package pollenflow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// A Key names a flow of a service: the caller's address. A caller has at most
// one flow to a service from one address and port.
type Key = netip.AddrPort

// BucketCount is the number of buckets into which the flows of a service fall.
// It bounds the work and the memory of a change of members.
const BucketCount = 512

// A Bucket is a number below BucketCount.
type Bucket uint16

// A Digest stands for a name in datagrams.
type Digest = uint64

// DigestOf returns the digest of a name.
func DigestOf[T ~string](name T) Digest { return xxhash.Sum64String(string(name)) }

// BucketOf returns the bucket of a flow. The service's digest is part of the
// hash, so that one caller's flows to several services are spread.
func BucketOf(service Digest, key Key) Bucket {
	var b [26]byte
	binary.BigEndian.PutUint64(b[:], service)
	raw := key.Addr().As16()
	copy(b[8:], raw[:])
	binary.BigEndian.PutUint16(b[24:], key.Port())
	return Bucket(xxhash.Sum64(b[:]) % BucketCount)
}
