package gwowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwlimit"
)

// errAnswerLost is the cancellation cause of a statement that gwlimit.LostAfter later
// statements have overtaken.
var errAnswerLost = errors.New("the answer is considered lost: the server has answered later statements")

// pendingStatements tracks the statements that a server has not answered yet.
type pendingStatements struct {
	mu         sync.Mutex
	overtaking gwlimit.Overtaking
	holdTime   gwlimit.Hold
}

// pendingStatement is one of them.
type pendingStatement struct {
	*gwlimit.Flight
	sent   time.Time
	cancel context.CancelCauseFunc
}

// slotLimit returns for how long a statement that is sent now may keep its slot.
func (f *pendingStatements) slotLimit() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdTime.Limit()
}

// begin records a statement that is about to be sent. The returned context is canceled
// when the answer is considered lost, provided that the statement has no effect if it
// is abandoned.
func (f *pendingStatements) begin(ctx context.Context, now time.Time, req gwbackend.Request) (context.Context, *pendingStatement) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &pendingStatement{sent: now, cancel: cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	if hasNoEffectIfAbandoned(req) {
		s.Flight = f.overtaking.Send(cancel)
	} else {
		s.Flight = f.overtaking.Send(nil)
	}
	return ctx, s
}

// hasNoEffectIfAbandoned reports whether a statement has no effect once its connection
// is closed, so that its outcome is known without its answer.
func hasNoEffectIfAbandoned(req gwbackend.Request) bool { return req.Line != nil && !req.Line.Commits }

// end records that a statement was answered or abandoned.
func (f *pendingStatements) end(s *pendingStatement, now time.Time, answered bool) {
	f.mu.Lock()
	lost := f.overtaking.End(s.Flight, answered)
	if answered {
		f.holdTime.Answered(now.Sub(s.sent))
	}
	f.mu.Unlock()
	s.cancel(nil)
	for _, l := range lost {
		if cancel, ok := l.Ref.(context.CancelCauseFunc); ok {
			cancel(errAnswerLost)
		}
	}
}
