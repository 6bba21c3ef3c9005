package gwquotas

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/pkg/gwmember"
	"gentianward.example/gentianward/pkg/gwquota"
)

const testCustomer = "miny420"

// site is a deployment of services with a ledger in place of the leader. Its clock moves only when
// a test moves it.
type site struct {
	t        testing.TB
	clock    *clockwork.FakeClock
	services []*Service
	views    *gwcontrol.Views

	mu       sync.Mutex
	members  []gwmember.Member
	topology map[string]*gwcontrol.Topology
	ledger   *gwquota.Ledger // nil while there is no leader
	reports  int
}

type noMetrics struct{}

func (noMetrics) QuotaDecision(string, string) {}

func (noMetrics) Gauge(string, func() float64, ...gwtelemetry.Label) {}

var testRules = gwquota.Rules{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// newSite starts one service for each data centre that is named.
func newSite(t testing.TB, dataCentres ...string) *site {
	t.Helper()
	s := &site{t: t, clock: clockwork.NewFakeClock(), topology: make(map[string]*gwcontrol.Topology)}
	s.views = gwcontrol.NewViews(gwcontrol.ManifestFormat{AnyLater: true, Parse: func(_ string, text []byte) (*gwmanifest.Manifest, error) {
		m := &gwmanifest.Manifest{}
		if _, err := fmt.Sscanf(string(text), "%d", &m.Number); err != nil {
			return nil, err
		}
		if rate := float64(m.Number % 1000); rate > 1 {
			m.Customers = []gwmanifest.Customer{{Name: testCustomer, Rate: rate, Burst: rate}, {Name: "unlimited"}}
		}
		return m, nil
	}})
	ca, err := gwpeer.NewAuthority("test")
	require.NoError(t, err)
	for i, dc := range dataCentres {
		name := fmt.Sprintf("%s%d", dc, i)
		source, err := ca.IssueSource(name)
		require.NoError(t, err)
		node, err := gwpeer.Listen(t.Context(), gwpeer.Options{Address: "127.0.0.1:0", TLS: source, Instance: name})
		require.NoError(t, err)
		t.Cleanup(func() { _ = node.Close() })
		s.members = append(s.members, gwmember.Member{Instance: name, DataCentre: dc, Region: "r", Address: node.Address()})
		s.services = append(s.services, New(Options{
			Node: node, Clock: s.clock, Log: slog.New(slog.DiscardHandler), Views: s.views, Rules: testRules, Metrics: noMetrics{},
			Topology: func() *gwcontrol.Topology { return s.topologyOf(name) }, Epoch: func() uint64 { return 1 },
			Report: func(_ context.Context, r gwquota.Report) (gwquota.Answer, error) { return s.report(name, r) },
		}))
	}
	s.setMembers(s.members)
	s.lead(true)
	return s
}

func (s *site) setMembers(members []gwmember.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members
	clear(s.topology)
	for _, m := range members {
		s.topology[m.Instance] = &gwcontrol.Topology{Self: m, Live: members}
	}
}

func (s *site) topologyOf(name string) *gwcontrol.Topology {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topology[name]
}

func (s *site) lead(fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = gwquota.NewLedger(s.clock.Now(), gwquota.Earlier{None: fresh}, true)
}

func (s *site) report(name string, r gwquota.Report) (gwquota.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
	if s.ledger == nil {
		return gwquota.Answer{}, errors.New("no leader")
	}
	s.ledger.SetLimits(gwcontrol.QuotaLimits(s.views.Current().Manifest, testRules), 2)
	answer, ok, err := s.ledger.Handle(s.clock.Now(), name, r)
	if err == nil && !ok {
		err = errors.New("refused")
	}
	return answer, err
}

// publish makes a manifest current. The last three digits of its number are the rate of the
// customer; with 1 there is none.
func (s *site) publish(number uint64) {
	s.t.Helper()
	_, err := s.views.Apply(gwcontrol.ViewDelta{From: s.views.Current().Index, Index: number, Number: number, Text: []byte(fmt.Sprint(number))})
	require.NoError(s.t, err)
}

// run lets time pass, in which the services report.
func (s *site) run(d time.Duration) {
	for ; d > 0; d -= gwquota.ReportInterval {
		s.clock.Advance(gwquota.ReportInterval)
		for _, svc := range s.services {
			svc.step(s.t.Context())
		}
	}
}

// admit sends operations of the customer to an instance and returns how many are admitted, and the
// last error.
func (s *site) admit(instance, n int) (admitted int, last error) {
	for range n {
		if err := s.services[instance].Admit(s.t.Context(), testCustomer); err != nil {
			last = err
			continue
		}
		admitted++
	}
	return admitted, last
}

// admitAt asks one agent alone for n operations and returns how many it admits.
func (s *site) admitAt(agent, n int) (admitted int) {
	for range n {
		if s.services[agent].admitHere(admitRequest{Customer: testCustomer}).Outcome == gwquota.Granted {
			admitted++
		}
	}
	return admitted
}

// agent returns the number of the instance of a data centre that holds a share.
func (s *site) agent(dataCentre string) int {
	s.t.Helper()
	for i, m := range s.members {
		if m.DataCentre == dataCentre && s.services[i].Share(testCustomer) > 0 {
			return i
		}
	}
	s.t.Fatalf("no agent in %s", dataCentre)
	return 0
}

func capacity(rate float64) float64 { return gwquota.NewLimit(rate, rate, testRules).Capacity }

// Guards against messages of deployments without customers, and limits for customers without one.
func TestWithoutLimits(t *testing.T) {
	s := newSite(t, "a", "a")
	s.run(3 * time.Second)
	s.publish(1)
	s.run(3 * time.Second)
	for range 3 {
		assert.NoError(t, s.services[0].Admit(t.Context(), testCustomer))
		s.services[0].Return(testCustomer)
	}
	assert.Zero(t, s.reports)
	s.publish(20)
	assert.NoError(t, s.services[0].Admit(t.Context(), "unlimited"))
	for _, svc := range s.services {
		assert.Zero(t, svc.Node.Traffic(gwcontrol.KindQuotaAdmit.ID).Messages+svc.Node.Traffic(gwcontrol.KindQuotaReturn.ID).Messages)
	}
}

// Guards against instances that admit more together than the customer's capacity, a refusal without
// the time, a lowered limit that waits, and a returned operation that is lost.
func TestInstancesShareALimit(t *testing.T) {
	s := newSite(t, "a", "a", "b")
	s.publish(20)
	s.run(2 * time.Second)
	total := 0
	var last error
	for i := range s.services {
		n, err := s.admit(i, 100)
		total, last = total+n, err
	}
	assert.InDelta(t, capacity(20), float64(total), 2)
	var over *gwfilter.QuotaError
	require.ErrorAs(t, last, &over)
	assert.False(t, over.Unchecked)
	assert.Greater(t, over.RetryAfter, time.Duration(0))

	// A returned operation counts again if the agent's bucket was not full lately.
	agent := s.agent("a")
	for range 5 {
		s.clock.Advance(500 * time.Millisecond)
		s.admitAt(agent, 100)
	}
	s.clock.Advance(500 * time.Millisecond)
	for range 2 {
		require.NoError(t, s.services[agent].Admit(t.Context(), testCustomer))
	}
	for range 3 { // the third has no admission
		s.services[agent].Return(testCustomer)
	}
	before := s.admitAt(agent, 100)
	rate := gwquota.NewLimit(20, 20, testRules).Rate
	assert.InDelta(t, 0.5*rate*s.services[agent].Share(testCustomer), before, 1.01)
}

// Guards against changed limits that agents apply only when the leader has told them.
func TestChangedLimitsApplyAtOnce(t *testing.T) {
	s := newSite(t, "a", "b")
	s.publish(20)
	s.run(2 * time.Second)
	s.mu.Lock()
	s.ledger = nil
	s.mu.Unlock()
	s.publish(200)
	s.services[0].currentLimits() // as Run does at once
	s.clock.Advance(2 * time.Second)
	raised := s.admitAt(0, 400)
	assert.InDelta(t, capacity(200)/2, raised, 12, "half of the raised capacity")
	s.clock.Advance(2 * time.Second)
	s.publish(1010)
	lowered := s.admitAt(0, 400)
	assert.InDelta(t, capacity(10)/2, lowered, 1)
	s.clock.Advance(2 * time.Second)
	lowered = s.admitAt(0, 400)
	assert.InDelta(t, gwquota.NewLimit(10, 10, testRules).Rate, lowered, 1, "half of the rate, for 2 s")
}

// Guards against callers who wait for, or are refused because of, an agent that is dead or stands
// still while another data centre can admit their operations.
func TestAgentLost(t *testing.T) {
	for _, dead := range []bool{true, false} {
		s := newSite(t, "a", "a", "a", "b")
		s.publish(100)
		s.run(3 * time.Second)
		agent := s.agent("a")
		asking := (agent + 1) % 3
		if dead {
			require.NoError(t, s.services[agent].Node.Close())
		} else {
			s.services[asking].Node.Block(s.members[agent].Address, true)
		}
		began := time.Now()
		admitted, err := s.admit(asking, 10)
		assert.Equal(t, 10, admitted, "dead: %v, last error %v", dead, err)
		assert.Less(t, time.Since(began), 10*answerTimeout, "only the first operation waits")

		// Membership and the leader notice, and the share moves within the data centre.
		gone := s.services[agent]
		s.services[agent] = s.services[asking]
		s.setMembers(append(append([]gwmember.Member{}, s.members[:agent]...), s.members[agent+1:]...))
		s.run(10 * time.Second)
		shares := 0.0
		for i, svc := range s.services {
			if i != agent && svc != gone {
				shares += svc.Share(testCustomer)
			}
		}
		assert.InDelta(t, 1, shares, 0.02, "dead: %v", dead)
	}
}

// Guards against a loss of the leader that stops operations while shares are valid, and operations
// that are admitted afterwards.
func TestLeaderLost(t *testing.T) {
	s := newSite(t, "a", "b")
	s.publish(20)
	s.run(2 * time.Second)
	s.mu.Lock()
	s.ledger = nil
	s.mu.Unlock()
	s.run(5 * time.Second)
	admitted, _ := s.admit(0, 3)
	assert.Equal(t, 3, admitted)
	s.run(4 * time.Second)
	admitted, err := s.admit(0, 3)
	assert.Zero(t, admitted)
	var over *gwfilter.QuotaError
	require.ErrorAs(t, err, &over)
	assert.True(t, over.Unchecked)
	s.lead(false)
	s.run(9 * time.Second)
	admitted, _ = s.admit(0, 1)
	assert.Equal(t, 1, admitted, "with shares of the next leader")
}

// Guards against a planned stop that leaves a share unused until it ends.
func TestRelease(t *testing.T) {
	s := newSite(t, "a", "b")
	s.publish(20)
	s.run(2 * time.Second)
	assert.InDelta(t, 0.5, s.services[0].Share(testCustomer), 0.05)
	s.services[0].Release()
	s.run(2 * time.Second)
	assert.Zero(t, s.services[0].Share(testCustomer))
	assert.InDelta(t, 1, s.services[1].Share(testCustomer), 0.02)
	admitted, _ := s.admit(0, 1)
	assert.Equal(t, 1, admitted, "by the agent of the other data centre")
}

// Guards against callers that are refused in one data centre while the agent of another one in the
// region has capacity: shares follow the demand after a second only, and a burst is over by then.
func TestOtherDataCentreHasCapacity(t *testing.T) {
	s := newSite(t, "a", "b")
	s.publish(20)
	s.run(2 * time.Second)
	n, err := s.admit(0, 100)
	assert.InDelta(t, capacity(20), float64(n), 2, "both agents' shares")
	var over *gwfilter.QuotaError
	require.ErrorAs(t, err, &over)
	assert.False(t, over.Unchecked)
	calls := s.services[0].Node.Traffic(gwcontrol.KindQuotaAdmit.ID).Messages
	_, _ = s.admit(0, 100)
	assert.Equal(t, calls, s.services[0].Node.Traffic(gwcontrol.KindQuotaAdmit.ID).Messages, "an exhausted agent is not asked for each operation")
}

// Guards against callers that use up their attempts while the leader has not assigned shares yet, as
// after a loss of power everywhere.
func TestOperationWaitsForShares(t *testing.T) {
	s := newSite(t, "a", "b")
	s.publish(20)
	s.run(gwquota.ReportInterval) // the members have settled at the next report
	admitted := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go func() { admitted <- s.services[0].Admit(ctx, testCustomer) }()
	require.NoError(t, s.clock.BlockUntilContext(ctx, 1))
	s.run(gwquota.ReportInterval)
	select {
	case err := <-admitted:
		require.NoError(t, err)
	case <-ctx.Done():
		t.Fatal("the operation is not admitted with the shares")
	}
}

// Guards against a return that arrives late, as over a lossy link, and counts as recent: 60 of them
// allowed 1,611 operations in 5 s where 1,578 may run.
func TestLateReturnIsDropped(t *testing.T) {
	s := newSite(t, "a") // alone, so that it is the agent after a while
	s.publish(20)
	s.run(5 * time.Second)
	drain := func(d time.Duration) {
		for ; d > 0; d -= 100 * time.Millisecond {
			s.clock.Advance(100 * time.Millisecond)
			s.admitAt(0, 100)
		}
	}
	drain(3 * time.Second)
	for _, tt := range []struct {
		late time.Duration
		want int
	}{
		{500 * time.Millisecond, 1},
		{gwquota.ReturnLimit + 300*time.Millisecond, 0},
	} {
		s.clock.Advance(100 * time.Millisecond)
		granted := s.services[0].admitHere(admitRequest{Customer: testCustomer})
		require.Equal(t, gwquota.Granted, granted.Outcome)
		drain(tt.late)
		s.services[0].returnHere(admitRequest{Customer: testCustomer, At: granted.At})
		assert.Equal(t, tt.want, s.admitAt(0, 100), "%v late", tt.late)
	}
}
