package gwowner

import "io"

// Limits of the buffer that holds the end of an answer until its request has been
// acknowledged. Of an answer that exceeds the limit, the beginning is passed on before.
const (
	readBufferBytes  = 64 << 10
	writeBufferBytes = 1 << 20
)

// bufferedSink buffers the last bytes of an answer, so that an error can still replace
// its end.
type bufferedSink struct {
	out     io.Writer
	limit   int
	buf     []byte
	relayed bool
	// owned means that buf was given by WriteOwned.
	owned bool
}

// Write buffers b. If that would exceed the limit, the earlier content is passed on first.
func (s *bufferedSink) Write(b []byte) (int, error) {
	if len(s.buf)+len(b) > s.limit && len(s.buf) > 0 {
		if err := s.flush(); err != nil {
			return 0, err
		}
	}
	s.buf = append(s.buf, b...)
	return len(b), nil
}

// flush passes on everything that is buffered.
func (s *bufferedSink) flush() error {
	if len(s.buf) == 0 {
		return nil
	}
	s.relayed = true
	return s.writeOut()
}
