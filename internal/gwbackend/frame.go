package gwbackend

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// headerBytes is the size of a message's type byte and length.
const headerBytes = 5

// frameSize returns the size of the message that starts at b, type byte and
// length included. b has at least headerBytes bytes.
func frameSize(b []byte) int { return int(binary.BigEndian.Uint32(b[1:])) + 1 }

// cutString returns the NUL-terminated string at the start of b and the rest.
func cutString(b []byte) (s, rest []byte, ok bool) {
	return bytes.Cut(b, []byte{0})
}

// frameReader reads from r and never past the end of a message, so that a
// protocol reader with its own buffer leaves the following messages unread.
type frameReader struct {
	r              io.Reader
	header         [headerBytes]byte
	headerRead     int // header bytes read from r
	headerReturned int // header bytes returned
	bodyRemaining  int // body bytes still to be read
}

// Read implements io.Reader.
func (f *frameReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if f.headerRead < headerBytes {
		n, err := f.r.Read(f.header[f.headerRead:])
		f.headerRead += n
		if err != nil {
			return 0, err
		}
		if f.headerRead < headerBytes {
			return 0, nil
		}
		f.bodyRemaining = frameSize(f.header[:]) - headerBytes
		if f.bodyRemaining < 0 {
			return 0, errors.Wrap(ErrProtocol, "message length below 4")
		}
	}
	if f.headerReturned < headerBytes {
		n := copy(p, f.header[f.headerReturned:])
		f.headerReturned += n
		f.nextFrame()
		return n, nil
	}
	n, err := f.r.Read(p[:min(len(p), f.bodyRemaining)])
	f.bodyRemaining -= n
	f.nextFrame()
	return n, err
}

func (f *frameReader) nextFrame() {
	if f.headerReturned == headerBytes && f.bodyRemaining == 0 {
		f.headerRead, f.headerReturned = 0, 0
	}
}

// parseError decodes the body of an ErrorResponse.
func parseError(body []byte) (*pgconn.PgError, error) {
	var m pgproto3.ErrorResponse
	if err := m.Decode(body); err != nil {
		return nil, err
	}
	return pgconn.ErrorResponseToPgError(&m), nil
}

// parseErrorStart decodes the first fields of an ErrorResponse from the start of its body.
// The last field is cut.
func parseErrorStart(start []byte) (*pgconn.PgError, error) {
	return parseError(append(bytes.Clone(start), 0, 0))
}
