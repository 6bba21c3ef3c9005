package gwowner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwlimit"
)

// Guards against a lost answer that occupies a connection until the caller's deadline,
// and against a commit that is abandoned while its outcome is unknown.
func TestPendingStatementsGiveUpOvertaken(t *testing.T) {
	tests := []struct {
		name string
		req  gwbackend.Request
		want error
	}{
		{"a read", gwbackend.Request{Statement: &gwbackend.StatementRequest{Text: "FETCH a"}}, errAnswerLost},
		{"a commit", gwbackend.Request{Statement: &gwbackend.StatementRequest{Text: "COMMIT", Commits: true}}, nil},
		{"SQL, whose effect is not known", gwbackend.Query("SELECT f()"), nil},
	}
	now := time.Unix(100, 0)
	for _, tt := range tests {
		var p pendingStatements
		ctx, _ := p.begin(t.Context(), now, tt.req)
		for range gwlimit.LossThreshold {
			assert.NoError(t, context.Cause(ctx), tt.name)
			_, later := p.begin(t.Context(), now, tests[0].req)
			p.end(later, now.Add(5*time.Millisecond), true)
		}
		assert.Equal(t, tt.want, context.Cause(ctx), tt.name)
	}
}
