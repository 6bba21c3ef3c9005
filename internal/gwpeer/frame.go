package gwpeer

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// streamType is the first byte of every QUIC stream.
type streamType byte

const (
	streamHello  streamType = 1
	streamCall   streamType = 2
	streamFrames streamType = 3
)

// streamHeader precedes the first frame of a stream.
//
// Wire format: type byte, uvarint kind, uvarint timeout in microseconds (0 for
// none).
type streamHeader struct {
	typ     streamType
	kind    uint16
	timeout time.Duration
}

// frameHeaderBytes is the size of a frame's header: kind byte and big-endian
// 32-bit payload length.
const frameHeaderBytes = 5

func appendStreamHeader(b []byte, h streamHeader) []byte {
	b = append(b, byte(h.typ))
	b = binary.AppendUvarint(b, uint64(h.kind))
	return binary.AppendUvarint(b, uint64(max(h.timeout, 0)/time.Microsecond))
}

func readStreamHeader(r *bufio.Reader) (streamHeader, error) {
	typ, err := r.ReadByte()
	if err != nil {
		return streamHeader{}, err
	}
	if t := streamType(typ); t < streamHello || t > streamFrames {
		return streamHeader{}, errors.Newf("stream type %d is not known", typ)
	}
	kind, err := binary.ReadUvarint(r)
	if err != nil {
		return streamHeader{}, err
	}
	if kind > 0xffff {
		return streamHeader{}, errors.Newf("kind %d exceeds 16 bits", kind)
	}
	micros, err := binary.ReadUvarint(r)
	if err != nil {
		return streamHeader{}, err
	}
	if micros > uint64(24*time.Hour/time.Microsecond) {
		return streamHeader{}, errors.Newf("timeout of %d microseconds exceeds a day", micros)
	}
	return streamHeader{
		typ:     streamType(typ),
		kind:    uint16(kind),
		timeout: time.Duration(micros) * time.Microsecond,
	}, nil
}

func appendFrame(b []byte, kind byte, payload []byte) []byte {
	b = append(b, kind, 0, 0, 0, 0)
	putFrameLen(b[len(b)-frameHeaderBytes:], len(payload))
	return append(b, payload...)
}

// putFrameLen stores the payload length in a frame header.
func putFrameLen(header []byte, size int) {
	binary.BigEndian.PutUint32(header[1:frameHeaderBytes], uint32(size))
}

// readFrame reads one frame, storing its payload in buf when that is large
// enough. A length over limit is an error before any payload is read.
func readFrame(r *bufio.Reader, buf []byte, limit int) (kind byte, payload []byte, err error) {
	head, err := r.Peek(frameHeaderBytes)
	if err != nil {
		if errors.Is(err, io.EOF) && len(head) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	kind = head[0]
	size := binary.BigEndian.Uint32(head[1:])
	if uint64(size) > uint64(limit) {
		return 0, nil, newError("read frame", KindInvalid, "", errors.Newf("frame of %d bytes exceeds %d", size, limit))
	}
	if _, err := r.Discard(frameHeaderBytes); err != nil {
		return 0, nil, err
	}
	payload, err = readPayload(r, buf[:0], int(size))
	return kind, payload, err
}

// readPayload grows the buffer in steps, so that a length that the sender
// never fills costs at most one step of memory.
func readPayload(r *bufio.Reader, buf []byte, size int) ([]byte, error) {
	const step = 256 << 10
	for len(buf) < size {
		n := min(size-len(buf), max(step, cap(buf)-len(buf)))
		if cap(buf)-len(buf) < n {
			grown := make([]byte, len(buf), max(len(buf)+n, min(2*cap(buf), size)))
			copy(grown, buf)
			buf = grown
		}
		part := buf[len(buf) : len(buf)+n]
		if _, err := io.ReadFull(r, part); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		buf = buf[:len(buf)+n]
	}
	return buf, nil
}
