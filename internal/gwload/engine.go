package gwload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"gentianward.example/gentianward/internal/gwdeploy"
	"gentianward.example/gentianward/internal/gwtrace"
)

// Parameters of requests.
const (
	// requestTimeout is how long a caller waits for an answer.
	requestTimeout = 12 * time.Second
	// maxInFlight bounds the requests at one time; arrivals beyond it are
	// counted as dropped, because each costs a goroutine and a connection.
	maxInFlight = 4000
	// subjects is the number of households or members per group.
	subjects = 200
	// recent is the number of acknowledged writes per group and table that
	// reads are checked against.
	recent = 64
	// readRows bounds the rows of an answer.
	readRows = 50
)

// engine sends requests.
type engine struct {
	d       *gwdeploy.Deployment
	groups  []string
	ramp    time.Duration
	size    int // connections of one caller to one group at one instance
	started time.Time
	rec     *recorder

	inFlight atomic.Int64
	next     atomic.Uint64
	wg       sync.WaitGroup

	mu    sync.Mutex
	pools map[poolKey]*pool
	acked map[[2]string]*ring
	body  string
}

func newEngine(d *gwdeploy.Deployment, rec *recorder, groups []string, size int) *engine {
	return &engine{
		d: d, groups: groups, size: max(size, 1), rec: rec, started: time.Now(),
		pools: make(map[poolKey]*pool), acked: make(map[[2]string]*ring), body: fmt.Sprintf("%0200d", 0),
	}
}

// now is the time since the start.
func (e *engine) now() time.Duration { return time.Since(e.started) }

// run sends the arrivals of one class until the context ends.
func (e *engine) run(ctx context.Context, c Class, rng *rand.Rand) {
	due := e.now()
	for {
		due += e.interval(c, due, rng)
		if wait := due - e.now(); wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
		} else if ctx.Err() != nil {
			return
		}
		group := e.groups[rng.IntN(len(e.groups))]
		r := request{class: c, group: group, due: due, write: rng.Float64() < c.Writes, subject: fmt.Sprintf("home-%d", rng.IntN(subjects))}
		if e.inFlight.Add(1) > maxInFlight {
			e.inFlight.Add(-1)
			e.rec.drop(c.Name)
			continue
		}
		e.wg.Go(func() {
			defer e.inFlight.Add(-1)
			e.send(&r)
		})
	}
}

// interval is the time to the next arrival, with the rate rising during the ramp.
func (e *engine) interval(c Class, at time.Duration, rng *rand.Rand) time.Duration {
	rate := c.Rate
	if at < e.ramp {
		rate *= max(float64(at)/float64(e.ramp), 0.05)
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// wait ends when all requests have been answered.
func (e *engine) wait() {
	e.wg.Wait()
	for _, p := range e.pools {
		p.close()
	}
}

// request is one request on its way.
type request struct {
	class   Class
	group   string
	subject string
	due     time.Duration
	write   bool
}

func (e *engine) pool(key poolKey) *pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.pools[key]
	if !ok {
		p = newPool(e.d, key, e.size)
		e.pools[key] = p
	}
	return p
}

func (e *engine) ring(group, table string) *ring {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := [2]string{group, table}
	r, ok := e.acked[key]
	if !ok {
		r = &ring{}
		e.acked[key] = r
	}
	return r
}

// send carries out one request at the next running instance, as the platform's
// balancer would distribute it.
func (e *engine) send(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	n := e.next.Add(1)
	nodes := e.d.Instances()
	at := int(n % uint64(len(nodes)))
	for range nodes {
		if nodes[at].Instance() != nil {
			break
		}
		at = (at + 1) % len(nodes)
	}
	p := e.pool(poolKey{instance: at, caller: r.class.Caller, group: r.group})
	conn, err := p.acquire(ctx)
	violation := false
	if err == nil {
		if r.write {
			err = e.write(ctx, conn, r, n)
		} else {
			violation, err = e.read(ctx, conn, r, n)
		}
		p.release(conn, err == nil)
	} else if ctx.Err() != nil {
		err = errNoConnection
	}
	e.rec.add(sample{
		class: r.class.Name, group: r.group, instance: nodes[at].Settings.Instance, write: r.write, due: r.due, end: e.now(),
		outcome: gwtrace.Classify(err), violation: violation,
	})
}

func (e *engine) write(ctx context.Context, conn *pgx.Conn, r *request, n uint64) error {
	id := fmt.Sprintf("load-%d", n)
	_, err := conn.Exec(ctx, "insert into "+r.class.Table+" (id, subject, body) values ($1, $2, $3)", id, r.subject, e.body)
	if err == nil {
		e.ring(r.group, r.class.Table).add(acknowledged{id: id, subject: r.subject, at: e.now()})
	}
	return err
}

// read reads the records of a subject, where possible of one with a record that
// must be in the answer, and reports whether that record is missing.
func (e *engine) read(ctx context.Context, conn *pgx.Conn, r *request, n uint64) (bool, error) {
	sent := e.now()
	want, ok := e.ring(r.group, r.class.Table).pick(n, sent-r.class.Staleness)
	if ok {
		r.subject = want.subject
	}
	rows, err := conn.Query(ctx, fmt.Sprintf("select id, subject, body from %s where subject = $1 order by seq desc limit %d", r.class.Table, readRows), r.subject)
	if err != nil {
		return false, err
	}
	list, err := pgx.CollectRows(rows, pgx.RowToStructByPos[gwtrace.Row])
	if err != nil || !ok || len(list) == readRows {
		return false, err
	}
	for _, row := range list {
		if row.ID == want.id {
			return false, nil
		}
	}
	return true, nil
}

// errNoConnection means that all connections stayed in use.
var errNoConnection = &noConnectionError{}

type noConnectionError struct{}

func (*noConnectionError) Error() string { return "no connection became free in time" }

// SafeToRetry tells that nothing was sent.
func (*noConnectionError) SafeToRetry() bool { return true }
