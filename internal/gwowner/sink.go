package gwowner

import "io"

// Bounds of the part of an answer that is held back until its request has been
// acknowledged. The end of the answer is always held back; an answer that is
// larger is passed on from its beginning.
const (
	holdReadBytes  = 64 << 10
	holdWriteBytes = 1 << 20
)

// heldSink holds back the last bytes of an answer, so that an error can still
// take the place of its end.
type heldSink struct {
	out     io.Writer
	limit   int
	buf     []byte
	relayed bool
}

// Write keeps b, passing on what was held before when the limit is exceeded.
func (s *heldSink) Write(b []byte) (int, error) {
	if len(s.buf)+len(b) > s.limit && len(s.buf) > 0 {
		if err := s.flush(); err != nil {
			return 0, err
		}
	}
	s.buf = append(s.buf, b...)
	return len(b), nil
}

// flush passes on everything that is held.
func (s *heldSink) flush() error {
	if len(s.buf) == 0 {
		return nil
	}
	s.relayed = true
	_, err := s.out.Write(s.buf)
	s.buf = s.buf[:0]
	return err
}
