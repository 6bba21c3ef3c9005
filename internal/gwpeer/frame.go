package gwpeer

import (
	"bufio"
	"encoding/binary"
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

// streamType is the first byte of every stream.
type streamType byte

const (
	streamHello  streamType = 1
	streamCall   streamType = 2
	streamFrames streamType = 3
)

// streamHeader precedes the first frame of a stream.
//
// Wire format: type byte, uvarint kind.
type streamHeader struct {
	typ  streamType
	kind uint16
}

// frameHeader precedes each payload.
//
// Wire format: kind byte, big-endian 16-bit exchange, big-endian 32-bit length
// of the payload. The exchange is the sequence number of the request on a reused
// stream, so that a late frame of one request is never taken for a response to the
// next.
type frameHeader struct {
	kind     byte
	exchange uint16
	size     uint32
}

const frameHeaderBytes = 7

func (h streamHeader) encode() []byte {
	return binary.AppendUvarint([]byte{byte(h.typ)}, uint64(h.kind))
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
	if kind > math.MaxUint16 {
		return streamHeader{}, errors.Newf("kind %d exceeds 16 bits", kind)
	}
	return streamHeader{typ: streamType(typ), kind: uint16(kind)}, nil
}

func appendFrame(b []byte, kind byte, exchange uint16, payload []byte) []byte {
	return append(appendFrameHeader(b, kind, exchange, len(payload)), payload...)
}

// appendFrameHeader appends the header of a frame whose payload has size bytes.
func appendFrameHeader(b []byte, kind byte, exchange uint16, size int) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint16(b, exchange)
	return binary.BigEndian.AppendUint32(b, uint32(size))
}

// readFrame reads one frame and stores its payload in buf if that is large enough. If
// the length exceeds limit, it returns an error without reading the payload.
func readFrame(r *bufio.Reader, buf []byte, limit int) (h frameHeader, payload []byte, err error) {
	head, err := r.Peek(frameHeaderBytes)
	if err != nil {
		if errors.Is(err, io.EOF) && len(head) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return h, nil, err
	}
	h = frameHeader{
		kind:     head[0],
		exchange: binary.BigEndian.Uint16(head[1:]),
		size:     binary.BigEndian.Uint32(head[3:]),
	}
	if uint64(h.size) > uint64(limit) {
		return h, nil, newError("read frame", KindInvalid, "", errors.Newf("frame of %d bytes exceeds %d", h.size, limit))
	}
	if _, err := r.Discard(frameHeaderBytes); err != nil {
		return h, nil, err
	}
	payload, err = readPayload(r, buf[:0], int(h.size))
	return h, payload, err
}

// readPayload reads size bytes. It grows the buffer while data arrives, so that a
// sender that announces a large payload and does not send it costs about one step of
// memory, or as much again as it has sent.
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
