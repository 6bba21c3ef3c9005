package gwowner

import (
	"context"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwpeer"
)

const (
	// peerFactor is how many times its size a statement of another instance needs: the frame and
	// what is decoded from it.
	peerFactor = 2
	// peerWait is how long such a statement waits for memory before it is refused.
	peerWait = time.Second
)

// admitRequests makes a stream take memory for large statements. The returned function gives it
// back after each of them.
func admitRequests(ctx context.Context, pool *gwbudget.Pool, from string, st *gwpeer.Stream) (release func()) {
	hold := pool.Open(from, nil)
	if hold == nil {
		return func() {}
	}
	st.AdmitFrames(func(size int) bool {
		ctx, cancel := context.WithTimeout(ctx, peerWait)
		defer cancel()
		return hold.Acquire(ctx, int64(peerFactor*size))
	})
	return hold.Release
}

// WriteOwned implements gwbackend.OwnedWriter.
func (s *bufferedSink) WriteOwned(b []byte) error {
	if len(s.buf)+len(b) > s.limit && len(s.buf) > 0 {
		if err := s.flush(); err != nil {
			return err
		}
	}
	if len(s.buf) > 0 {
		s.buf = append(s.buf, b...)
		return nil
	}
	s.buf, s.owned = b, true
	return nil
}

// writeOut passes b on, which is not used again if it is owned.
func (s *bufferedSink) writeOut() error {
	if s.owned {
		b := s.buf
		s.buf, s.owned = nil, false
		return gwbackend.WriteOwned(s.out, b)
	}
	_, err := s.out.Write(s.buf)
	s.buf = s.buf[:0]
	return err
}

// passOn writes the payload of a frame, without a copy if the stream does not use it again.
func passOn(out gwbackend.Sink, payload []byte) error {
	if cap(payload) > gwpeer.MaxReusedBytes {
		return gwbackend.WriteOwned(out, payload)
	}
	_, err := out.Write(payload)
	return err
}
