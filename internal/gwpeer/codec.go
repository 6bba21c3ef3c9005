package gwpeer

import (
	"bytes"
	"reflect"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Size limits of messages. Decoding a message that exceeds one of them fails.
const (
	MaxMessageBytes  = 1 << 20  // one request or response
	MaxFrameBytes    = 16 << 20 // payload of one frame of a stream
	MaxDatagramBytes = 1200     // fits an initial QUIC packet of 1280 bytes

	maxNesting  = 16
	maxElements = 64 << 10 // entries of an array or map
	// MaxReusedBytes is the greatest capacity of buffers that are pooled or used again. The
	// payload of a larger frame belongs to its reader.
	MaxReusedBytes = 64 << 10
	maxPooledBuf   = MaxReusedBytes
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()

	bufPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

func mustEncMode() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{
		Time:        cbor.TimeRFC3339NanoUTC,
		IndefLength: cbor.IndefLengthForbidden,
	}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		DefaultMapType:   reflect.TypeFor[map[string]any](),
		// A text is bytes: what callers and servers send need not be UTF-8, and a request
		// that cannot be decoded fails for its caller.
		UTF8:               cbor.UTF8DecodeInvalid,
		ByteStringToString: cbor.ByteStringToStringAllowed,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes v as CBOR; an encoding over MaxFrameBytes is an error.
func Marshal(v any) ([]byte, error) {
	b := getBuf()
	defer putBuf(b)
	if err := encode(b, v, MaxFrameBytes); err != nil {
		return nil, err
	}
	if b.Cap() > maxPooledBuf {
		return b.Bytes(), nil // putBuf does not keep it
	}
	return bytes.Clone(b.Bytes()), nil
}

// Unmarshal decodes CBOR into v and ignores fields that v does not have.
func Unmarshal(data []byte, v any) error {
	if len(data) > MaxFrameBytes {
		return newError("decode message", KindInvalid, "", errors.Newf("message of %d bytes exceeds %d", len(data), MaxFrameBytes))
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return newError("decode message", KindInvalid, "", err)
	}
	return nil
}

// UnmarshalEach decodes an array whose elements are independent of each other. An element
// that cannot be decoded becomes a zero value, so that it does not cost the others.
func UnmarshalEach[T any](data []byte) ([]T, error) {
	var raw []cbor.RawMessage
	if err := Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	out := make([]T, len(raw))
	for i, element := range raw {
		var v T
		if Unmarshal(element, &v) == nil {
			out[i] = v
		}
	}
	return out, nil
}

// encode appends the CBOR encoding of v to b; more than limit bytes are an error.
func encode(b *bytes.Buffer, v any, limit int) error {
	start := b.Len()
	if err := encMode.MarshalToBuffer(v, b); err != nil {
		return newError("encode message", KindInvalid, "", err)
	}
	if n := b.Len() - start; n > limit {
		return newError("encode message", KindInvalid, "", errors.Newf("message of %d bytes exceeds %d", n, limit))
	}
	return nil
}

func getBuf() *bytes.Buffer {
	b := bufPool.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

func putBuf(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuf {
		bufPool.Put(b)
	}
}
