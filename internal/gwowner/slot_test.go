package gwowner

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// scriptedDialect opens connections whose exchanges run exchange.
type scriptedDialect struct {
	gwbackend.Dialect
	exchange func() (gwbackend.Result, error)
}

func (d scriptedDialect) Dial(context.Context, gwbackend.Options) (gwbackend.Connection, error) {
	return &scriptedConnection{d: d}, nil
}

func (scriptedDialect) Position(context.Context, gwbackend.Connection) (gwbackend.Report, error) {
	return gwbackend.Report{}, errors.New("no position")
}

type scriptedConnection struct {
	gwbackend.Connection
	d scriptedDialect
}

func (c *scriptedConnection) Exchange(context.Context, gwbackend.Request, gwbackend.Sink) (gwbackend.Result, error) {
	return c.d.exchange()
}
func (*scriptedConnection) Usable() bool       { return true }
func (*scriptedConnection) TxStatus() byte     { return 'I' }
func (*scriptedConnection) Clean() bool        { return true }
func (*scriptedConnection) Close() error       { return nil }
func (*scriptedConnection) Abort()             {}
func (*scriptedConnection) NotifyClose(func()) {}

// fakeLeases are leases that are held always.
type fakeLeases struct{ Leases }

func (fakeLeases) Valid(string, uint64) bool { return true }

// fakeMetrics counts the waits for a slot.
type fakeMetrics struct{ waits int }

func (m *fakeMetrics) QueueWait(string, string, time.Duration) { m.waits++ }
func (*fakeMetrics) ConfirmWait(string, string, time.Duration) {}

// newScriptedServer returns a server with one slot and one connection for requests.
func newScriptedServer(t *testing.T, m *fakeMetrics, exchange func() (gwbackend.Result, error)) *server {
	t.Helper()
	o := &Owner{clock: clockwork.NewRealClock(), views: gwcontrol.NewViews(gwcontrol.ManifestFormat{}), leases: fakeLeases{}, metrics: m, ctx: t.Context()}
	s := &server{owner: o, admission: newAdmission(o.clock, 1)}
	s.known.Store(&gwcontrol.ServerFacts{Server: "s", Group: "g", Slots: 1})
	s.admission.setLimits(1, []gwlimit.Class{{Name: "k", Weight: 1, Queue: 1}}, nil)
	s.backend = gwbackend.NewServer(gwbackend.ServerOptions{Dialect: scriptedDialect{exchange: exchange}, Pool: gwbackend.PoolOptions{Limit: 2}})
	t.Cleanup(func() { _ = s.backend.Close(t.Context()) })
	return s
}

// Guards against a panic during a request that keeps the server's slot, its connection or
// its place among the unanswered statements, so that later requests wait for ever.
func TestPanicReleasesSlotAndConnection(t *testing.T) {
	tests := []struct {
		name string
		key  string
	}{
		{name: "statement"},
		{name: "statement with a request key", key: "pay-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			broken := true
			s := newScriptedServer(t, &fakeMetrics{}, func() (gwbackend.Result, error) {
				if broken {
					panic("unexpected answer")
				}
				return gwbackend.Result{TxStatus: 'I', Sent: true}, nil
			})
			req := &Request{Class: "k", Server: "s", Key: tt.key, QueueWait: time.Second}
			run := func() gwoutcome.Event {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if tt.key != "" {
					r := s.owner.NewSession().writeKeyed(ctx, s, req, gwcontrol.GroupView{Term: 1}, time.Now().Add(2*time.Second), &bufferedSink{out: io.Discard})
					return r.Event
				}
				return s.run(ctx, req, time.Now().Add(2*time.Second), &bufferedSink{out: io.Discard}, nil).event
			}
			require.Panics(t, func() { run() })
			broken = false
			assert.Equal(t, gwoutcome.Answered, run())
			assert.Zero(t, s.admission.load())
		})
	}
}

// Guards against writes with a request key that are missing in the metric of waits for a
// slot, as they acquired their slot by themselves.
func TestKeyedWriteIsMeasured(t *testing.T) {
	var m fakeMetrics
	s := newScriptedServer(t, &m, func() (gwbackend.Result, error) {
		return gwbackend.Result{TxStatus: 'I', Sent: true}, nil
	})
	req := &Request{Class: "k", Server: "s", Key: "pay-1", QueueWait: time.Second}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	r := s.owner.NewSession().writeKeyed(ctx, s, req, gwcontrol.GroupView{Term: 1}, time.Now().Add(2*time.Second), &bufferedSink{out: io.Discard})
	assert.Equal(t, gwoutcome.Answered, r.Event, r.Message)
	assert.Equal(t, 1, m.waits)
}
