package gwfilter

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// countedQuota admits a number of operations and then refuses with err.
type countedQuota struct {
	left, admitted, returned int
	err                      error
}

func (q *countedQuota) Admit(context.Context, string) error {
	if q.left == 0 {
		return q.err
	}
	q.left--
	q.admitted++
	return nil
}

func (q *countedQuota) Return(string) { q.returned++ }

// Guards against operations that a customer's limit does not count: one attempt for each that
// may have run; and against counts of attempts that certainly did not run.
func TestQuotaCountsAttemptsThatMayHaveRun(t *testing.T) {
	over := &QuotaError{RetryAfter: 250 * time.Millisecond}
	answered, full, broken := gwoutcome.Answered, gwoutcome.QueueFull, gwoutcome.BrokenAfterSend
	tests := []struct {
		name     string
		customer string
		limit    int
		err      error
		events   []gwoutcome.Event // of the attempts
		want     gwoutcome.Event
		admitted int
		returned int
		text     string
	}{
		{"answered", "c", 9, over, []gwoutcome.Event{answered}, answered, 1, 0, ""},
		{"refused, then answered", "c", 9, over, []gwoutcome.Event{full, answered}, answered, 1, 0, ""},
		{"refused by all", "c", 9, over, []gwoutcome.Event{full, gwoutcome.NotEncodable}, gwoutcome.NotEncodable, 1, 1, ""},
		{"may have run, then answered", "c", 9, over, []gwoutcome.Event{broken, answered}, answered, 2, 0, ""},
		{"may have run, then refused", "c", 9, over, []gwoutcome.Event{broken, gwoutcome.NotEncodable}, gwoutcome.NotEncodable, 2, 1, ""},
		{"may have run, then above the limit", "c", 1, over, []gwoutcome.Event{broken}, broken, 1, 0, ""},
		{"above the limit", "c", 0, over, nil, gwoutcome.OverQuota, 0, 0, "it has capacity in 250 ms, at "},
		{"limit not known", "c", 0, errors.New("agent 10.0.0.1"), nil, gwoutcome.OverQuota, 0, 0, "the limit of the customer could not be checked"},
		{"no customer", "", 0, over, []gwoutcome.Event{answered}, answered, 0, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := &countedQuota{left: tt.limit, err: tt.err}
			clock := clockwork.NewFakeClock()
			e := &Entry{
				Options: Options{Clock: clock, Log: slog.New(slog.DiscardHandler), Views: gwcontrol.NewViews(gwcontrol.ManifestFormat{}), Quota: q},
				rng:     rand.New(rand.NewPCG(1, 1)), budget: gwoutcome.NewBudget(retryRatio, retryBurst),
			}
			r := &request{
				session: &session{entry: e, customer: tt.customer}, executes: true, w: &answerBuffer{}, kind: stmtRead,
				started: clock.Now(), deadline: clock.Now().Add(time.Minute), rules: rules{class: gwmanifest.Class{Retry: true}},
			}
			attempts := 0
			res := chain(func(context.Context, *request) gwowner.Result {
				attempts++
				return gwowner.Result{Event: tt.events[attempts-1], TxStatus: 'I'}
			}, e.admit, e.retry)(t.Context(), r)
			assert.Equal(t, tt.want, res.Event)
			assert.Len(t, tt.events, attempts)
			assert.Equal(t, tt.admitted, q.admitted, "admitted")
			assert.Equal(t, tt.returned, q.returned, "returned")
			assert.Contains(t, res.Message, tt.text)
		})
	}
}

// Guards against a request that waited for a change of primary and is counted again, and against
// returns of counts whose age the quota cannot judge.
func TestQuotaOfRequestThatWaited(t *testing.T) {
	tests := []struct {
		waited   time.Duration
		returned int
	}{
		{0, 1},
		{maxReturnedCount, 1},
		{maxReturnedCount + 1, 0},
		{8 * time.Second, 0},
	}
	for _, tt := range tests {
		q := &countedQuota{left: 9}
		clock := clockwork.NewFakeClock()
		e := &Entry{Options: Options{Clock: clock, Quota: q}}
		r := &request{session: &session{customer: "c"}, executes: true}
		assert.NoError(t, e.takeQuota(t.Context(), r))
		clock.Advance(tt.waited)
		assert.NoError(t, e.takeQuota(t.Context(), r))
		e.returnQuota(r)
		assert.Equal(t, 1, q.admitted, "after %v", tt.waited)
		assert.Equal(t, tt.returned, q.returned, "after %v", tt.waited)
	}
}

// Guards against a transaction of which each statement counts as an operation.
func TestQuotaCountsTransactionOnce(t *testing.T) {
	q := &countedQuota{}
	e := &Entry{Options: Options{Quota: q}}
	r := &request{session: &session{entry: e, customer: "c", transaction: &fakeUpstream{}}, executes: true}
	res := e.admit(func(context.Context, *request) gwowner.Result { return gwowner.Result{Event: gwoutcome.Answered} })(t.Context(), r)
	assert.Equal(t, gwoutcome.Answered, res.Event)
	assert.Zero(t, q.admitted)
}

// fakeUpstream records the requests that are sent to an owner and answers them.
type fakeUpstream struct {
	requests chan gwowner.Request
	closed   chan struct{}
}

func (f *fakeUpstream) Exec(_ context.Context, req *gwowner.Request, _ writer) gwowner.Result {
	f.requests <- *req
	return gwowner.Result{Event: gwoutcome.Answered, TxStatus: 'I'}
}
func (f *fakeUpstream) Close()        { close(f.closed) }
func (f *fakeUpstream) Owner() string { return "o" }
