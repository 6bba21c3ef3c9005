package gwcontrol

import (
	"context"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/pkg/gwquota"
)

const modelCustomer = "miny420"

var (
	modelQuotaRules = gwquota.Rules{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	modelManifest   = (&gwmanifest.Manifest{
		Number: 1, Customers: []gwmanifest.Customer{{Name: modelCustomer, Rate: 20, Burst: 20}},
		Regions:   []gwmanifest.Region{{Name: "r", DataCentres: []string{"a", "b", "c"}}},
		Databases: []gwmanifest.Database{{Name: "d", Groups: []gwmanifest.Group{{Name: "g"}, {Name: "h"}}}},
	}).Index()
)

// quotaModelAgent is an instance that is a quota agent and admits as much as it may.
type quotaModelAgent struct {
	name   string
	caller *leaseModelHolder // carries its calls

	mu    sync.Mutex
	epoch uint64
	agent *gwquota.Agent
}

func newQuotaModelAgent(m *dutyCluster, name string) *quotaModelAgent {
	ctx, crash := context.WithCancel(context.Background())
	a := &quotaModelAgent{name: name, caller: &leaseModelHolder{cluster: m, process: m.newProcess(ctx, name, crash)}}
	a.restart()
	go a.run()
	return a
}

// restart begins another run of the instance.
func (a *quotaModelAgent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch++
	a.agent = gwquota.NewAgent(a.epoch, a.now())
	a.agent.SetLimits(a.now(), QuotaLimits(modelManifest, modelQuotaRules))
	a.agent.SetWanted(func(string) bool { return true })
}

func (a *quotaModelAgent) now() time.Time { return a.caller.process.local(time.Now()) }

// run reports, restarts and stands still at random.
func (a *quotaModelAgent) run() {
	m := a.caller.cluster
	for {
		a.caller.process.Sleep(gwquota.ReportInterval)
		switch {
		case m.platform.disturbed(0.01):
			a.restart()
		case m.platform.disturbed(0.02):
			a.caller.process.stop(m.between(time.Second, 12*time.Second))
		}
		a.caller.process.gate()
		a.mu.Lock()
		agent := a.agent
		agent.Measure(a.now())
		r, ok := agent.Report(a.now())
		a.mu.Unlock()
		if !ok {
			continue
		}
		answer, err := callModelLeader(a.caller, gwquota.MaxAnswerAge, func(ctx context.Context, l *Leader) (gwquota.Answer, error) { return l.Quota(ctx, a.name, r) })
		a.caller.process.gate()
		a.mu.Lock()
		if err != nil {
			agent.Failed()
		} else {
			agent.Apply(a.now(), answer)
		}
		a.mu.Unlock()
	}
}

// take admits as many operations as the agent may, and returns their number and its share. A
// process that stands still admits nothing, but its share may be valid.
func (a *quotaModelAgent) take() (admitted int, share gwquota.Parts) {
	a.caller.process.mu.Lock()
	stopped := time.Now().Before(a.caller.process.stoppedUntil)
	a.caller.process.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	for !stopped && a.agent.Admit(a.now(), modelCustomer, false).Outcome == gwquota.Granted {
		admitted++
	}
	return admitted, a.agent.Share(a.now(), modelCustomer)
}

// quotaWatch holds when operations were admitted.
type quotaWatch struct{ at []time.Time }

// look admits operations everywhere, and returns the sum of the shares that are valid and the
// number of operations in the last window.
func (w *quotaWatch) look(agents []*quotaModelAgent) (gwquota.Parts, int) {
	sum := gwquota.Parts(0)
	now := time.Now()
	for _, a := range agents {
		n, share := a.take()
		sum += share
		for range n {
			w.at = append(w.at, now)
		}
	}
	for len(w.at) > 0 && now.Sub(w.at[0]) > modelQuotaRules.Window {
		w.at = w.at[1:]
	}
	return sum, len(w.at)
}

// Guards against shares of more than the whole that are valid at the same time, and operations above
// the limit: agents that stand still, go on and restart, reports and answers that arrive late, and
// leaders that stop, crash, are cut off or replaced; and against shares that nobody gets any more
// afterwards. The voters' code and the agents' state machine are the real ones.
func TestQuotasOfReplacedLeaders(t *testing.T) {
	t.Parallel()
	schedules, first := 20, 1
	if s, err := strconv.Atoi(os.Getenv("GENTIANWARD_QUOTA_SCHEDULES")); err == nil {
		schedules = s
	}
	if s, err := strconv.Atoi(os.Getenv("GENTIANWARD_QUOTA_SEED")); err == nil {
		first, schedules = s, 1
	}
	bound := modelQuotaRules.Bound(20, 20)
	total, most := 0, 0
	for seed := first; seed < first+schedules && !t.Failed(); seed++ {
		synctest.Test(t, func(t *testing.T) {
			m := newDutyCluster(t, uint64(seed), 0, 10*time.Millisecond)
			m.exclusiveNames = true
			for _, p := range m.processes {
				p.leader.exclusiveNames = true
			}
			agents := []*quotaModelAgent{newQuotaModelAgent(m, "x"), newQuotaModelAgent(m, "y"), newQuotaModelAgent(m, "z")}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for end := time.Now().Add(2 * disturbedTime); time.Now().Before(end); {
					time.Sleep(m.between(time.Second, 10*time.Second))
					m.disturb()
				}
			}()
			var watch quotaWatch
			look := func() gwquota.Parts {
				sum, n := watch.look(agents)
				assert.LessOrEqual(t, sum, gwquota.Whole, "seed %d: shares", seed)
				assert.LessOrEqual(t, float64(n), bound, "seed %d: operations", seed)
				most = max(most, n)
				return sum
			}
			for running := true; running && !t.Failed(); {
				select {
				case <-ended:
					running = false
				case <-time.After(20 * time.Millisecond):
				}
				look()
			}
			<-ended
			m.calmDown()
			used := gwquota.Parts(0) // at most in the last 2 s, as a share that moves is free for a moment
			for n := range 1000 {    // for 20 s
				time.Sleep(20 * time.Millisecond)
				if sum := look(); n >= 900 {
					used = max(used, sum)
				}
			}
			total += len(watch.at)
			assert.Greater(t, float64(used), 0.95*float64(gwquota.Whole), "seed %d: shares in use after all disturbances", seed)
			for _, a := range agents {
				a.caller.process.crash()
			}
			m.end()
		})
	}
	t.Logf("%d schedules, at most %d operations in a window, %.0f are allowed; %d in the last windows", schedules, most, bound, total)
	assert.Greater(t, total, 80*schedules, "operations are admitted")
}
