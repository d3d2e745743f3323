package pollensteer

import (
	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
)

// ServiceHash returns the hash by which nodes identify a service in packet
// headers. It is never zero.
func ServiceHash(name pollendocument.ServiceName) uint32 {
	return uint32(xxhash.Sum64String(string(name))) | 1
}

func keyOf(f pollenpacket.Flow) (k key) {
	var buffer [12]byte
	pollenlink.AppendFlow(buffer[:0], f)
	return key(buffer)
}
