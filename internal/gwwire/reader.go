package gwwire

import (
	"encoding/binary"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	headerBytes = 5 // type byte and length of a message

	// idleBufferBytes is held by each session. It takes a typical request in
	// one read, so that sessions need a pooled buffer only for longer ones.
	idleBufferBytes   = 512
	pooledBufferBytes = 16 << 10
)

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, pooledBufferBytes)
	return &b
}}

func frameSize(b []byte) int { return int(binary.BigEndian.Uint32(b[1:])) + 1 }

// reader cuts a caller's input into messages. It holds no buffer but its idle
// one while it waits for the start of a message.
type reader struct {
	nc     net.Conn
	buf    []byte // idle[:], *pooled or a larger one
	r, w   int
	pooled *[]byte
	idle   [idleBufferBytes]byte
}

// next returns the next message, type byte and length included. It is valid
// until the following call. A timeout leaves the reader usable.
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

// buffered returns the number of bytes that were read and not returned.
func (in *reader) buffered() int { return in.w - in.r }

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

// release returns the buffer to the pool. Unread input is dropped.
func (in *reader) release() {
	if in.pooled != nil {
		bufferPool.Put(in.pooled)
		in.pooled = nil
	}
	in.buf, in.r, in.w = in.idle[:], 0, 0
}

// makeRoom moves the unread bytes to a place with room for more. The buffer
// grows with the bytes received, not with the announced length, so that a
// caller cannot make the instance allocate more than a few times what it sent.
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
