package gwstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a call to the platform that the next leader does not know of, because its
// record ended with the change of primary, was lost with a snapshot, or was replaced or ended
// by a leader that had not seen it.
func TestRecordOfCall(t *testing.T) {
	s := New(0)
	index := uint64(0)
	apply := func(cmd Command) Refusal {
		index++
		data, err := Encode(cmd, time.Unix(1, 0))
		require.NoError(t, err)
		return s.Apply(index, data, time.Unix(1, 0)).(GroupResult).Refusal
	}
	call := func(server string, fence, sequence uint64) PromotionCall {
		return PromotionCall{Server: server, Fence: fence, Holder: "h", Sequence: sequence}
	}
	name := func(server string, fence, previous uint64) NamePromotion {
		return NamePromotion{Group: "g", Attempt: 2, Server: server, Fence: fence, Holder: "h", Previous: previous}
	}
	none := PromotionCall{}
	steps := []struct {
		cmd       Command
		want      Refusal
		call      PromotionCall
		promoting string
	}{
		{StartGroup{Group: "g", Primary: "a", Term: 1}, Accepted, none, ""},
		{name("b", 3, 0), GroupNotChanging, none, ""},
		{BeginChange{Group: "g", FromTerm: 1}, Accepted, none, ""},
		{name("b", 3, 0), Accepted, call("b", 3, 4), "b"},
		{name("c", 4, 0), CallOpen, call("b", 3, 4), "b"},
		{name("c", 4, 3), CallOpen, call("b", 3, 4), "b"},
		{name("c", 2, 4), CallOpen, call("b", 3, 4), "b"},
		{name("b", 3, 4), Accepted, call("b", 3, 8), "b"},
		{NamePromotion{Group: "g", Fence: 3, Previous: 4}, ChangeSuperseded, call("b", 3, 8), "b"},
		{NamePromotion{Group: "g", Fence: 4, Previous: 8}, ChangeSuperseded, call("b", 3, 8), "b"},
		{NamePromotion{Group: "g", Attempt: 2}, Accepted, call("b", 3, 8), ""},
		{name("b", 4, 8), Accepted, call("b", 4, 12), "b"},
		{FinishChange{Group: "g", FromTerm: 1, Term: 2, Primary: "b"}, Accepted, call("b", 4, 12), ""},
		{NamePromotion{Group: "g", Attempt: 2}, GroupNotChanging, call("b", 4, 12), ""},
		{NamePromotion{Group: "g", Attempt: 2, Fence: 4, Previous: 12}, Accepted, none, ""},
		{NamePromotion{Group: "g", Attempt: 2, Fence: 4, Previous: 12}, GroupNotChanging, none, ""},
		{BeginChange{Group: "g", FromTerm: 2}, Accepted, none, ""},
		{NamePromotion{Group: "g", Attempt: 3, Server: "c", Fence: 4, Holder: "h"}, Accepted, call("c", 4, 18), "c"},
		{NamePromotion{Group: "g", Fence: 4, Previous: 18}, Accepted, none, "c"},
		{NamePromotion{Group: "g", Attempt: 3, Server: "c"}, Accepted, none, "c"}, // of an earlier release
	}
	for i, tt := range steps {
		assert.Equal(t, tt.want, apply(tt.cmd), "step %d", i+1)
		data, err := s.Snapshot()
		require.NoError(t, err)
		s = New(0)
		require.NoError(t, s.Restore(data, time.Unix(1, 0)))
		g, _ := s.Group("g")
		assert.Equal(t, tt.call, g.Call, "step %d", i+1)
		assert.Equal(t, tt.promoting, g.Promoting, "step %d", i+1)
	}
}

// Guards against attempts whose order the owners of servers cannot tell.
func TestAttemptsAreOrdered(t *testing.T) {
	m := newMachine(t)
	m.apply(StartGroup{Group: "g", Primary: "a", Term: 1})
	var last uint64
	for range 3 {
		g := m.apply(BeginChange{Group: "g", FromTerm: 1}).(GroupResult).Group
		assert.Greater(t, g.Attempt, last)
		last = g.Attempt
	}
}
