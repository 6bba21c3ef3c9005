package gwstate

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianward.example/gentianward/pkg/gwsession"
)

// TestMain sets rapid's seed and number of checks and steps, so that CI runs are
// reproducible. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.steps": "200"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var start = time.UnixMilli(1_000_000)

// machine applies commands to a state at consecutive indexes.
type machine struct {
	t     require.TestingT
	state *State
	now   time.Time
}

func newMachine(t require.TestingT) *machine { return &machine{t: t, state: New(0.01), now: start} }

func (m *machine) apply(cmd Command) Result {
	data, err := Encode(cmd, start)
	require.NoError(m.t, err)
	return m.state.Apply(m.state.Index()+1, data, m.now)
}

func manifest(number uint64, text string) PublishManifest {
	sum := sha256.Sum256([]byte(text))
	return PublishManifest{Number: number, Digest: hex.EncodeToString(sum[:]), Text: text}
}

// Guards against a manifest that replaces a later one, skips a number, or is
// accepted twice with different content.
func TestPublishManifest(t *testing.T) {
	m := newMachine(t)
	three, four, other := manifest(3, "three"), manifest(4, "four"), manifest(4, "other")
	forged := four
	forged.Text = "forged"
	tests := []struct {
		name string
		cmd  PublishManifest
		want ManifestResult
	}{
		{name: "first", cmd: three, want: ManifestResult{Current: 3, AcceptedDigest: three.Digest}},
		{name: "skips a number", cmd: manifest(5, "five"), want: ManifestResult{Refusal: NotSuccessor, Current: 3}},
		{name: "digest of another text", cmd: forged, want: ManifestResult{Refusal: DigestMismatch, Current: 3}},
		{name: "successor", cmd: four, want: ManifestResult{Current: 4, AcceptedDigest: four.Digest}},
		{name: "resent", cmd: four, want: ManifestResult{Resent: true, Current: 4, AcceptedDigest: four.Digest}},
		{name: "lost race", cmd: other, want: ManifestResult{Refusal: NumberTaken, Current: 4, AcceptedDigest: four.Digest}},
		{name: "old and resent", cmd: three, want: ManifestResult{Resent: true, Current: 4, AcceptedDigest: three.Digest}},
		{name: "older than all", cmd: manifest(2, "two"), want: ManifestResult{Refusal: NumberForgotten, Current: 4}},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.want, m.apply(tt.cmd), tt.name)
	}
	assert.Equal(t, "four", m.state.Manifest().Text)
	assert.Equal(t, uint64(len(tests)), m.state.Index(), "refused commands advance the index too")
}

// Guards against a manifest history that grows without bound, and against one that
// drops digests that are needed to recognize a resent manifest.
func TestManifestHistory(t *testing.T) {
	m := newMachine(t)
	for i := range uint64(1100) {
		m.apply(manifest(i+1, fmt.Sprint("text ", i+1)))
	}
	restored := New(0.01)
	data, err := m.state.Snapshot()
	require.NoError(t, err)
	require.NoError(t, restored.Restore(data, start))
	for _, s := range []*State{m.state, restored} {
		h := s.History()
		require.Len(t, h, keptDigests)
		assert.Equal(t, uint64(101), h[0].Number)
		_, ok := s.ManifestText(1100 - keptTexts)
		assert.False(t, ok)
		text, ok := s.ManifestText(1100 - keptTexts + 1)
		assert.True(t, ok)
		assert.Equal(t, "text 1081", text)
		assert.Equal(t, "text 1100", s.Manifest().Text)
	}
	assert.True(t, m.apply(manifest(101, "text 101")).(ManifestResult).Resent)
	assert.Equal(t, NumberForgotten, m.apply(manifest(100, "text 100")).(ManifestResult).Refusal)
}

// Guards against a state that no message carries, so that a new voter is never sent it: the
// number of texts that are kept was bounded, whatever their size.
func TestKeptTextsAreBoundedByBytes(t *testing.T) {
	const size = 1000 << 10 // the text of a request of 1 MiB
	r := rand.NewChaCha8([32]byte{1})
	m := newMachine(t)
	texts := make([]string, 40)
	for i := range texts {
		b := make([]byte, size*3/4)
		_, _ = r.Read(b)
		texts[i] = base64.StdEncoding.EncodeToString(b) // keys and salts do not compress
		m.apply(manifest(uint64(i+1), texts[i]))
	}
	data, err := m.state.Snapshot()
	require.NoError(t, err)
	assert.Less(t, len(data), keptTextBytes+2*size)
	restored := New(0.01)
	require.NoError(t, restored.Restore(data, start))
	for _, s := range []*State{m.state, restored} {
		_, ok := s.ManifestText(39)
		assert.False(t, ok, "one text exceeds the bound")
		assert.Equal(t, texts[39], s.Manifest().Text)
	}
}

// Guards against a change of primary that finishes while the old lease may still be
// in use, and against two leaders of the log that promote servers at the same term.
func TestChangeOfPrimary(t *testing.T) {
	m := newMachine(t)
	grant := GrantLeases{Holder: "x", Incarnation: 1, Leases: []LeaseRequest{{Group: "g", Term: 5, Duration: 2 * time.Second}}}
	refusal := func(cmd Command) Refusal { return m.apply(cmd).(GroupResult).Refusal }
	leaseRefusal := func(cmd Command) Refusal { return m.apply(cmd).(LeaseResult).Outcomes[0].Refusal }
	begin := BeginChange{Group: "g", FromTerm: 5, Reason: "primary lost"}
	finish := FinishChange{Group: "g", FromTerm: 5, Term: 6, Primary: "s2", Start: gwsession.Position{Term: 6, Offset: 9}}

	assert.Equal(t, GroupUnknown, refusal(begin))
	assert.Equal(t, GroupUnknown, leaseRefusal(grant))
	s := StartGroup{Group: "g", Primary: "s1", Term: 5}
	assert.Equal(t, Accepted, refusal(s))
	assert.Equal(t, Accepted, refusal(s), "a resend")
	assert.Equal(t, GroupExists, refusal(StartGroup{Group: "g", Primary: "s2", Term: 5}))
	assert.Equal(t, Accepted, leaseRefusal(grant))
	assert.Equal(t, GroupNotChanging, refusal(finish))

	assert.Equal(t, Accepted, refusal(begin))
	assert.Equal(t, GroupChanging, leaseRefusal(grant), "no renewal during a change")
	assert.Equal(t, LeaseHeld, refusal(finish))
	again := m.apply(begin).(GroupResult)
	assert.Equal(t, uint64(7), again.Group.NextTerm, "each attempt gets its own term")
	assert.Equal(t, ChangeSuperseded, refusal(finish))
	finish.Term, finish.Start.Term = 7, 7
	_, expired := m.state.Clock().Expired("g", m.now.Add(2*time.Second))
	assert.False(t, expired, "the drift bound extends the wait")
	finish.Previous, expired = m.state.Clock().Expired("g", m.now.Add(2100*time.Millisecond))
	assert.True(t, expired)
	assert.Equal(t, Accepted, refusal(finish))
	assert.Equal(t, Accepted, refusal(finish), "a resend")
	assert.Equal(t, TermMismatch, leaseRefusal(grant))
	g, _ := m.state.Group("g")
	assert.Equal(t, []any{"s2", uint64(7), Serving}, []any{g.Primary, g.Term, g.Phase})
	_, leased := m.state.Lease("g")
	assert.False(t, leased)
}

// Guards against a restarted holder, a second holder or a delayed return that takes
// or ends a lease that may still be in use.
func TestLeases(t *testing.T) {
	m := newMachine(t)
	m.apply(StartGroup{Group: "g", Primary: "s1", Term: 1})
	grant := func(holder string, incarnation, previous uint64) LeaseOutcome {
		c := GrantLeases{Holder: holder, Incarnation: incarnation, Leases: []LeaseRequest{{Group: "g", Term: 1, Duration: time.Second, Previous: previous}}}
		return m.apply(c).(LeaseResult).Outcomes[0]
	}
	returnLease := func(incarnation, seq uint64) Refusal {
		c := ReturnLeases{Holder: "x", Incarnation: incarnation, Leases: []LeaseReturn{{Group: "g", Sequence: seq}}}
		return m.apply(c).(LeaseResult).Outcomes[0].Refusal
	}
	tooLong := GrantLeases{Holder: "x", Leases: []LeaseRequest{{Group: "g", Term: 1, Duration: time.Hour}}}
	assert.Equal(t, InvalidArgument, m.apply(tooLong).(LeaseResult).Outcomes[0].Refusal)
	first := grant("x", 1, 0)
	assert.Equal(t, Accepted, first.Refusal)
	assert.Equal(t, LeaseHeld, grant("y", 1, 0).Refusal)
	assert.Equal(t, LeaseHeld, grant("x", 2, 0).Refusal, "another incarnation of the holder")
	second := grant("x", 1, 0)
	assert.Equal(t, Accepted, second.Refusal)
	assert.Equal(t, LeaseHeld, grant("y", 1, first.Lease.Sequence).Refusal, "the lease was renewed meanwhile")
	assert.Equal(t, LeaseNotHeld, returnLease(1, first.Lease.Sequence), "a delayed return")
	assert.Equal(t, LeaseNotHeld, returnLease(2, second.Lease.Sequence), "another incarnation of the holder")
	assert.Equal(t, Accepted, returnLease(1, second.Lease.Sequence))
	third := grant("y", 1, 0)
	assert.Equal(t, Accepted, third.Refusal)
	assert.Equal(t, Accepted, grant("x", 2, third.Lease.Sequence).Refusal, "the leader saw the lease expire")
}

// Guards against leases that expire too early or never after a renewal, a restore
// or a change of the log's leader.
func TestLeaseClock(t *testing.T) {
	m := newMachine(t)
	m.apply(StartGroup{Group: "g", Primary: "s1", Term: 1})
	grant := GrantLeases{Holder: "x", Leases: []LeaseRequest{{Group: "g", Term: 1, Duration: time.Second}}}
	restarts := []func(){
		func() { m.apply(grant) },
		func() { m.apply(grant) },
		func() { m.state.Clock().RestartAll(m.now) },
		func() {
			data, err := m.state.Snapshot()
			require.NoError(t, err)
			require.NoError(t, m.state.Restore(data, m.now))
		},
	}
	for i, restart := range restarts {
		m.now = m.now.Add(900 * time.Millisecond)
		restart()
		lease, _ := m.state.Lease("g")
		_, expired := m.state.Clock().Expired("g", m.now.Add(1010*time.Millisecond))
		assert.False(t, expired, "step %d", i)
		seq, expired := m.state.Clock().Expired("g", m.now.Add(1011*time.Millisecond))
		assert.True(t, expired, "step %d", i)
		assert.Equal(t, lease.Sequence, seq)
	}
}

// Guards against commands that change when they are encoded and decoded, and against
// voters whose states differ after an unknown command.
func TestCodec(t *testing.T) {
	commands := []Command{
		manifest(1, "text"),
		StartGroup{Group: "g", Primary: "s", Term: 1, Start: gwsession.Position{Term: 1, Offset: 2}},
		BeginChange{Group: "g", FromTerm: 1, Reason: "r"},
		SetCopies{Group: "g", Term: 1, Copies: []CopyRef{{Server: "p", Born: 3}}},
		NamePromotion{Group: "g", Attempt: 2, Server: "q"},
		NamePromotion{Group: "g", Attempt: 2, Server: "q", Fence: 3, Holder: "h", Previous: 9},
		FinishChange{Group: "g", FromTerm: 1, Term: 2, Primary: "s", Start: gwsession.Position{Term: 2}, Previous: 3},
		GrantLeases{Holder: "h", Incarnation: 4, Leases: []LeaseRequest{{Group: "g", Term: 1, Duration: time.Second, Previous: 2}}},
		ReturnLeases{Holder: "h", Incarnation: 4, Leases: []LeaseReturn{{Group: "g", Sequence: 9}}},
	}
	commands = append(commands, Batch{Commands: commands})
	for _, want := range commands {
		data, err := Encode(want, start)
		require.NoError(t, err)
		got, stamp, err := Decode(data)
		require.NoError(t, err)
		assert.Equal(t, want, got)
		assert.True(t, stamp.Equal(start))
	}
	_, err := Encode(Batch{Commands: []Command{Batch{}}}, start)
	require.Error(t, err)
	_, err = Encode(BeginChange{Group: "g\xff"}, start)
	require.Error(t, err, "text that voters could not decode")
	m := newMachine(t)
	assert.IsType(t, Unreadable{}, m.state.Apply(1, []byte{0xa1, 0x01, 0x63}, start))
	assert.Equal(t, Repeated{Applied: 1}, m.state.Apply(1, nil, start))
}

func drawCommand(t *rapid.T) Command {
	group := rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group")
	holder := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "holder")
	small := func(label string) uint64 { return rapid.Uint64Range(0, 4).Draw(t, label) }
	switch rapid.IntRange(0, 6).Draw(t, "command") {
	case 0:
		return manifest(small("number"), holder)
	case 1:
		return StartGroup{Group: group, Primary: holder, Term: small("term")}
	case 2:
		return BeginChange{Group: group, FromTerm: small("from")}
	case 3:
		return FinishChange{Group: group, FromTerm: small("from"), Term: small("term"), Primary: holder, Previous: rapid.Uint64Range(0, 60).Draw(t, "previous")}
	case 4, 5:
		return GrantLeases{Holder: holder, Incarnation: small("incarnation"), Leases: []LeaseRequest{
			{Group: "g", Term: small("term"), Duration: time.Second, Previous: rapid.Uint64Range(0, 60).Draw(t, "previous")},
			{Group: "h", Term: small("term"), Duration: time.Second},
		}}
	default:
		return ReturnLeases{Holder: holder, Incarnation: small("incarnation"), Leases: []LeaseReturn{{Group: group, Sequence: rapid.Uint64Range(0, 60).Draw(t, "sequence")}}}
	}
}

// Guards against a state that depends on a local clock or on a restore from a snapshot.
func TestDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(0.01), New(0.5)
		for i := range uint64(60) {
			cmd := drawCommand(t)
			if rapid.IntRange(0, 5).Draw(t, "batch") == 0 {
				cmd = Batch{Commands: []Command{cmd, drawCommand(t)}}
			}
			data, err := Encode(cmd, start)
			require.NoError(t, err)
			later := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "later")) * time.Millisecond
			require.Equal(t, a.Apply(i+1, data, start), b.Apply(i+1, data, start.Add(later)))
			x, err := a.Snapshot()
			require.NoError(t, err)
			y, err := b.Snapshot()
			require.NoError(t, err)
			require.Equal(t, x, y)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				b = New(0)
				require.NoError(t, b.Restore(x, start))
			}
		}
	})
}

// Guards against an older or changed manifest that replaces the current one where any
// later number is accepted, and against a resent manifest that is refused.
func TestPublishAnyLater(t *testing.T) {
	s := New(0)
	publish := func(index, number uint64, text string) ManifestResult {
		sum := sha256.Sum256([]byte(text))
		data, err := Encode(PublishManifest{Number: number, Digest: hex.EncodeToString(sum[:]), Text: text, AnyLater: true}, time.Unix(1, 0))
		require.NoError(t, err)
		res, ok := s.Apply(index, data, time.Unix(1, 0)).(ManifestResult)
		require.True(t, ok)
		return res
	}
	tests := []struct {
		number   uint64
		text     string
		wantText string
	}{
		{7, "seven", "seven"},
		{20, "twenty", "twenty"},
		{12, "twelve", "twenty"},
		{20, "other", "twenty"},
		{20, "twenty", "twenty"},
		{21, "last", "last"},
	}
	for i, tt := range tests {
		res := publish(uint64(i+1), tt.number, tt.text)
		assert.Equal(t, Accepted, res.Refusal, "number %d is acknowledged", tt.number)
		assert.Equal(t, tt.wantText, s.Manifest().Text)
	}
}

// Guards against a record of copies or of a promotion that belongs to an earlier term or
// attempt, that a new leader does not get with a snapshot, or that outlives its change.
func TestCopiesAndPromotion(t *testing.T) {
	s := New(0)
	index := uint64(0)
	apply := func(cmd Command) Refusal {
		index++
		data, err := Encode(cmd, time.Unix(1, 0))
		require.NoError(t, err)
		return s.Apply(index, data, time.Unix(1, 0)).(GroupResult).Refusal
	}
	copies := []CopyRef{{Server: "a", Born: 7, Address: "a:1"}, {Server: "b", Leaving: true}}
	steps := []struct {
		cmd       Command
		want      Refusal
		copies    []CopyRef
		promoting string
		wait      string
	}{
		{SetCopies{Group: "g", Term: 1, Copies: copies}, GroupUnknown, nil, "", ""},
		{StartGroup{Group: "g", Primary: "a", Term: 1}, Accepted, nil, "", ""},
		{SetCopies{Group: "g", Term: 1, Copies: copies}, Accepted, copies, "", ""},
		{SetCopies{Group: "g", Term: 2}, TermMismatch, copies, "", ""},
		{NamePromotion{Group: "g", Attempt: 1, Server: "b"}, GroupNotChanging, copies, "", ""},
		{BeginChange{Group: "g", FromTerm: 1}, Accepted, copies, "", ""},
		{SetCopies{Group: "g", Term: 1}, GroupChanging, copies, "", ""},
		{NamePromotion{Group: "g", Attempt: 2, Server: "b"}, Accepted, copies, "b", ""},
		{BeginChange{Group: "g", FromTerm: 1}, Accepted, copies, "b", ""},
		{NamePromotion{Group: "g", Attempt: 2}, ChangeSuperseded, copies, "b", ""},
		{NamePromotion{Group: "g", Attempt: 3}, Accepted, copies, "", ""},
		{NamePromotion{Group: "g", Attempt: 3, Server: "b"}, Accepted, copies, "b", ""},
		{SetWait{Group: "g", Term: 2, Reason: "a has left"}, TermMismatch, copies, "b", ""},
		{SetWait{Group: "g", Term: 1, Reason: "a has left"}, Accepted, copies, "b", "a has left"},
		{BeginChange{Group: "g", FromTerm: 1}, Accepted, copies, "b", "a has left"},
		{SetWait{Group: "g", Term: 1}, Accepted, copies, "b", ""},
		{SetWait{Group: "g", Term: 1, Reason: "a has left"}, Accepted, copies, "b", "a has left"},
		{FinishChange{Group: "g", FromTerm: 1, Term: 4, Primary: "b", Copies: copies[1:]}, Accepted, copies[1:], "", ""},
		{SetWait{Group: "g", Term: 4, Reason: "a has left"}, GroupNotChanging, copies[1:], "", ""},
	}
	for i, tt := range steps {
		assert.Equal(t, tt.want, apply(tt.cmd), "step %d", i)
		data, err := s.Snapshot()
		require.NoError(t, err)
		s = New(0)
		require.NoError(t, s.Restore(data, time.Unix(1, 0)))
		g, _ := s.Group("g")
		assert.Equal(t, tt.copies, g.Copies, "step %d", i)
		assert.Equal(t, tt.promoting, g.Promoting, "step %d", i)
		assert.Equal(t, tt.wait, g.Wait, "step %d", i)
	}
}

// Guards against a proof that outlives the change of primary it was found for, or that a
// snapshot loses.
func TestProofOfChange(t *testing.T) {
	s := New(0)
	proof := gwsession.Position{Term: 1, Offset: 9}
	steps := []struct {
		cmd  Command
		want Refusal
		has  bool
	}{
		{SetProof{Group: "g", Term: 1, Proof: proof}, GroupUnknown, false},
		{StartGroup{Group: "g", Primary: "a", Term: 1}, Accepted, false},
		{SetProof{Group: "g", Term: 1, Proof: proof}, GroupNotChanging, false},
		{BeginChange{Group: "g", FromTerm: 1}, Accepted, false},
		{SetProof{Group: "g", Term: 2, Proof: proof}, TermMismatch, false},
		{SetProof{Group: "g", Term: 1, Proof: proof}, Accepted, true},
		{BeginChange{Group: "g", FromTerm: 1}, Accepted, true},
		{FinishChange{Group: "g", FromTerm: 1, Term: 3, Primary: "b"}, Accepted, false},
		{BeginChange{Group: "g", FromTerm: 3}, Accepted, false},
	}
	for i, tt := range steps {
		data, err := Encode(tt.cmd, time.Unix(1, 0))
		require.NoError(t, err)
		assert.Equal(t, tt.want, s.Apply(uint64(i+1), data, time.Unix(1, 0)).(GroupResult).Refusal, "step %d", i)
		data, err = s.Snapshot()
		require.NoError(t, err)
		s = New(0)
		require.NoError(t, s.Restore(data, time.Unix(1, 0)))
		g, _ := s.Group("g")
		assert.Equal(t, tt.has, g.Proof == proof, "step %d", i)
	}
}
