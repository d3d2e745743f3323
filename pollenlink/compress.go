package pollenlink

import (
	"bytes"
	"io"

	"github.com/klauspost/compress/flate"
	"github.com/pkg/errors"
)

// ErrDecompress is the cause of errors about messages that cannot be
// decompressed.
var ErrDecompress = errors.New("compressed message is malformed")

// compress returns the message, compressed if that saves a fragment. Documents
// shrink to a tenth of their size. Without compression, a long document would
// repeatedly be lost on a slow link, since each of its fragments has to arrive.
func compress(message []byte) (result []byte, compressed bool) {
	if len(message) <= fragmentSize {
		return message, false
	}
	var out bytes.Buffer
	// Stateless compression keeps no window between messages. Writing to memory
	// does not fail; if it did, the message would be sent uncompressed.
	if err := flate.StatelessDeflate(&out, message, true, nil); err != nil || fragmentCount(out.Len()) >= fragmentCount(len(message)) {
		return message, false
	}
	return out.Bytes(), true
}

// decompress returns the message that compress compressed. It allocates at most
// MaxMessageSize bytes and the window of the decompressor.
func decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	message, err := io.ReadAll(io.LimitReader(r, MaxMessageSize+1))
	if err != nil {
		return nil, errors.Wrap(ErrDecompress, err.Error())
	}
	if len(message) > MaxMessageSize {
		return nil, errors.Wrapf(ErrDecompress, "decompressed size exceeds %d bytes", MaxMessageSize)
	}
	return message, nil
}
