package gwcontrol

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwlease"
)

// leaseModelHolder is an instance that wants the leases of groups now and then. Its keeper is
// the real one, but for the calls of the leader.
type leaseModelHolder struct {
	cluster *dutyCluster
	keeper  *LeaseKeeper
	process *process // without a voter

	mu     sync.Mutex
	wanted map[string]uint64
}

// rateClock is the clock of a process, at which nothing stands still: the keeper reads it while
// it holds its lock.
type rateClock struct{ *process }

func (c rateClock) Now() time.Time { return c.local(time.Now()) }

func newLeaseModelHolder(m *dutyCluster, name string) *leaseModelHolder {
	ctx, crash := context.WithCancel(context.Background())
	h := &leaseModelHolder{cluster: m, process: m.newProcess(ctx, name, crash), wanted: make(map[string]uint64)}
	h.keeper = NewLeaseKeeper(nil, rateClock{h.process}, modelLog(name), name, 1, gwmanifest.DefaultMaxClockDrift, h.wants)
	go h.run()
	return h
}

func (h *leaseModelHolder) wants() map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]uint64, len(h.wanted))
	for g, term := range h.wanted {
		out[g] = term
	}
	return out
}

// run requests leases, changes what is wanted and stands still at random.
func (h *leaseModelHolder) run() {
	for {
		h.process.Sleep(leaseRequestInterval)
		if h.cluster.platform.disturbed(0.02) {
			h.process.stop(h.cluster.between(time.Second, 3*time.Second))
		}
		h.process.gate()
		h.choose()
		if req, ok := h.keeper.request(); ok {
			go h.send(req)
		}
	}
}

// choose makes the holder want, or give up, the leases of the groups at their terms.
func (h *leaseModelHolder) choose() {
	state := h.cluster.leading().leader.state
	for _, name := range h.cluster.groups {
		g, ok := state.Group(name)
		h.mu.Lock()
		if _, wanted := h.wanted[name]; ok && wanted != h.cluster.chance(0.005) {
			h.wanted[name] = g.Term
		} else if wanted {
			delete(h.wanted, name)
		}
		h.mu.Unlock()
	}
	h.keeper.mu.Lock()
	defer h.keeper.mu.Unlock()
	for name, term := range h.wants() {
		if _, returning := h.keeper.returning[name]; !returning {
			h.keeper.holder.Want(name, term)
		}
	}
	for _, name := range h.keeper.holder.Groups() {
		if _, ok := h.wants()[name]; ok {
			continue
		}
		h.keeper.holder.Return(name)
		if seq, granted := h.keeper.sequences[name]; granted {
			delete(h.keeper.sequences, name)
			h.keeper.returning[name] = seq
			go h.giveBack(name, seq)
		}
	}
}

// send carries a request to a voter, which may not lead, and its answer back.
func (h *leaseModelHolder) send(req gwlease.Request) {
	answer, err := callModelLeader(h, gwlease.DefaultDuration, func(ctx context.Context, l *Leader) (leaseAnswer, error) { return l.Lease(ctx, req) })
	now := h.process.Now()
	h.keeper.mu.Lock()
	defer h.keeper.mu.Unlock()
	if err != nil {
		h.keeper.holder.Failed(req.Sequence, now)
		return
	}
	for name, seq := range h.keeper.acceptAnswer(answer) {
		go h.giveBack(name, seq)
	}
}

// giveBack returns a lease until a leader confirms that.
func (h *leaseModelHolder) giveBack(group string, seq uint64) {
	req := returnLeases{Holder: h.keeper.name, Epoch: h.keeper.epoch, Leases: []gwstate.LeaseReturn{{Group: group, Sequence: seq}}}
	for {
		_, err := callModelLeader(h, gwlease.DefaultDuration, func(ctx context.Context, l *Leader) (Empty, error) { return l.ReturnLeases(ctx, req) })
		if err == nil {
			break
		}
		h.process.Sleep(returnDelay)
	}
	h.keeper.mu.Lock()
	defer h.keeper.mu.Unlock()
	delete(h.keeper.returning, group)
}

// delay is the time that a message takes. A few are very late.
func (h *leaseModelHolder) delay() {
	if h.cluster.platform.disturbed(0.05) {
		time.Sleep(h.cluster.between(0, 5*time.Second))
	}
	time.Sleep(h.cluster.between(time.Millisecond, 4*time.Millisecond))
}

// callModelLeader makes a call at the voter that leads, or at any, and returns its answer, or an error
// when the time is over. The call itself may go on and be carried out later.
func callModelLeader[Resp any](h *leaseModelHolder, limit time.Duration, call func(context.Context, *Leader) (Resp, error)) (Resp, error) {
	type result struct {
		resp Resp
		err  error
	}
	done := make(chan result, 1)
	go func() {
		h.delay()
		p := h.cluster.leading()
		ctx, cancel := context.WithTimeout(p.ctx, leaderCallTimeout)
		defer cancel()
		var r result
		r.resp, r.err = call(ctx, p.leader) // ends this goroutine if the process has crashed
		h.delay()
		done <- r
	}()
	select {
	case r := <-done:
		return r.resp, r.err
	case <-time.After(limit):
		var zero Resp
		return zero, context.DeadlineExceeded
	}
}

// holds returns whether the holder may acknowledge writes to the group now, by its own clock. A
// holder that stands still does nothing.
func (h *leaseModelHolder) holds(group string) bool {
	now := h.process.local(time.Now())
	h.keeper.mu.Lock()
	defer h.keeper.mu.Unlock()
	return h.keeper.holder.Remaining(group, now) > 0
}

// leaseWatch counts how often leases get another holder.
type leaseWatch struct {
	last   map[string]string // holders by group
	gained int
}

// look returns an error if two instances hold the lease of a group now.
func (w *leaseWatch) look(group string, holders []*leaseModelHolder) error {
	holder := ""
	for _, h := range holders {
		if !h.holds(group) {
			continue
		}
		if holder != "" {
			return fmt.Errorf("%s and %s hold the lease of %s", holder, h.keeper.name, group)
		}
		holder = h.keeper.name
	}
	if holder != "" && w.last[group] != holder {
		w.last[group] = holder
		w.gained++
	}
	return nil
}

// Guards against two instances that hold the lease of one group at the same time: instances that
// stand still and go on, requests, answers and returns that arrive late, and leaders that stop,
// crash, are cut off or replaced, and changes of primary. The voters' code is the real one. As
// in TestDutyOfReplacedLeaders, the order may differ from run to run.
func TestLeasesOfReplacedLeaders(t *testing.T) {
	t.Parallel()
	schedules, first := 40, 1
	if s, err := strconv.Atoi(os.Getenv("GENTIANWARD_LEASE_SCHEDULES")); err == nil {
		schedules = s
	}
	if s, err := strconv.Atoi(os.Getenv("GENTIANWARD_LEASE_SEED")); err == nil {
		first, schedules = s, 1
	}
	gained := 0
	for seed := first; seed < first+schedules && !t.Failed(); seed++ {
		synctest.Test(t, func(t *testing.T) {
			m := newDutyCluster(t, uint64(seed), 0.0005, 10*time.Millisecond)
			holders := []*leaseModelHolder{newLeaseModelHolder(m, "x"), newLeaseModelHolder(m, "y"), newLeaseModelHolder(m, "z")}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for end := time.Now().Add(2 * disturbedTime); time.Now().Before(end); {
					time.Sleep(m.between(time.Second, 10*time.Second))
					m.disturb()
				}
			}()
			watch := leaseWatch{last: make(map[string]string)}
			for running := true; running && !t.Failed(); {
				select {
				case <-ended:
					running = false
				case <-time.After(2 * time.Millisecond):
				}
				for _, g := range m.groups {
					assert.NoError(t, watch.look(g, holders), "seed %d", seed)
				}
			}
			gained += watch.gained
			<-ended
			m.calmDown()
			for _, h := range holders {
				h.process.crash()
			}
			m.end()
		})
	}
	t.Logf("%d schedules, the leases were gained %d times", schedules, gained)
	assert.Greater(t, gained, 2*schedules, "changes of holders")
}
