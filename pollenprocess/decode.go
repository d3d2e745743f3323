package pollenprocess

import (
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Decode decodes the message in a datagram's payload, which starts at
// buffer[pollenwire.HeaderSize]. A malformed message is counted and ok is false.
func Decode[T any](b *Base, buffer []byte, size int, mapping func(c *pollenwire.Codec, v *T)) (message T, ok bool) {
	payload := buffer[pollenwire.HeaderSize : pollenwire.HeaderSize+size]
	if err := pollenwire.Unmarshal(payload, &message, mapping); err != nil {
		b.Metrics.CountRefusal(pollenkernel.RefusalMalformed)
		return message, false
	}
	return message, true
}

// AnswerFetch answers a call of pollencall.MethodFetch with the update that
// updateSince returns for the revision in the request.
func AnswerFetch(request []byte, updateSince func(have pollenview.Revision) pollenview.Update) ([]byte, error) {
	var have pollenview.Revision
	if err := pollenwire.Unmarshal(request, &have, pollenwire.MapRevision); err != nil {
		return nil, err
	}
	update := updateSince(have)
	return pollenwire.Marshal(&update, pollenwire.MapUpdate), nil
}
