package gwstatement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/pkg/gwoutcome"
)

// Guards against a code that guarantees that nothing was committed for a statement that
// may have committed, and against "unknown" where the caller could safely retry.
func TestCodeOf(t *testing.T) {
	read, write := Scope{}, Scope{Commits: true}
	inside, commit := Scope{Transaction: true}, Scope{Transaction: true, Commits: true}
	tests := []struct {
		event gwoutcome.Event
		scope Scope
		want  Code
	}{
		{gwoutcome.QueueFull, write, Busy},
		{gwoutcome.TooStale, read, Lagging},
		{gwoutcome.BrokenAfterSend, read, Aborted},
		{gwoutcome.BrokenAfterSend, write, Unknown},
		{gwoutcome.TimedOut, inside, Aborted},
		{gwoutcome.TimedOut, commit, Unknown},
		{gwoutcome.AnswerLost, read, Aborted},
		{gwoutcome.AnswerLost, inside, Aborted},
		{gwoutcome.LeaseLost, write, Unknown},
		{gwoutcome.NoLease, commit, Aborted},
		{gwoutcome.OverQuota, read, Busy},
		{gwoutcome.OverQuota, inside, Busy},
		{gwoutcome.ServerReadOnly, inside, Aborted},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.want, CodeOf(tt.event, tt.scope), "%s %+v", tt.event, tt.scope)
	}
}
