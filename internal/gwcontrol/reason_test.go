package gwcontrol

import (
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstate"
)

// Guards against a primary that is never replaced because the reason, which quotes what the server
// has answered, is not UTF-8 or too long for the replicated log or a message to the leader.
func TestChangeBeginsWithAnyReason(t *testing.T) {
	for _, reason := range []string{"the primary does not answer: \xff\xfe", strings.Repeat("é", 2<<20), "a\x00\r\nb", strings.Repeat("x", maxReasonBytes-1) + "é"} {
		clock := clockwork.NewFakeClock()
		v := newSteppedVoter(t, clock)
		v.propose(gwstate.StartGroup{Group: "g", Primary: "i-1", Term: 1})
		l := &Leader{consensus: v.Consensus, state: v.State, clock: clock, log: v.Log, owners: silentOwners{}, waits: make(changeWaits)}
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.changePrimary("g", 1, reason)
		}()
		select {
		case f := <-v.calls:
			v.pass(f)
		case <-time.After(2 * time.Second):
		}
		g, _ := v.State.Group("g")
		assert.Equal(t, gwstate.Changing, g.Phase, "%.40q", reason)
		assert.LessOrEqual(t, len(g.Reason), maxReasonBytes)
		v.pass(v.loseLeadership)
		for ended := false; !ended; {
			clock.Advance(changeRetryDelay)
			select {
			case <-done:
				ended = true
			case f := <-v.calls:
				v.pass(f)
			case <-time.After(time.Millisecond):
			}
		}

		b, err := gwpeer.Marshal(newSuspectRequest("g", 1, reason, "self"))
		require.NoError(t, err)
		assert.Less(t, len(b), gwpeer.MaxMessageBytes)
		var r SuspectRequest
		require.NoError(t, gwpeer.Unmarshal(b, &r))
		assert.True(t, utf8.ValidString(r.Reason))
	}
}
