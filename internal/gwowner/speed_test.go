package gwowner

import (
	"bytes"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/pkg/gwsession"
)

// newTimedServer returns a server with one slot on a fake clock; each statement takes the returned
// duration.
func newTimedServer(t *testing.T) (*server, *clockwork.FakeClock, *time.Duration, *bytes.Buffer) {
	t.Helper()
	took := 10 * time.Millisecond
	clock := clockwork.NewFakeClock()
	s := newScriptedServer(t, &fakeMetrics{}, func() (gwbackend.Result, error) {
		clock.Advance(took)
		return gwbackend.Result{TxStatus: 'I', Sent: true}, nil
	})
	var log bytes.Buffer
	s.owner.clock, s.owner.log = clock, slog.New(slog.NewJSONHandler(&log, nil))
	s.admission.clock, s.speed = clock, newSpeed(1)
	return s, clock, &took, &log
}

func runStatements(t *testing.T, s *server, clock *clockwork.FakeClock, n int, class string) {
	t.Helper()
	for range n {
		_ = s.run(t.Context(), &Request{Class: class, Server: "s", QueueWait: time.Second}, clock.Now().Add(2*time.Second), &bufferedSink{out: io.Discard}, nil)
		clock.Advance(10 * time.Millisecond)
	}
}

// Guards against an owner that does not report a slow server, that reports a usual one, which
// costs bytes with each answer, or that logs each change of a server that flaps.
func TestSlowServerIsReported(t *testing.T) {
	s, clock, took, log := newTimedServer(t)
	runStatements(t, s, clock, 200, "k")
	assert.Nil(t, s.reportSpeed(clock.Now()))
	*took = 80 * time.Millisecond
	runStatements(t, s, clock, 20, "k")
	r := s.reportSpeed(clock.Now())
	require.NotNil(t, r)
	assert.InDelta(t, 800, r.Percent, 150)
	assert.Equal(t, 1, r.Slots)
	for range 5 {
		*took = 10 * time.Millisecond
		runStatements(t, s, clock, 60, "k")
		assert.Nil(t, s.reportSpeed(clock.Now()), "normal again")
		*took = 80 * time.Millisecond
		runStatements(t, s, clock, 20, "k")
	}
	assert.LessOrEqual(t, bytes.Count(log.Bytes(), []byte("\n")), 3, "%s", log)
	assert.Contains(t, log.String(), `"msg":"backend server is slow"`)
}

// Guards against statements of this system itself, or answers that a slow caller holds up, that
// make a server look slow.
func TestForeignTimesAreNotMeasured(t *testing.T) {
	s, clock, took, _ := newTimedServer(t)
	runStatements(t, s, clock, 200, "k")
	*took = 80 * time.Millisecond
	runStatements(t, s, clock, 50, "")
	assert.Nil(t, s.reportSpeed(clock.Now()), "statements without a class")
	for range 50 {
		relayed := &bufferedSink{out: io.Discard, relayed: true}
		_ = s.run(t.Context(), &Request{Class: "k", Server: "s", QueueWait: time.Second}, clock.Now().Add(time.Second), relayed, nil)
	}
	assert.Nil(t, s.reportSpeed(clock.Now()), "answers that were passed on before their end")
	for range 50 {
		s.owner.standstill.record(clock.Now())
		_ = s.run(t.Context(), &Request{Class: "k", Server: "s", QueueWait: time.Second}, clock.Now().Add(time.Second), &bufferedSink{out: io.Discard}, nil)
		clock.Advance(time.Second)
		s.owner.standstill.record(clock.Now())
	}
	*took = 10 * time.Millisecond
	runStatements(t, s, clock, 50, "k")
	assert.Nil(t, s.reportSpeed(clock.Now()), "a process that stands still")
}

// Guards against a limit on the statements at once that outlives its cause or exceeds the slots.
func TestConcurrencyWithinSlots(t *testing.T) {
	a := newAdmission(clockwork.NewFakeClock(), 4)
	a.setConcurrency(2)
	assert.Equal(t, 2, a.usedSlots())
	a.setLimits(3, nil, nil)
	assert.Equal(t, 2, a.usedSlots())
	a.setConcurrency(8)
	assert.Equal(t, 3, a.usedSlots())
}

// Guards against entry instances of an earlier release that cannot read the reports of this one, and
// against reports about usual servers that are longer than before.
func TestReportOfEarlierReleases(t *testing.T) {
	type earlierReport struct {
		Position    gwsession.Position `cbor:"1,keyasint"`
		Load        float64            `cbor:"4,keyasint,omitempty"`
		ServiceTime time.Duration      `cbor:"5,keyasint,omitempty"`
	}
	p := gwsession.Position{Term: 1, Offset: 7}
	usual, err := cbor.Marshal(Report{Position: p, Load: 2})
	require.NoError(t, err)
	before, err := cbor.Marshal(earlierReport{Position: p, Load: 2})
	require.NoError(t, err)
	assert.Equal(t, before, usual)
	slow, err := cbor.Marshal(Report{Position: p, Load: 2, Speed: &Speed{Percent: 800, Slots: 5, Confidence: 100}})
	require.NoError(t, err)
	assert.LessOrEqual(t, len(slow)-len(usual), 20, "bytes")
	var r earlierReport
	require.NoError(t, cbor.Unmarshal(slow, &r))
	assert.Equal(t, earlierReport{Position: p, Load: 2}, r)
}

// speedMetrics records what an owner tells about refusals and speeds.
type speedMetrics struct {
	fakeMetrics
	refused []string
	gauges  map[string]func() float64
}

func (m *speedMetrics) SlotRefused(class, reason string) {
	m.refused = append(m.refused, class+" "+reason)
}

func (m *speedMetrics) Gauge(name string, f func() float64, labels ...gwtelemetry.Label) {
	m.gauges[name+" "+labels[0].Value] = f
}

// Guards against operators who cannot see that a server is slow or why requests get no slot, and against
// gauges that fail after the server has moved to another owner.
func TestSpeedMetrics(t *testing.T) {
	s, clock, took, _ := newTimedServer(t)
	m := &speedMetrics{gauges: make(map[string]func() float64)}
	s.owner.metrics, s.owner.servers = m, map[string]*server{"s": s}
	s.owner.exposeSpeed("s")
	runStatements(t, s, clock, 200, "k")
	*took = 80 * time.Millisecond
	runStatements(t, s, clock, 20, "k")
	assert.InDelta(t, 8, m.gauges["gentianward_server_slowness s"](), 1.5)
	assert.Equal(t, 1.0, m.gauges["gentianward_server_concurrency s"]())
	clock.Advance(3 * time.Second)
	assert.InDelta(t, 3, m.gauges["gentianward_server_slowness_age_seconds s"](), 0.1)
	s.admission.close()
	runStatements(t, s, clock, 1, "k")
	assert.Equal(t, []string{"k closed"}, m.refused)
	s.owner.servers = nil
	assert.Zero(t, m.gauges["gentianward_server_slowness s"]())
}
