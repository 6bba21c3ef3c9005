package gwfilter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwstatement"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// wordCodec encodes the answers of an instance as words.
type wordCodec struct{ stateCodec }

func (wordCodec) AppendFailure(b []byte, f gwstatement.Failure) []byte {
	names := map[gwstatement.Code]string{gwstatement.NotAuthenticated: "noauth", gwstatement.Aborted: "aborted", gwstatement.NoDatabase: "nodb", gwstatement.Busy: "busy"}
	return fmt.Append(b, names[f.Code], " ")
}

func (wordCodec) AppendReady(b []byte, status byte) []byte {
	return fmt.Append(b, " ready ", string(status))
}
func (wordCodec) RollbackText() string { return "ROLLBACK" }

// recordedObserver records the customers of refused callers.
type recordedObserver struct {
	mu      sync.Mutex
	refused []string
}

func (*recordedObserver) Observe(Observation) {}
func (o *recordedObserver) NotAuthenticated(customer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused = append(o.refused, customer)
}

// keyedEntry is an entry with a manifest, on which each statement is answered. It records the
// customers of the requests.
type keyedEntry struct {
	*Entry
	observer recordedObserver
	log      bytes.Buffer
	number   uint64
	// transaction means that the requests open a transaction at up.
	transaction bool
	up          *fakeUpstream
	customers   []string
}

func newKeyedEntry(t *testing.T) *keyedEntry {
	k := &keyedEntry{up: &fakeUpstream{requests: make(chan gwowner.Request, 1), closed: make(chan struct{})}}
	parse := func(_ string, text []byte) (*gwmanifest.Manifest, error) {
		m := &gwmanifest.Manifest{}
		err := json.Unmarshal(text, m)
		return m.WithText(text), err
	}
	clock := clockwork.NewRealClock()
	k.Entry = &Entry{
		Options: Options{
			Clock: clock, Log: slog.New(slog.NewJSONHandler(&k.log, nil)), Observer: &k.observer,
			Views: gwcontrol.NewViews(gwcontrol.ManifestFormat{Parse: parse, AnyLater: true}),
		},
		refusals: rate.NewLimiter(1, 2), newest: newest{clock: clock},
	}
	k.chain = k.initRequest(func(_ context.Context, r *request) gwowner.Result {
		k.customers = append(k.customers, r.exec.Customer)
		if k.transaction {
			r.session.transaction = k.up
			return gwowner.Result{Event: gwoutcome.Answered, TxStatus: 'T'}
		}
		return gwowner.Result{Event: gwoutcome.Answered, TxStatus: 'I'}
	})
	return k
}

// apply makes a manifest with customers, by their names and keys, the current one; nil for none.
func (k *keyedEntry) apply(t require.TestingT, customers map[string]string) {
	m := gwmanifest.Manifest{
		Databases: []gwmanifest.Database{{Name: "db", Groups: []gwmanifest.Group{{Name: "g"}}}},
		Classes:   []gwmanifest.Class{{Name: "closed"}, {Name: "open", Public: true}},
		Callers: []gwmanifest.Caller{
			{Name: "closed", Class: "closed", Databases: []string{"db"}}, {Name: "open", Class: "open", Databases: []string{"db"}},
		},
	}
	if customers != nil {
		m.Customers = []gwmanifest.Customer{}
	}
	for name, keys := range customers {
		m.Customers = append(m.Customers, gwmanifest.Customer{Name: name, Keys: strings.Fields(keys)})
	}
	text, err := json.Marshal(m)
	require.NoError(t, err)
	k.number++
	_, err = k.Views.Apply(gwcontrol.ViewDelta{Index: k.number, Number: k.number, Text: text})
	require.NoError(t, err)
}

func (k *keyedEntry) open(t *testing.T, database, key string) (gwstatement.Session, string) {
	s, f := StatementHandler{Entry: k.Entry, Codec: wordCodec{}}.Open(t.Context(), gwstatement.Startup{Database: database, Key: key})
	if f != nil {
		return nil, strings.TrimSpace(string(wordCodec{}.AppendFailure(nil, *f)))
	}
	return s, ""
}

func ask(t *testing.T, s gwstatement.Session, st gwstatement.Statement) string {
	return string(s.Handle(t.Context(), gwstatement.Query{ID: "1", Text: "x", Statement: st}, nil))
}

// Guards against a caller that is let in without a known key, against one that is refused where no
// key is needed, and against requests under the name of another customer.
func TestAccessByKey(t *testing.T) {
	two := map[string]string{"a": "ka1 ka2", "b": "kb", "c": ""}
	tests := []struct {
		name          string
		customers     map[string]string
		database, key string
		refused       string
		customer      string
	}{
		{"a known key", two, "closed", "ka2", "", "a"},
		{"another customer's key", two, "closed", "kb", "", "b"},
		{"an unknown key", two, "closed", "k", "noauth", ""},
		{"no key", two, "closed", "", "noauth", ""},
		{"a customer's name", two, "closed", "a", "noauth", ""},
		{"public without a key", two, "open", "", "", ""},
		{"public with an unknown key", two, "open", "k", "", ""},
		{"public with a known key", two, "open", "kb", "", "b"},
		{"unknown database", two, "other", "kb", "nodb", ""},
		{"an empty list", map[string]string{}, "closed", "ka1", "noauth", ""},
		{"an empty list, public", map[string]string{}, "open", "ka1", "", ""},
		{"no customers", nil, "closed", "u1", "", ""},
		{"no customers, no key", nil, "closed", "", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newKeyedEntry(t)
			k.apply(t, tt.customers)
			s, refused := k.open(t, tt.database, tt.key)
			require.Equal(t, tt.refused, refused)
			if refused != "" {
				return
			}
			assert.Equal(t, " ready I", ask(t, s, gwstatement.Read{}))
			assert.Equal(t, []string{tt.customer}, k.customers)
			assert.False(t, s.Ended())
			assert.Empty(t, k.observer.refused)
		})
	}
}

// Guards against a withdrawn key that an open session or transaction goes on with, and against a
// session or transaction that ends although its caller has access.
func TestAccessChangesUnderOpenSession(t *testing.T) {
	a := map[string]string{"a": "ka"}
	tests := []struct {
		name          string
		before, after map[string]string
		database      string
		transaction   bool
		statement     gwstatement.Statement
		want          string
		ended         bool
		customer      string // of the request after the change
	}{
		{"withdrawn, read", a, map[string]string{"a": "new"}, "closed", false, gwstatement.Read{}, "noauth ", true, ""},
		{"withdrawn, begin", a, map[string]string{"a": ""}, "closed", false, gwstatement.Begin{}, "noauth ", true, ""},
		{"customer withdrawn, write", a, map[string]string{"b": "kb"}, "closed", false, gwstatement.Write{}, "noauth ", true, ""},
		{"withdrawn in a transaction, read", a, map[string]string{"a": "new"}, "closed", true, gwstatement.Read{}, "aborted  ready I", true, ""},
		{"withdrawn in a transaction, commit", a, map[string]string{"a": "new"}, "closed", true, gwstatement.Commit{}, "aborted  ready I", true, ""},
		{"withdrawn in a transaction, rollback", a, map[string]string{"a": "new"}, "closed", true, gwstatement.Rollback{}, "aborted  ready I", true, ""},
		{"withdrawn in a transaction, set", a, map[string]string{}, "closed", true, gwstatement.Set{Name: "n"}, "aborted  ready I", true, ""},
		{"moved to another customer", a, map[string]string{"b": "ka"}, "closed", false, gwstatement.Read{}, " ready I", false, "b"},
		{"moved to another customer in a transaction", a, map[string]string{"b": "ka"}, "closed", true, gwstatement.Read{}, "aborted  ready I", true, ""},
		{"another key withdrawn", map[string]string{"a": "ka other"}, a, "closed", false, gwstatement.Read{}, " ready I", false, "a"},
		{"another key withdrawn in a transaction", map[string]string{"a": "ka other"}, a, "closed", true, gwstatement.Read{}, " ready T", false, "a"},
		{"keys no longer needed, in a transaction", a, nil, "closed", true, gwstatement.Read{}, " ready T", false, "a"},
		{"keys needed from now on", nil, a, "closed", false, gwstatement.Read{}, " ready I", false, "a"},
		{"keys needed from now on, in a transaction", nil, a, "closed", true, gwstatement.Read{}, " ready T", false, ""},
		{"keys needed from now on and not known", nil, map[string]string{"b": "kb"}, "closed", true, gwstatement.Read{}, "aborted  ready I", true, ""},
		{"withdrawn, public", a, map[string]string{"a": ""}, "open", false, gwstatement.Read{}, " ready I", false, ""},
		{"withdrawn in a public transaction", a, map[string]string{"a": ""}, "open", true, gwstatement.Read{}, " ready T", false, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newKeyedEntry(t)
			k.transaction = tt.transaction
			k.apply(t, tt.before)
			s, refused := k.open(t, tt.database, "ka")
			require.Empty(t, refused)
			if tt.transaction {
				ask(t, s, gwstatement.Begin{})
			}
			ask(t, s, gwstatement.Read{})
			k.apply(t, tt.after)
			before := len(k.customers)
			assert.Equal(t, tt.want, ask(t, s, tt.statement))
			assert.Equal(t, tt.ended, s.Ended())
			if !tt.ended {
				assert.Equal(t, []string{tt.customer}, k.customers[before:])
				assert.Empty(t, k.observer.refused)
				return
			}
			assert.Len(t, k.customers, before, "nothing is sent for the caller")
			assert.Len(t, k.observer.refused, 1)
			if tt.transaction {
				rollback := <-k.up.requests
				assert.Equal(t, "ROLLBACK", rollback.Statement.Text)
				assert.Equal(t, map[bool]string{true: "a"}[tt.before != nil], rollback.Customer)
				<-k.up.closed
			}
		})
	}
}

// Guards against a key that is refused by an instance that is behind, against a request for the
// newest manifest with each unknown key, and against callers that wait for long.
func TestUnknownKeyLooksAtNewestManifest(t *testing.T) {
	k := newKeyedEntry(t)
	k.apply(t, map[string]string{"a": "ka"})
	pulls := 0
	k.newest.pull = func(context.Context) error {
		pulls++
		if pulls == 1 {
			k.apply(t, map[string]string{"a": "ka", "b": "kb"})
		}
		return nil
	}
	_, refused := k.open(t, "closed", "ka")
	assert.Empty(t, refused)
	assert.Zero(t, pulls, "a known key needs no request")
	s, refused := k.open(t, "closed", "kb")
	require.Empty(t, refused)
	assert.Equal(t, " ready I", ask(t, s, gwstatement.Read{}))
	assert.Equal(t, []string{"b"}, k.customers)
	started := time.Now()
	var wg sync.WaitGroup
	for range 1000 {
		wg.Go(func() {
			_, refused := k.open(t, "closed", "guessed-key")
			assert.Equal(t, "noauth", refused)
		})
	}
	wg.Wait()
	took := time.Since(started)
	assert.LessOrEqual(t, pulls, 2+int(took/newestInterval))
	assert.Less(t, took, newestInterval+newestTimeout)
	assert.Len(t, k.observer.refused, 1000)
	assert.LessOrEqual(t, strings.Count(k.log.String(), "\n"), 3+int(took/time.Second), "log lines are bounded")
	assert.NotContains(t, k.log.String(), "guessed-key")
}

// Guards against callers that wait without bound for a leader that does not answer.
func TestNewestManifestIsWaitedForShortly(t *testing.T) {
	n := newest{clock: clockwork.NewRealClock(), pull: func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}}
	started := time.Now()
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { n.wait(t.Context()) })
	}
	wg.Wait()
	assert.Less(t, time.Since(started), 2*newestTimeout+newestInterval)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	n.wait(ctx)
}

// Guards against a withdrawn key that an instance without contact to the control instances accepts
// for longer than Options.KeysValid, and against callers without keys that such an instance refuses.
func TestKeysAreTrustedForBoundedTime(t *testing.T) {
	a := map[string]string{"a": "ka"}
	tests := []struct {
		name        string
		customers   map[string]string
		database    string
		transaction bool
		reachable   bool // after the session has begun
		want        string
	}{
		{"confirmed again", a, "closed", false, true, " ready I"},
		{"confirmed again, in a transaction", a, "closed", true, true, " ready T"},
		{"not confirmed", a, "closed", false, false, "busy  ready I"},
		{"not confirmed, in a transaction", a, "closed", true, false, "aborted  ready I"},
		{"public", a, "open", false, false, " ready I"},
		{"no customers", nil, "closed", false, false, " ready I"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			k := newKeyedEntry(t)
			k.KeysValid = newestInterval
			k.transaction = tt.transaction
			k.apply(t, tt.customers)
			var unreachable atomic.Bool
			k.newest.pull = func(context.Context) error {
				if unreachable.Load() {
					return errors.New("no voter is known")
				}
				return nil
			}
			s, refused := k.open(t, tt.database, "ka")
			require.Empty(t, refused)
			if tt.transaction {
				ask(t, s, gwstatement.Begin{})
			}
			ask(t, s, gwstatement.Read{})
			unreachable.Store(!tt.reachable)
			k.LeaderLost = unreachable.Load
			time.Sleep(k.KeysValid)
			before := len(k.customers)
			started := time.Now()
			assert.Equal(t, tt.want, ask(t, s, gwstatement.Read{}))
			if !tt.reachable {
				assert.Less(t, time.Since(started), newestInterval, "refused at once")
			}
			assert.False(t, s.Ended(), "the caller may have access later")
			if !strings.HasPrefix(tt.want, " ready") {
				assert.Len(t, k.customers, before, "nothing is sent for the caller")
				unreachable.Store(false)
				k.transaction = false
				assert.Equal(t, " ready I", ask(t, s, gwstatement.Read{}), "the session goes on")
			}
		})
	}
}
