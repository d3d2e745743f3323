package pollenlink

import (
	"bytes"
	"io"

	"github.com/klauspost/compress/flate"
	"github.com/pkg/errors"
)

// ErrPacked is the cause of errors about messages that cannot be unpacked.
var ErrPacked = errors.New("packed message is damaged")

// pack returns the message, compressed if that saves a fragment. Documents shrink
// to a tenth: on a thin link a long one would be lost again and again, since each
// of its fragments has to arrive.
func pack(message []byte) (packed []byte, compressed bool) {
	if len(message) <= fragmentSize {
		return message, false
	}
	var out bytes.Buffer
	// The stateless form holds no window between messages. Writing to memory does
	// not fail; were it to, the message would go as it is.
	if err := flate.StatelessDeflate(&out, message, true, nil); err != nil || fragments(out.Len()) >= fragments(len(message)) {
		return message, false
	}
	return out.Bytes(), true
}

// unpack undoes pack. It allocates no more than MaxMessage and a window.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	message, err := io.ReadAll(io.LimitReader(r, MaxMessageSize+1))
	if err != nil {
		return nil, errors.Wrap(ErrPacked, err.Error())
	}
	if len(message) > MaxMessageSize {
		return nil, errors.Wrapf(ErrPacked, "more than %d bytes", MaxMessageSize)
	}
	return message, nil
}
