package gwowner

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// partlyAnswered is a connection of which a part of the answer may have arrived.
type partlyAnswered struct {
	gwbackend.Connection
	answered bool
}

func (c partlyAnswered) Receiving() bool { return c.answered }

// Guards against a lost answer that occupies a connection until the caller's deadline,
// against a commit that is abandoned while its outcome is unknown, and against a long request or
// answer that is abandoned while it is on its way.
func TestPendingStatementsGiveUpOvertaken(t *testing.T) {
	read := func(text string) gwbackend.Request {
		return gwbackend.Request{Statement: &gwbackend.StatementRequest{Text: text}}
	}
	tests := []struct {
		name string
		conn gwbackend.Connection
		req  gwbackend.Request
		want error
	}{
		{"a read", nil, read("FETCH a"), errAnswerLost},
		{"a read without a part of its answer", partlyAnswered{answered: false}, read("FETCH a"), errAnswerLost},
		{"a read whose answer has begun", partlyAnswered{answered: true}, read("FETCH a"), nil},
		{"a long read, which may not have arrived", nil, read("FETCH " + strings.Repeat("a", maxShortBytes)), nil},
		{"a commit", nil, gwbackend.Request{Statement: &gwbackend.StatementRequest{Text: "COMMIT", Commits: true}}, nil},
		{"SQL, whose effect is not known", nil, gwbackend.Query("SELECT f()"), nil},
	}
	now := time.Unix(100, 0)
	for _, tt := range tests {
		var p pendingStatements
		ctx, _ := p.begin(t.Context(), now, tt.conn, tt.req)
		for range gwlimit.LossThreshold {
			assert.NoError(t, context.Cause(ctx), tt.name)
			_, later := p.begin(t.Context(), now, nil, tests[0].req)
			p.end(later, now.Add(5*time.Millisecond), true)
		}
		assert.Equal(t, tt.want, context.Cause(ctx), tt.name)
	}
}

// Exchange implements gwbackend.Connection; the answer does not end before ctx does.
func (c partlyAnswered) Exchange(ctx context.Context, _ gwbackend.Request, _ gwbackend.Sink) (gwbackend.Result, error) {
	<-ctx.Done()
	return gwbackend.Result{Sent: true}, ctx.Err()
}

// Guards against a server that is ejected because long messages take longer than their deadlines.
func TestTimeoutOfLongMessageIsNoFailureOfServer(t *testing.T) {
	tests := []struct {
		name    string
		conn    partlyAnswered
		text    string
		failure bool
	}{
		{"no part of the answer", partlyAnswered{answered: false}, "FETCH a", true},
		{"a part of the answer", partlyAnswered{answered: true}, "FETCH a", false},
		{"a long request", partlyAnswered{answered: false}, "FETCH " + strings.Repeat("a", maxShortBytes), false},
	}
	for _, tt := range tests {
		s := &server{owner: &Owner{clock: clockwork.NewFakeClock()}}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range gwoutcome.FailuresToEject - 1 {
			x := s.exchange(ctx, tt.conn, gwbackend.Request{Statement: &gwbackend.StatementRequest{Text: tt.text}}, nil)
			assert.Equal(t, gwoutcome.TimedOut, x.event)
		}
		assert.Equal(t, tt.failure, s.health.Observe(gwoutcome.TimedOut, s.owner.clock.Now()), "%s: the last failure before an ejection", tt.name)
	}
}
