package gwowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwlimit"
)

// errAnswerLost ends the wait for an answer that others have overtaken.
var errAnswerLost = errors.New("the answer is lost: later statements of the server have been answered")

// flights follows the statements that a server has not answered.
type flights struct {
	mu         sync.Mutex
	overtaking gwlimit.LossDetector
	slots      gwlimit.SlotTimeout
}

// flight is one of them.
type flight struct {
	*gwlimit.SentRequest
	sent   time.Time
	cancel context.CancelCauseFunc
}

// hold returns for how long a statement may keep its slot.
func (f *flights) hold() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slots.Current()
}

// begin records a statement that is sent. The context that it returns ends when the
// answer is taken for lost and giving the statement up leaves nothing behind.
func (f *flights) begin(ctx context.Context, now time.Time, req gwbackend.Request) (context.Context, *flight) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &flight{sent: now, cancel: cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	if leavesNothing(req) {
		s.SentRequest = f.overtaking.Sent(cancel)
	} else {
		s.SentRequest = f.overtaking.Sent(nil)
	}
	return ctx, s
}

// leavesNothing reports whether a statement that is given up has no effect once its
// connection is closed: its answer is not needed to know what became of it.
func leavesNothing(req gwbackend.Request) bool { return req.Line != nil && !req.Line.Commits }

// end records that a statement was answered or given up.
func (f *flights) end(s *flight, now time.Time, answered bool) {
	f.mu.Lock()
	lost := f.overtaking.Ended(s.SentRequest, answered)
	if answered {
		f.slots.Record(now.Sub(s.sent))
	}
	f.mu.Unlock()
	s.cancel(nil)
	for _, l := range lost {
		if cancel, ok := l.Ref.(context.CancelCauseFunc); ok {
			cancel(errAnswerLost)
		}
	}
}
