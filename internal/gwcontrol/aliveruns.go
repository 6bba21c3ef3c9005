package gwcontrol

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwmember"
)

// Timing of the questions for runs of servers.
const (
	// heartbeatLifetime is how long a heartbeat is kept. Servers send one every second or so.
	heartbeatLifetime = time.Minute
	// aliveRunsDelay is how long a question waits for those of other groups, so that a change of
	// the primaries of many groups asks each instance once.
	aliveRunsDelay = 5 * time.Millisecond
	// aliveRunsInterval is the least time between two questions, which a change repeats while it
	// waits for heartbeats.
	aliveRunsInterval = 100 * time.Millisecond
)

// lastSequence is the greatest sequence number of a heartbeat that the version of its facts tells,
// in its low bits (see the package platform). A run that has sent more repeats it, after 14 days.
const lastSequence = 1<<20 - 1

// Heartbeats holds when this instance received heartbeats of runs of backend servers, and tells
// leaders. Other than the directory, it is not exchanged: it changes with each heartbeat.
type Heartbeats struct {
	clock clockwork.Clock

	mu       sync.Mutex
	byServer map[string]receivedHeartbeats
	sweptAt  time.Time
}

type receivedHeartbeats struct {
	born, version uint64
	last          time.Time
	// aliveAt is when the heartbeat before the last one arrived, zero if there was none. The run
	// existed then: it sent the last one after it had the answer to that one, however late the
	// last one arrived.
	aliveAt time.Time
}

// aliveRunsRequest asks an instance for the heartbeats that it has received of servers.
type aliveRunsRequest struct {
	Servers []string `cbor:"1,keyasint"`
}

type aliveRunsResponse struct {
	Runs []aliveRun `cbor:"1,keyasint"`
}

// aliveRun is a run of a server that existed at the time Age before the answer.
type aliveRun struct {
	Server string        `cbor:"1,keyasint"`
	Born   uint64        `cbor:"2,keyasint"`
	Age    time.Duration `cbor:"3,keyasint"`
}

// NewHeartbeats returns the heartbeats of an instance and registers their handler at its node.
func NewHeartbeats(node *gwpeer.Node, clock clockwork.Clock) *Heartbeats {
	h := &Heartbeats{clock: clock, byServer: make(map[string]receivedHeartbeats)}
	gwpeer.Handle(node, kindAliveRuns, func(_ context.Context, _ string, r aliveRunsRequest) (aliveRunsResponse, error) {
		return h.alive(r), nil
	})
	return h
}

// Record notes a heartbeat, whose version the server has set.
func (h *Heartbeats) Record(f ServerFacts) {
	if f.Born == 0 || f.Gone {
		return
	}
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.byServer[f.Server]
	if f.Born < known.born || f.Version < known.version {
		return // late
	}
	if f.Version == known.version && f.Version&lastSequence != lastSequence {
		return // sent again
	}
	next := receivedHeartbeats{born: f.Born, version: f.Version, last: now}
	if f.Born == known.born {
		next.aliveAt = known.last
	}
	h.byServer[f.Server] = next
	if now.Sub(h.sweptAt) > heartbeatLifetime {
		h.sweptAt = now
		maps.DeleteFunc(h.byServer, func(_ string, r receivedHeartbeats) bool { return now.Sub(r.last) > heartbeatLifetime })
	}
}

func (h *Heartbeats) alive(r aliveRunsRequest) aliveRunsResponse {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var out aliveRunsResponse
	for _, name := range r.Servers {
		if k, ok := h.byServer[name]; ok && !k.aliveAt.IsZero() {
			out.Runs = append(out.Runs, aliveRun{Server: name, Born: k.born, Age: now.Sub(k.aliveAt)})
		}
	}
	return out
}

// runTable holds what the instances have told of the runs of servers.
type runTable struct {
	clock clockwork.Clock
	// members returns the live instances.
	members func() []gwmember.Member
	askOne  func(ctx context.Context, m gwmember.Member, r aliveRunsRequest) (aliveRunsResponse, error)

	mu sync.Mutex
	// alive holds, by server, the latest run and the latest time at which it existed.
	alive map[string]aliveSince
	// earlier is when an instance of an earlier release was last asked, which cannot tell.
	earlier time.Time
	next    *runQuestion
	askedAt time.Time
}

type aliveSince struct {
	born uint64
	at   time.Time
}

// runQuestion is a question to all instances; changed is signaled with each answer and closed with
// the last.
type runQuestion struct {
	servers map[string]bool
	waiting []chan struct{}
}

// UseHeartbeats makes the leader identify the runs of servers that answer during a change of
// primary by the heartbeats that the instances have received. It must be called before Run. Without
// it, an answer counts for the run that the directory names.
func (l *Leader) UseHeartbeats(h *Heartbeats, node *gwpeer.Node) {
	l.runs = &runTable{
		clock: l.clock, members: func() []gwmember.Member { return l.topology().Live },
		askOne: func(ctx context.Context, m gwmember.Member, r aliveRunsRequest) (aliveRunsResponse, error) {
			if m.Instance == l.Instance() {
				return h.alive(r), nil
			}
			return gwpeer.Call[aliveRunsRequest, aliveRunsResponse](ctx, node, m.Address, kindAliveRuns, r)
		},
	}
}

// ask asks all instances for the servers and returns a channel that is signaled with answers and
// closed after fenceTimeout at the latest.
func (t *runTable) ask(ctx context.Context, servers []string) <-chan struct{} {
	changed := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next == nil {
		t.next = &runQuestion{servers: make(map[string]bool)}
		delay := max(aliveRunsDelay, aliveRunsInterval-t.clock.Since(t.askedAt))
		go t.send(context.WithoutCancel(ctx), delay)
	}
	for _, s := range servers {
		t.next.servers[s] = true
	}
	t.next.waiting = append(t.next.waiting, changed)
	return changed
}

// send sends the next question after a delay and records the answers.
func (t *runTable) send(ctx context.Context, delay time.Duration) {
	t.clock.Sleep(delay)
	asked := t.clock.Now()
	t.mu.Lock()
	q := t.next
	t.next, t.askedAt = nil, asked
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	r := aliveRunsRequest{Servers: slices.Sorted(maps.Keys(q.servers))}
	var wg sync.WaitGroup
	for _, m := range t.members() {
		wg.Go(func() {
			a, err := t.askOne(ctx, m, r)
			t.record(asked, a, err)
			for _, c := range q.waiting {
				select {
				case c <- struct{}{}:
				default:
				}
			}
		})
	}
	wg.Wait()
	for _, c := range q.waiting {
		close(c)
	}
}

// record records the answer to a question that was sent at asked.
func (t *runTable) record(asked time.Time, a aliveRunsResponse, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if hasNoHandler(err) {
		t.earlier = asked
	}
	for _, r := range a.Runs {
		if t.alive == nil {
			t.alive = make(map[string]aliveSince)
		}
		at := asked.Add(-max(0, r.Age))
		if known := t.alive[r.Server]; r.Born > known.born || r.Born == known.born && at.After(known.at) {
			t.alive[r.Server] = aliveSince{born: r.Born, at: at}
		}
	}
	t.drop(asked)
}

// drop drops servers that have not been heard from for long.
func (t *runTable) drop(now time.Time) {
	maps.DeleteFunc(t.alive, func(_ string, a aliveSince) bool { return now.Sub(a.at) > 2*heartbeatLifetime })
}

// hasNoHandler reports whether an instance of an earlier release, which does not know the question,
// refused it.
func hasNoHandler(err error) bool {
	var e *gwpeer.Error
	return errors.As(err, &e) && e.Kind == gwpeer.KindNotSent && strings.Contains(e.Error(), "has no handler")
}

// knows reports whether the instances have told of the run of a server that the directory names.
func (t *runTable) knows(f ServerFacts) bool {
	if t == nil || f.Born == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alive[f.Server].born == f.Born
}

// identifies reports whether an answer that arrived at the given time is that of the run f, which
// the directory named before the question. That the run existed after the connection was opened
// over which it came excludes that a later run gave it.
//
// Instances of earlier releases tell neither how old the connection is nor what heartbeats they
// have received; while there are any, the answer counts as it did before.
func (t *runTable) identifies(f ServerFacts, c Copy, at time.Time) bool {
	if t == nil || f.Born == 0 || c.RunAge == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.alive[f.Server]; a.born != 0 && a.born == f.Born && a.at.After(at.Add(-c.RunAge)) {
		return true
	}
	return !t.earlier.IsZero() && at.Sub(t.earlier) < heartbeatLifetime
}
