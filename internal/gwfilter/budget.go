package gwfilter

import (
	"context"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

const (
	// freeStatementBytes is the size up to which a statement for another instance takes no memory
	// from the budget: links have windows of 256 KiB for each stream anyway.
	freeStatementBytes = 64 << 10
	// statementFactor is how many times its size an encoded statement needs, as the buffer grows.
	statementFactor = 2
	// statementWait is how long a statement waits for this memory before it is refused.
	statementWait = time.Second
)

// takeTotalState changes the size of the state of all sessions by n, and returns false if there is
// no room for it.
func (s *statementSession) takeTotalState(n int) bool {
	if total := s.entry.stateBytes.Add(int64(n)); n > 0 && total > maxTotalStateBytes {
		s.entry.stateBytes.Add(-int64(n))
		return false
	}
	if n <= 0 {
		s.stateHold.Reduce(int64(s.stateBytes + n))
		return true
	}
	if !s.stateHold.TryAcquire(int64(n)) {
		s.entry.stateBytes.Add(-int64(n))
		return false
	}
	return true
}

// openStateHold returns the hold of a new session's state; nil without a budget.
func (e *Entry) openStateHold(ctx context.Context) *gwbudget.Hold {
	if e.Budget == nil {
		return nil
	}
	return e.Budget.State.Open(gwbudget.HostFrom(ctx), nil)
}

// execWithMemory runs a request at another instance with memory for its encoded form and, in the
// course of it, for the answer.
func (u *pooledUpstream) execWithMemory(ctx context.Context, req *gwowner.Request, out writer) gwowner.Result {
	if u.budget == nil {
		return u.RemoteSession.Exec(ctx, req, out)
	}
	answers := u.budget.Answers.Open("", nil)
	defer answers.Release()
	u.Stream().AdmitFrames(func(size int) bool { return answers.Acquire(ctx, int64(size)) })
	defer u.Stream().AdmitFrames(nil)
	size := requestBytes(req)
	if size <= freeStatementBytes {
		return u.RemoteSession.Exec(ctx, req, out)
	}
	hold := u.budget.Statements.Open("", nil)
	defer hold.Release()
	wait, cancel := context.WithTimeout(ctx, statementWait)
	defer cancel()
	if !hold.Acquire(wait, int64(statementFactor*size)) {
		u.refused = true // a transaction may be open on the stream
		return notRun(gwoutcome.Expired, "no memory to send the statement and the values of its session")
	}
	return u.RemoteSession.Exec(ctx, req, out)
}

// requestBytes returns about the size of an encoded request.
func requestBytes(req *gwowner.Request) int {
	n := len(req.Messages)
	for _, p := range req.Prepared {
		n += len(p.Name) + len(p.SQL)
	}
	if st := req.Statement; st != nil {
		n += len(st.ID) + len(st.Text)
		for _, v := range st.Variables {
			n += len(v.Name) + len(v.Value)
		}
	}
	return n
}

// WriteOwned implements gwbackend.OwnedWriter.
func (r *request) WriteOwned(b []byte) error {
	r.bytes += int64(len(b))
	return gwbackend.WriteOwned(r.w, b)
}

// WriteOwned implements gwbackend.OwnedWriter.
func (a *answerBuffer) WriteOwned(b []byte) error {
	if len(a.b) == 0 {
		a.b = b
		return nil
	}
	a.b = append(a.b, b...)
	return nil
}

// appendAnswer appends an answer to b, without a copy if b is empty and the answer is large.
func appendAnswer(b, answer []byte) []byte {
	if len(b) == 0 && len(answer) > freeStatementBytes {
		return answer
	}
	return append(b, answer...)
}
