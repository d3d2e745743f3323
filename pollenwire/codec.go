// Package pollenwire encodes and decodes the domain types: as MessagePack for
// calls, files and control messages, and in a fixed layout for the header of a
// relayed datagram.
//
// Each type has one mapping function that serves both directions, so that
// encoder and decoder cannot differ. A mapping function reads the value when
// its Codec encodes and sets the value when its Codec decodes.
package pollenwire

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Causes of decoding errors.
var (
	// ErrMalformed is the cause when the input does not follow the format.
	ErrMalformed = errors.New("malformed message")
	// ErrVersion is the cause when the first byte of a message is not the
	// supported format version.
	ErrVersion = errors.New("unsupported message format version")
)

// formatVersion is the first byte of every encoded message.
const formatVersion = 1

// A Codec encodes or decodes one message. It stores the first error; later
// operations have no effect.
type Codec struct {
	encoder *msgpack.Encoder
	decoder *msgpack.Decoder
	// rest is the input that is not decoded yet; nil when encoding.
	rest *bytes.Reader
	err  error
}

// Marshal returns the format version followed by the encoded value. It panics
// when the mapping cannot encode the value, which is a programming error.
func Marshal[T any](value *T, mapping func(c *Codec, value *T)) []byte {
	var buffer bytes.Buffer
	buffer.WriteByte(formatVersion)
	c := &Codec{encoder: msgpack.NewEncoder(&buffer)}
	c.encoder.UseCompactInts(true)
	mapping(c, value)
	if c.err != nil {
		// Writes to a bytes.Buffer do not fail, so the mapping is at fault.
		panic(c.err)
	}
	return buffer.Bytes()
}

// Unmarshal decodes a message into the value. It is safe for input from an
// untrusted sender: it does not panic, and it allocates no more than a small
// multiple of the input's size. The cause of its errors is ErrVersion for
// another format version and ErrMalformed for every other fault, which includes
// bytes after the end of the value. After an error the value may be partly set.
func Unmarshal[T any](data []byte, value *T, mapping func(c *Codec, value *T)) error {
	if len(data) == 0 {
		return errors.Wrap(ErrMalformed, "empty")
	}
	if data[0] != formatVersion {
		return errors.Wrapf(ErrVersion, "version %d", data[0])
	}
	c := &Codec{rest: bytes.NewReader(data[1:])}
	c.decoder = msgpack.NewDecoder(c.rest)
	mapping(c, value)
	if c.err != nil {
		return errors.Wrap(ErrMalformed, c.err.Error())
	}
	if c.rest.Len() > 0 {
		return errors.Wrapf(ErrMalformed, "%d bytes after the end of the message", c.rest.Len())
	}
	return nil
}

func (c *Codec) decoding() bool { return c.decoder != nil }

func (c *Codec) fail(err error) {
	if c.err == nil {
		c.err = err
	}
}

func text[T ~string](c *Codec, v *T) {
	if c.err != nil {
		return
	}
	if !c.decoding() {
		c.fail(c.encoder.EncodeString(string(*v)))
		return
	}
	*v = T(c.bytes())
}

// bytes decodes a string or bytes. The length must not exceed the number of bytes that
// remain: the decoder itself allocates up to 4 GB for a forged length.
func (c *Codec) bytes() []byte {
	n, err := c.decoder.DecodeBytesLen()
	c.fail(err)
	if c.err != nil || n <= 0 {
		return nil
	}
	if n > c.rest.Len() {
		c.fail(errors.Errorf("length %d exceeds the %d bytes that remain", n, c.rest.Len()))
		return nil
	}
	b := make([]byte, n)
	c.fail(c.decoder.ReadFull(b))
	return b
}

func unsigned[T ~uint64 | ~uint32 | ~uint8](c *Codec, v *T) {
	if c.err != nil {
		return
	}
	if !c.decoding() {
		c.fail(c.encoder.EncodeUint(uint64(*v)))
		return
	}
	n, err := c.decoder.DecodeUint64()
	c.fail(err)
	if uint64(T(n)) != n {
		c.fail(errors.Errorf("unsigned number %d does not fit its field", n))
	}
	*v = T(n)
}

func signed[T ~int | ~int64](c *Codec, v *T) {
	if c.err != nil {
		return
	}
	if !c.decoding() {
		c.fail(c.encoder.EncodeInt(int64(*v)))
		return
	}
	n, err := c.decoder.DecodeInt64()
	c.fail(err)
	*v = T(n)
}

func float(c *Codec, v *float64) {
	if c.err != nil {
		return
	}
	if !c.decoding() {
		c.fail(c.encoder.EncodeFloat64(*v))
		return
	}
	n, err := c.decoder.DecodeFloat64()
	c.fail(err)
	*v = n
}

func boolean(c *Codec, v *bool) {
	if c.err != nil {
		return
	}
	if !c.decoding() {
		c.fail(c.encoder.EncodeBool(*v))
		return
	}
	b, err := c.decoder.DecodeBool()
	c.fail(err)
	*v = b
}

// blob encodes or decodes bytes. Nil is encoded like an empty slice, and an
// empty slice leaves the decoded value as it was.
func blob(c *Codec, v *[]byte) {
	if c.err != nil {
		return
	}
	if !c.decoding() {
		b := *v
		if b == nil {
			b = []byte{}
		}
		c.fail(c.encoder.EncodeBytes(b))
		return
	}
	if b := c.bytes(); len(b) > 0 {
		*v = b
	}
}

func address(c *Codec, v *netip.AddrPort) {
	var raw []byte
	if !c.decoding() {
		raw, _ = v.MarshalBinary()
	}
	blob(c, &raw)
	if c.decoding() && c.err == nil {
		c.fail(v.UnmarshalBinary(raw))
	}
}

func duration(c *Codec, v *time.Duration) { signed(c, (*int64)(v)) }

// instant encodes a time as nanoseconds since the Unix epoch; a decoded time is
// in UTC. The zero time is encoded as 0.
func instant(c *Codec, v *time.Time) {
	var n int64
	if !c.decoding() && !v.IsZero() {
		n = v.UnixNano()
	}
	signed(c, &n)
	if c.decoding() && n != 0 {
		*v = time.Unix(0, n).UTC()
	}
}

// list encodes or decodes a slice. A decoded length must not exceed the number
// of bytes that remain, since each item takes at least one byte; this bounds
// what a forged length can allocate. The initial capacity is limited as well,
// since an item may take more memory than its encoding.
func list[T any](c *Codec, v *[]T, item func(c *Codec, v *T)) {
	if c.err != nil {
		return
	}
	if !c.decoding() {
		c.fail(c.encoder.EncodeArrayLen(len(*v)))
		for i := range *v {
			item(c, &(*v)[i])
		}
		return
	}
	n, err := c.decoder.DecodeArrayLen()
	c.fail(err)
	if c.err != nil || n <= 0 {
		return
	}
	if n > c.rest.Len() {
		c.fail(errors.Errorf("list length %d exceeds the %d bytes that remain", n, c.rest.Len()))
		return
	}
	values := make([]T, 0, min(n, 1024))
	for range n {
		var value T
		item(c, &value)
		if c.err != nil {
			return
		}
		values = append(values, value)
	}
	*v = values
}

// optional encodes or decodes a pointer that may be nil: a flag, then the value
// when the flag is set.
func optional[T any](c *Codec, v **T, item func(c *Codec, v *T)) {
	present := *v != nil
	boolean(c, &present)
	if !present || c.err != nil {
		return
	}
	if c.decoding() {
		*v = new(T)
	}
	item(c, *v)
}
