package gwcontrol

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwstate"
)

// Guards against an answer to the owner of a primary that its copies are recorded although the log
// does not name them, and against a refusal of copies that it names.
func TestRecordCopies(t *testing.T) {
	tests := []struct {
		name    string
		request RecordCopiesRequest
		change  bool // a change of primary is running
		want    []gwstate.CopyRef
		refused bool
	}{
		{"known ones", RecordCopiesRequest{Group: "g", Term: 1, Servers: returnedAt(at10("a", "b"))}, false, at10("a", "b"), false},
		{"a new one", RecordCopiesRequest{Group: "g", Term: 1, Servers: returnedAt(at10("a", "c"))}, false, at10("a", "b", "c"), false},
		{"of an earlier term", RecordCopiesRequest{Group: "g", Term: 0, Servers: returnedAt(at10("c"))}, false, at10("a", "b"), true},
		{"during a change of primary", RecordCopiesRequest{Group: "g", Term: 1, Servers: returnedAt(at10("c"))}, true, at10("a", "b"), true},
		{"of another group", RecordCopiesRequest{Group: "h", Term: 1, Servers: returnedAt(at10("c"))}, false, at10("a", "b"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := newSteppedVoter(t, clockwork.NewFakeClock())
			v.propose(
				gwstate.StartGroup{Group: "g", Primary: "a", Term: 1},
				gwstate.SetCopies{Group: "g", Term: 1, Copies: at10("a", "b")},
			)
			if tt.change {
				v.propose(gwstate.BeginChange{Group: "g", FromTerm: 1})
			}
			l := &Leader{consensus: v.Consensus, state: v.State, clock: v.Clock, log: v.Log, directory: NewDirectory()}
			for i := range tt.request.Servers {
				tt.request.Servers[i].Group = "g"
			}
			done := make(chan struct{})
			var err error
			go func() {
				defer close(done)
				_, err = l.RecordCopies(t.Context(), tt.request)
			}()
			v.serve(done, 0)
			assert.Equal(t, tt.refused, err != nil, "%v", err)
			g, _ := v.State.Group("g")
			assert.Equal(t, tt.want, g.Copies)
			if !tt.refused {
				assert.Len(t, l.directory.All(), len(tt.request.Servers), "else the upkeep takes them for servers that have ended")
			}
		})
	}
}

// Guards against a list of copies that the upkeep decided on before an owner had another one
// recorded, and that replaces it.
func TestUpkeepKeepsRecordedCopies(t *testing.T) {
	v := newSteppedVoter(t, clockwork.NewFakeClock())
	v.propose(gwstate.StartGroup{Group: "g", Primary: "a", Term: 1})
	l := &Leader{consensus: v.Consensus, state: v.State, clock: v.Clock, log: v.Log}
	lead, _ := v.Leadership()
	before, _ := v.State.Group("g")
	run := func(f func()) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			f()
		}()
		v.serve(done, 0)
	}
	run(func() {
		r := RecordCopiesRequest{Group: "g", Term: 1, Servers: returnedAt(at10("a", "d"))}
		for i := range r.Servers {
			r.Servers[i].Group = "g"
		}
		_, err := l.RecordCopies(t.Context(), r)
		assert.NoError(t, err)
	})
	run(func() { l.replaceCopies(t.Context(), lead, before, at10("a", "b")) })
	g, _ := v.State.Group("g")
	assert.Equal(t, at10("a", "d"), g.Copies)
	run(func() { l.replaceCopies(t.Context(), lead, g, at10("a", "b", "d")) })
	g, _ = v.State.Group("g")
	assert.Equal(t, at10("a", "b", "d"), g.Copies)
}

// Guards against a leader that has lost power, has not heard of a copy again, and removes it from the
// record while it lives and confirms writes.
func TestForgottenCopyStaysRecorded(t *testing.T) {
	g := gwstate.Group{Name: "g", Primary: "a", Term: 1, Copies: at10("a", "b", "c")}
	known := at10("a", "b")
	tests := []struct {
		name   string
		record func(d *Directory)
		after  time.Duration
	}{
		{"nothing is known of it", func(*Directory) {}, unknownReleaseDelay},
		{"it has ended", func(d *Directory) { d.Record(ServerFacts{Server: "c", Address: "c:1", Born: 10, Gone: true}) }, releaseDelay},
		{"it has started again", func(d *Directory) { d.Record(ServerFacts{Server: "c", Address: "c:1", Born: 20}) }, releaseDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &Leader{directory: NewDirectory()}
			tt.record(l.directory)
			now := time.Unix(1000, 0)
			_, release := l.copies.next(g, known, now, l.knownToHaveEnded)
			require.False(t, release)
			_, release = l.copies.next(g, known, now.Add(tt.after-1), l.knownToHaveEnded)
			assert.False(t, release)
			_, release = l.copies.next(g, known, now.Add(tt.after), l.knownToHaveEnded)
			assert.True(t, release)
		})
	}
}
