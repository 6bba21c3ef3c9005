package gwpeer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an older version that rejects messages with fields of a newer one.
func TestUnknownFieldsIgnored(t *testing.T) {
	data, err := Marshal(map[int]any{1: "text", 9: []int{1, 2}})
	require.NoError(t, err)
	var got echo
	require.NoError(t, Unmarshal(data, &got))
	assert.Equal(t, "text", got.Text)
}

// Guards against small messages that cost much memory or stack when they are decoded.
func TestDecodeBounds(t *testing.T) {
	array := []byte{0x9a, 0xff, 0xff, 0xff, 0xff} // an array of 2^32-1 elements
	dup, err := cbor.Marshal(map[int]string{1: "a"})
	require.NoError(t, err)
	dup[0] = 0xa2
	tests := []struct {
		name string
		data []byte
	}{
		{name: "nesting", data: append(bytes.Repeat([]byte{0x81}, maxNesting+1), 0)},
		{name: "array length", data: array},
		{name: "repeated key", data: append(dup, dup[1:]...)},
		{name: "indefinite length", data: []byte{0x9f, 0x01, 0xff}},
		{name: "tag", data: []byte{0xc1, 0x01}},
		{name: "trailing bytes", data: []byte{0x01, 0x01}},
		{name: "size", data: make([]byte, MaxFrameBytes+1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v any
			require.Error(t, Unmarshal(tt.data, &v))
			if tt.name == "repeated key" {
				require.Error(t, Unmarshal(tt.data, &echo{}))
			}
		})
	}
}

// Guards against trusting the length of a frame before its bytes arrive: a length over
// the limit must be an error, and a truncated frame must not be taken for the end of the
// stream.
func TestFrameBounds(t *testing.T) {
	head := appendFrame(nil, 1, 2, nil)
	head[3] = 0xff
	_, _, err := readFrame(bufio.NewReader(bytes.NewReader(head)), nil, MaxFrameBytes)
	assert.Equal(t, KindInvalid, errorKind(t, err))
	short := appendFrame(nil, 1, 2, make([]byte, 100))[:50]
	_, _, err = readFrame(bufio.NewReader(bytes.NewReader(short)), nil, MaxFrameBytes)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, _, err = readFrame(bufio.NewReader(strings.NewReader("")), nil, MaxFrameBytes)
	require.ErrorIs(t, err, io.EOF)
}

// Guards against panics and unbounded memory on frames of a faulty peer, and against
// frames that change when they are encoded again.
func FuzzFrame(f *testing.F) {
	f.Add(appendFrame(streamHeader{typ: streamCall, kind: 300}.encode(), 1, 2, []byte("payload")))
	f.Add([]byte{3, 1, 7, 0, 0, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		head, err := readStreamHeader(r)
		if err != nil {
			return
		}
		again, err := readStreamHeader(bufio.NewReader(bytes.NewReader(head.encode())))
		require.NoError(t, err)
		require.Equal(t, head, again)
		for {
			h, payload, err := readFrame(r, nil, MaxFrameBytes)
			if err != nil {
				var own *Error
				known := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &own)
				require.True(t, known, "%v", err)
				return
			}
			require.LessOrEqual(t, len(payload), len(data))
			b := appendFrame(nil, h.kind, h.exchange, payload)
			h2, payload2, err := readFrame(bufio.NewReader(bytes.NewReader(b)), nil, MaxFrameBytes)
			require.NoError(t, err)
			require.Equal(t, h, h2)
			require.True(t, bytes.Equal(payload, payload2))
		}
	})
}

// Guards against panics in decoding, and against messages that change when they are
// encoded again.
func FuzzMessage(f *testing.F) {
	for _, v := range []any{hello{Instance: "a", Epoch: 7}, wireError{Code: "busy", Message: "m"}, echo{Text: "x"}} {
		data, err := Marshal(v)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var v any
		_ = Unmarshal(data, &v)
		var h hello
		if Unmarshal(data, &h) != nil {
			return
		}
		again, err := Marshal(h)
		require.NoError(t, err)
		var got hello
		require.NoError(t, Unmarshal(again, &got))
		require.Equal(t, h, got)
	})
}

// textMessage is a message with texts in every place that a message can have them.
type textMessage struct {
	Text  string                `cbor:"1,keyasint"`
	Inner struct{ A, B string } `cbor:"2,keyasint"`
	List  []string              `cbor:"3,keyasint"`
	Map   map[string]string     `cbor:"4,keyasint"`
}

// Guards against a request that another instance cannot decode because a caller's data is not
// UTF-8: nothing had run, and the caller was told that the outcome is unknown.
func TestTextsOfAnyBytes(t *testing.T) {
	var all []byte
	for c := range 256 {
		all = append(all, byte(c))
	}
	for _, text := range []string{"", "a", "\r", "\n", "\x00", "\xff\xfe", "a\xe2\x82", string(all)} {
		want := textMessage{Text: text, List: []string{text, "b"}, Map: map[string]string{text: text}}
		want.Inner.A, want.Inner.B = text, "b"+text
		data, err := Marshal(want)
		require.NoError(t, err)
		var got textMessage
		require.NoError(t, Unmarshal(data, &got), "%q", text)
		assert.Equal(t, want, got)
	}
	// A byte string, as another release may send it.
	data, err := Marshal(map[int]any{1: []byte{0xff, 'a'}})
	require.NoError(t, err)
	var got echo
	require.NoError(t, Unmarshal(data, &got))
	assert.Equal(t, "\xffa", got.Text)
}
