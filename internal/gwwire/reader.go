package gwwire

import (
	"encoding/binary"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	headerBytes = 5 // type byte and 4-byte length of a message

	// idleBufferBytes is the size of the buffer embedded in each session. It fits a
	// typical request, so that only longer ones need a buffer from the pool.
	idleBufferBytes   = 512
	pooledBufferBytes = 16 << 10
)

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, pooledBufferBytes)
	return &b
}}

// frameSize returns the size of a message, including the type byte, from the header at
// the start of b.
func frameSize(b []byte) int { return int(binary.BigEndian.Uint32(b[1:])) + 1 }

// reader splits a caller's input into messages. While it waits for the start of a
// message it holds no buffer except the embedded one.
type reader struct {
	nc     net.Conn
	buf    []byte // idle[:], *pooled, or a larger buffer
	r, w   int    // buf[r:w] is the unread input
	pooled *[]byte
	idle   [idleBufferBytes]byte
}

// next returns the next message, including the type byte and length. It is valid until
// the next call. The reader can be used again after a timeout.
func (in *reader) next(limit int) ([]byte, error) {
	for {
		have, need := in.w-in.r, headerBytes
		if have >= headerBytes {
			need = frameSize(in.buf[in.r:])
			if need < headerBytes {
				return nil, errors.Wrapf(errMalformed, "length %d of message %q", need-1, in.buf[in.r])
			}
			if need-headerBytes > limit {
				return nil, errors.Wrapf(errFrameTooLong, "message %q of %d bytes, limit %d", in.buf[in.r], need-headerBytes, limit)
			}
			if have >= need {
				frame := in.buf[in.r : in.r+need]
				in.r += need
				return frame, nil
			}
		}
		if err := in.fill(need); err != nil {
			return nil, err
		}
	}
}

// buffered returns the number of bytes read from the connection but not yet returned.
func (in *reader) buffered() int { return in.w - in.r }

// fill reads more input. need is the number of bytes required from the start of the
// current message.
func (in *reader) fill(need int) error {
	if in.r == in.w {
		in.release()
	}
	if need > len(in.buf)-in.r {
		in.makeRoom(need)
	}
	n, err := in.nc.Read(in.buf[in.w:])
	in.w += n
	if n > 0 {
		return nil
	}
	return err
}

// release returns the buffer to the pool and discards unread input.
func (in *reader) release() {
	if in.pooled != nil {
		bufferPool.Put(in.pooled)
		in.pooled = nil
	}
	in.buf, in.r, in.w = in.idle[:], 0, 0
}

// makeRoom makes room for reading by moving the unread bytes to the start of the buffer
// or to a larger one. The buffer grows with the bytes received, not with the length that
// a message declares, so that a caller cannot make the instance allocate more than a few
// times the number of bytes it has sent.
func (in *reader) makeRoom(need int) {
	unread := in.buf[in.r:in.w]
	if need > len(in.buf) && len(unread) == len(in.buf) || len(in.buf) < pooledBufferBytes && need > len(in.buf) {
		old := in.pooled
		in.pooled = nil
		if size := min(need, 4*len(in.buf)); size <= pooledBufferBytes {
			in.pooled = bufferPool.Get().(*[]byte)
			in.buf = *in.pooled
		} else {
			in.buf = make([]byte, size)
		}
		in.w = copy(in.buf, unread)
		if old != nil {
			bufferPool.Put(old)
		}
	} else {
		in.w = copy(in.buf, unread)
	}
	in.r = 0
}
