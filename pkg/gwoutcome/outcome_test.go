package gwoutcome

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/pkg/gwsession"
)

var testNow = time.Unix(1_800_000_000, 0)

// Guards against reporting a request that may have run as not run and the other way
// round, and against decisions that depend on each other.
func TestDecisions(t *testing.T) {
	write := Request{Remaining: time.Second, Attempts: 1}
	read := Request{Read: true, Repeatable: true, Remaining: time.Second, Attempts: 1}
	tests := []struct {
		event       Event
		wantOutcome Outcome
		wantState   string
		wantWrite   Retry
		wantRead    Retry
		wantFailure bool
	}{
		{Answered, Done{}, SQLStateConnectionUnknown, Stop, Stop, false},
		{DialFailed, NotRun{"dialFailed"}, SQLStateNotRun, Refresh, Elsewhere, true},
		{QueueFull, NotRun{"queueFull"}, SQLStateNotRun, Stop, Elsewhere, false},
		{Expired, NotRun{"expired"}, SQLStateNotRun, Stop, Stop, false},
		{PeerUnreachable, NotRun{"peerUnreachable"}, SQLStateNotRun, Refresh, Elsewhere, false},
		{NotOwner, NotRun{"notOwner"}, SQLStateNotRun, Refresh, Elsewhere, false},
		{TooStale, NotRun{"tooStale"}, SQLStateNotRun, Stop, Elsewhere, false},
		{ServerReadOnly, NotRun{"serverReadOnly"}, SQLStateNotRun, Refresh, Stop, false},
		{ServerRefused, NotRun{"serverRefused"}, SQLStateNotRun, Refresh, Elsewhere, true},
		{BrokenBeforeSend, NotRun{"brokenBeforeSend"}, SQLStateNotRun, Refresh, Elsewhere, true},
		{BrokenAfterSend, Unknown{"brokenAfterSend"}, SQLStateConnectionUnknown, Stop, Elsewhere, true},
		{PeerBroken, Unknown{"peerBroken"}, SQLStateConnectionUnknown, Stop, Elsewhere, false},
		{TimedOut, Unknown{"timedOut"}, SQLStateConnectionUnknown, Stop, Stop, true},
		{NoLease, NotRun{"noLease"}, SQLStateNotRun, Refresh, Stop, false},
		{LeaseLost, Unknown{"leaseLost"}, SQLStateCompletionUnknown, Stop, Stop, false},
		{Unconfirmed, Unknown{"unconfirmed"}, SQLStateCompletionUnknown, Stop, Stop, false},
		{FreshnessUnknown, NotRun{"freshnessUnknown"}, SQLStateNotRun, Stop, Elsewhere, false},
		{NotEncodable, NotRun{"notEncodable"}, SQLStateNotRun, Stop, Stop, false},
		{ReplyUnreadable, Unknown{"replyUnreadable"}, SQLStateConnectionUnknown, Stop, Elsewhere, false},
		{SessionNotSet, NotRun{"sessionNotSet"}, SQLStateNotRun, Stop, Stop, false},
		{OverQuota, NotRun{"overQuota"}, SQLStateNotRun, Stop, Stop, false},
		{AnswerLost, Unknown{"answerLost"}, SQLStateConnectionUnknown, Stop, Elsewhere, true},
	}
	for _, tt := range tests {
		t.Run(tt.event.String(), func(t *testing.T) {
			assert.Equal(t, tt.wantOutcome, Of(tt.event, gwsession.Position{}))
			assert.Equal(t, tt.wantState, SQLState(tt.event))
			assert.Equal(t, tt.wantWrite, ShouldRetry(tt.event, write), "write")
			assert.Equal(t, tt.wantRead, ShouldRetry(tt.event, read), "read")
			assert.Equal(t, tt.wantFailure, CountsAsFailure(tt.event))
		})
	}
}

// Guards against sending a write twice when its first attempt may have run.
func TestWriteThatMayHaveRunIsNeverRetried(t *testing.T) {
	for e := Answered; int(e) < len(decisions); e++ {
		if decisions[e].ran == ranNo {
			continue
		}
		got := ShouldRetry(e, Request{Remaining: time.Second, Repeatable: true})
		assert.Equal(t, Stop, got, "event %s", e)
	}
}

// Guards against reporting an unknown outcome although the key can decide it.
func TestKeyedRequestIsSentAgain(t *testing.T) {
	for _, e := range []Event{BrokenAfterSend, PeerBroken, TimedOut, LeaseLost, Unconfirmed} {
		got := ShouldRetry(e, Request{Keyed: true, Remaining: time.Second})
		assert.Equal(t, Refresh, got, "event %s", e)
	}
}

// Guards against a second answer after part of the first has reached the caller.
func TestRelayedAnswerIsNeverRetried(t *testing.T) {
	got := ShouldRetry(PeerBroken, Request{Read: true, Repeatable: true, Relayed: true, Remaining: time.Second})
	assert.Equal(t, Stop, got)
}

// Guards against ejecting a server because of load, and against never readmitting it.
func TestHealth(t *testing.T) {
	var h Health
	for range 3 * FailuresToEject {
		assert.False(t, h.Observe(QueueFull, testNow))
	}
	for range FailuresToEject - 1 {
		assert.False(t, h.Observe(BrokenAfterSend, testNow))
	}
	assert.True(t, h.Observe(BrokenAfterSend, testNow))
	assert.True(t, h.Ejected(testNow))
	assert.False(t, h.Ejected(testNow.Add(maxEjection)))
	h.Observe(Answered, testNow)
	assert.False(t, h.Ejected(testNow))
}

// Guards against retries that multiply the load while every attempt fails.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget(0.1, 10)
	retries := 0
	for range 1000 {
		b.RecordRequest()
		if b.Take() {
			retries++
		}
	}
	assert.LessOrEqual(t, retries, 110)
	assert.GreaterOrEqual(t, retries, 99)
}

// Guards against running a request twice because its key was looked up too early.
func TestResolve(t *testing.T) {
	tests := []struct {
		name   string
		lookup KeyLookup
		want   Outcome
	}{
		{"found", KeyLookup{Found: true, Term: 3, LeaseHeld: true}, Done{}},
		{"absent under the same term", KeyLookup{Term: 3, LeaseHeld: true}, Unknown{"the first attempt may still be running"}},
		{"absent under a later term", KeyLookup{Term: 4, LeaseHeld: true}, NotRun{"the key is absent under a later term"}},
		{"no lease", KeyLookup{Found: true, Term: 4}, Unknown{"the primary's lease was not held"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.want, Resolve(3, tt.lookup)) })
	}
}

// Guards against keys that could break out of the statement that records them, and against
// keys from text in which the server sees no comment at the start, or a longer one.
func TestKeyOf(t *testing.T) {
	tests := []struct {
		sql, want string
		ok        bool
	}{
		{"/* requestKey=visit-17 */ insert into visit values (1)", "visit-17", true},
		{"insert into visit values (1)", "", false},
		{"/* requestKey=a'b */ select 1", "", false},
		{"/* requestKey= */ select 1", "", false},
		{"/* requestKey=x", "", false},
		{"\v\f/* requestKey=x\n*/select 1", "x", true},
		{"/* requestKey=x/* */ select 1", "", false},
		{"/* requestKey=x/**/y */ select 1", "x/**/y", true},
		{"/* a */ /* requestKey=x */ select 1", "", false},
		{"-- a\n/* requestKey=x */ select 1", "", false},
		{"select '/* requestKey=x */'", "", false},
		{"\u00a0/* requestKey=x */ select 1", "", false},
		{"/* requestKey=x\u00a0*/ select 1", "", false},
	}
	for _, tt := range tests {
		got, ok := KeyOf(tt.sql)
		assert.Equal(t, tt.ok, ok, "sql %q", tt.sql)
		assert.Equal(t, tt.want, got, "sql %q", tt.sql)
	}
}

// Guards against a row that no server's answer can carry and that is read at each of them, and
// against an ejection of servers for it.
func TestUnreadableReplyIsReadTwiceAtMost(t *testing.T) {
	read := Request{Read: true, Repeatable: true, Remaining: time.Second}
	for attempts, want := range []Retry{Elsewhere, Elsewhere, Elsewhere, Stop, Stop} {
		read.Attempts = attempts
		assert.Equal(t, want, ShouldRetry(ReplyUnreadable, read), "%d attempts", attempts)
	}
	var h Health
	for range 3 * FailuresToEject {
		assert.False(t, h.Observe(ReplyUnreadable, testNow))
	}
	assert.True(t, CountsAsAttempt(ReplyUnreadable))
}
