package gwowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwlimit"
)

// errAnswerLost is the cancellation cause of a statement that is still unanswered after
// the server has answered gwlimit.LossThreshold later statements.
var errAnswerLost = errors.New("the answer is considered lost: the server has answered later statements")

// pendingStatements tracks the statements that a server has not answered yet.
type pendingStatements struct {
	mu          sync.Mutex
	losses      gwlimit.LossDetector
	slotTimeout gwlimit.SlotTimeout
}

// pendingStatement is a statement that the server has not answered yet.
type pendingStatement struct {
	*gwlimit.SentRequest
	sent   time.Time
	conn   gwbackend.Connection
	cancel context.CancelCauseFunc
	// long means that the request has more than maxShortBytes.
	long bool
}

// onItsWay reports whether a part of the answer has arrived, or the request is so long that it may
// itself not have arrived yet. Its link then takes longer than for many short statements.
func (s *pendingStatement) onItsWay() bool {
	r, ok := s.conn.(gwbackend.Receiver)
	return s.long || ok && r.Receiving()
}

// giveUp ends the wait for the answer unless a message is on its way.
func (s *pendingStatement) giveUp() {
	if !s.onItsWay() {
		s.cancel(errAnswerLost)
	}
}

// slotLimit returns for how long a statement that is sent now may keep its slot.
func (p *pendingStatements) slotLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slotTimeout.Current()
}

// begin records a statement that is about to be sent on a connection. The returned context is
// canceled when the answer is considered lost, provided that the statement has no effect if it is
// abandoned.
func (p *pendingStatements) begin(ctx context.Context, now time.Time, conn gwbackend.Connection, req gwbackend.Request) (context.Context, *pendingStatement) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &pendingStatement{sent: now, conn: conn, cancel: cancel, long: requestBytes(req) > maxShortBytes}
	p.mu.Lock()
	defer p.mu.Unlock()
	if hasNoEffectIfAbandoned(req) {
		s.SentRequest = p.losses.Sent(s)
	} else {
		s.SentRequest = p.losses.Sent(nil)
	}
	return ctx, s
}

// hasNoEffectIfAbandoned reports whether a statement has no effect once its connection
// is closed, so that its outcome is known without its answer.
func hasNoEffectIfAbandoned(req gwbackend.Request) bool {
	return req.Statement != nil && !req.Statement.Commits
}

// maxShortBytes is the greatest size of a request, with the state of its session, that counts as
// short. A link of 2 Mbit/s takes 0.26 s for it.
const maxShortBytes = 64 << 10

// requestBytes returns about the number of bytes that are sent for a statement, and 0 for other
// requests.
func requestBytes(req gwbackend.Request) int {
	if req.Statement == nil {
		return 0
	}
	n := len(req.Statement.ID) + len(req.Statement.Text)
	for _, v := range req.Statement.Variables {
		n += len(v.Name) + len(v.Value)
	}
	for _, st := range req.Prepared {
		n += len(st.SQL)
	}
	return n
}

// end records that a statement was answered or abandoned.
func (p *pendingStatements) end(s *pendingStatement, now time.Time, answered bool) {
	p.mu.Lock()
	lost := p.losses.Ended(s.SentRequest, answered)
	if answered {
		p.slotTimeout.Record(now.Sub(s.sent))
	}
	p.mu.Unlock()
	s.cancel(nil)
	for _, l := range lost {
		if s, ok := l.Ref.(*pendingStatement); ok {
			s.giveUp()
		}
	}
}
