package gwstatement

import (
	"context"
	"io"
	"sync/atomic"

	"gentianward.example/gentianward/internal/gwbudget"
)

const (
	// freeAnswerBytes is the part of an answer of a server that is not taken from the budget.
	freeAnswerBytes = 32 << 10
	// answerStep is the size of the steps in which the memory of an answer is taken, and
	// answerFactor how many times its size it needs while it is read: what has arrived, and the
	// larger buffer that it is copied to.
	answerStep   = 64 << 10
	answerFactor = 2
)

// answerMemory has the memory of the answer that a connection to a server reads. While there is
// none, the connection is not read.
type answerMemory struct {
	hold *gwbudget.Hold
	ctx  context.Context
	end  context.CancelFunc
	// read is the number of bytes of the answer, and taken how many of them memory was taken for.
	// Only the reader of the connection uses them.
	read, taken int
	// taking is true from the first bytes that are taken until release.
	taking atomic.Bool
}

func newAnswerMemory(pool *gwbudget.Pool) *answerMemory {
	m := &answerMemory{hold: pool.Open("", nil)}
	m.ctx, m.end = context.WithCancel(context.Background())
	return m
}

// release returns the memory of an answer that has been passed on.
func (m *answerMemory) release() {
	if m.taking.Swap(false) {
		m.hold.Release()
	}
}

// answerReader reads answers and takes their memory before.
type answerReader struct {
	io.Reader
	memory *answerMemory
}

// Read implements io.Reader.
func (r answerReader) Read(b []byte) (int, error) {
	m := r.memory
	if m.read+len(b) > max(freeAnswerBytes, m.taken) {
		m.taking.Store(true)
		if !m.hold.Acquire(m.ctx, answerFactor*answerStep) {
			return 0, context.Cause(m.ctx)
		}
		m.taken += answerStep
	}
	n, err := r.Reader.Read(b)
	m.read += n
	return n, err
}

// nextAnswer begins the count of the next answer.
func (m *answerMemory) nextAnswer() { m.read, m.taken = 0, 0 }

// appendRow appends a row and doubles the capacity when it is full, which leaves less garbage than
// append. Room is left for the end of the answer.
func appendRow(raw, row []byte) []byte {
	const end = 256
	if need := len(raw) + len(row); need > cap(raw) && need > freeAnswerBytes {
		raw = append(make([]byte, 0, max(need+end, 2*cap(raw))), raw...)
	}
	return append(raw, row...)
}
