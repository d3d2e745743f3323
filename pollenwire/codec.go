// Package pollenwire maps the domain types to bytes: MessagePack for calls,
// files and control messages, and a fixed layout for relayed datagrams.
//
// Each type has one mapping function that serves both directions, so that
// encoder and decoder cannot differ.
package pollenwire

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Errors of decoding.
var (
	ErrMalformed = errors.New("malformed message")
	ErrVersion   = errors.New("message has another format version")
)

// formatVersion is the first byte of every encoded message.
const formatVersion = 1

// A Codec encodes or decodes one message. After the first error every further
// operation does nothing.
type Codec struct {
	encoder *msgpack.Encoder
	decoder *msgpack.Decoder
	// rest is the undecoded input; nil when encoding.
	rest *bytes.Reader
	err  error
}

// Marshal returns the encoding of the value.
func Marshal[T any](value *T, mapping func(c *Codec, value *T)) []byte {
	var buffer bytes.Buffer
	buffer.WriteByte(formatVersion)
	c := &Codec{encoder: msgpack.NewEncoder(&buffer)}
	c.encoder.UseCompactInts(true)
	mapping(c, value)
	if c.err != nil {
		// Encoding to memory fails only when a mapping is wrong.
		panic(c.err)
	}
	return buffer.Bytes()
}

// Unmarshal decodes a message into the value. It never panics and allocates
// no more than a small multiple of the input's size.
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
		return errors.Wrapf(ErrMalformed, "%d bytes too many", c.rest.Len())
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
	s, err := c.decoder.DecodeString()
	c.fail(err)
	*v = T(s)
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
		c.fail(errors.Errorf("number %d is out of range", n))
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

// blob maps bytes; empty and nil are the same.
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
	b, err := c.decoder.DecodeBytes()
	c.fail(err)
	if len(b) > 0 {
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

// instant maps a time to the nanosecond, without its zone.
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

// list maps a slice. A decoded length is bounded by the bytes that are left,
// since each item takes one at least.
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
		c.fail(errors.Errorf("list of %d items in %d bytes", n, c.rest.Len()))
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

// optional maps a pointer that may be nil.
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
