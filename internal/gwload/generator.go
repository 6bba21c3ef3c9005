package gwload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"gentianward.example/gentianward/internal/gwdeploy"
	"gentianward.example/gentianward/internal/gwtrace"
)

// Parameters of requests.
const (
	// requestTimeout bounds a request, including the wait for a connection.
	requestTimeout = 12 * time.Second
	// maxInFlight bounds the requests in flight, because each costs a goroutine and
	// a connection. Arrivals beyond it are counted as dropped.
	maxInFlight = 4000
	// subjects is the number of households or members per group.
	subjects = 200
	// ringSize is the number of recent acknowledged writes, per group and table,
	// against which reads are checked.
	ringSize = 64
	// maxReadRows bounds the rows that a read returns.
	maxReadRows = 50
)

// generator sends the requests of an open-loop load.
type generator struct {
	d        *gwdeploy.Deployment
	groups   []string
	ramp     time.Duration
	poolSize int // connections of a caller to a group at an instance
	started  time.Time
	rec      *recorder

	inFlight atomic.Int64
	sequence atomic.Uint64
	wg       sync.WaitGroup

	mu    sync.Mutex
	pools map[poolKey]*pool
	rings map[[2]string]*ring
	// seed determines the records that are written.
	seed uint64
}

func newGenerator(d *gwdeploy.Deployment, rec *recorder, groups []string, poolSize int, seed uint64) *generator {
	return &generator{
		d: d, groups: groups, poolSize: max(poolSize, 1), rec: rec, started: time.Now(),
		pools: make(map[poolKey]*pool), rings: make(map[[2]string]*ring), seed: seed,
	}
}

// now returns the time since the start of the generator.
func (g *generator) now() time.Duration { return time.Since(g.started) }

// generate sends the requests of one class until the context ends. It waits for no
// response, so that a slow deployment doesn't reduce the arrival rate.
func (g *generator) generate(ctx context.Context, c Class, rng *rand.Rand) {
	due := g.now()
	for {
		due += g.nextInterval(c, due, rng)
		if wait := due - g.now(); wait > 0 {
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
		group := g.groups[rng.IntN(len(g.groups))]
		r := request{class: c, group: group, due: due, write: rng.Float64() < c.WriteShare, subject: newSubject(rng.IntN(subjects))}
		if g.inFlight.Add(1) > maxInFlight {
			g.inFlight.Add(-1)
			g.rec.drop(c.Name)
			continue
		}
		g.wg.Go(func() {
			defer g.inFlight.Add(-1)
			g.send(&r)
		})
	}
}

// nextInterval returns the time to the next arrival, exponentially distributed, with
// a rate that rises during the ramp.
func (g *generator) nextInterval(c Class, at time.Duration, rng *rand.Rand) time.Duration {
	rate := c.Rate
	if at < g.ramp {
		rate *= max(float64(at)/float64(g.ramp), 0.05)
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// wait waits until all requests have ended, and closes the pools.
func (g *generator) wait() {
	g.wg.Wait()
	for _, p := range g.pools {
		p.close()
	}
}

// request is one arrival, before it is sent.
type request struct {
	class   Class
	group   string
	subject string
	due     time.Duration
	write   bool
}

// pool returns the pool for a key, creating it on first use.
func (g *generator) pool(key poolKey) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pools[key]
	if !ok {
		p = newPool(g.d, key, g.poolSize)
		g.pools[key] = p
	}
	return p
}

// ring returns the recent acknowledged writes of a group and table.
func (g *generator) ring(group, table string) *ring {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := [2]string{group, table}
	r, ok := g.rings[key]
	if !ok {
		r = &ring{}
		g.rings[key] = r
	}
	return r
}

// send executes one request at the next running instance in round-robin order, as
// the platform's load balancer would, and records the result.
func (g *generator) send(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	n := g.sequence.Add(1)
	nodes := g.d.Instances()
	at := int(n % uint64(len(nodes)))
	for range nodes {
		if nodes[at].Instance() != nil {
			break
		}
		at = (at + 1) % len(nodes)
	}
	p := g.pool(poolKey{instance: at, caller: r.class.Caller, group: r.group})
	conn, err := p.acquire(ctx)
	var found findings
	if err == nil {
		if r.write {
			err = g.write(ctx, conn, r, n)
		} else {
			found, err = g.read(ctx, conn, r, n)
		}
		p.release(conn, err == nil)
	} else if ctx.Err() != nil {
		err = errNoConnection
	}
	g.rec.add(sample{
		class: r.class.Name, group: r.group, instance: nodes[at].Settings.Instance, write: r.write, due: r.due, end: g.now(),
		outcome: gwtrace.Classify(err), findings: found,
	})
}

func (g *generator) write(ctx context.Context, conn *pgx.Conn, r *request, n uint64) error {
	row := newRecord(g.seed, n, r.subject)
	tag, err := conn.Exec(ctx, "insert into "+tableOf(r.class.Table)+" (id, subject, body, data) values ($1, $2, $3, $4)", queryMode(n), row.ID, row.Subject, row.Body, row.Data)
	if err == nil && tag.String() != "INSERT 0 1" {
		err = &pgconn.PgError{Code: "XX000", Message: "unexpected command tag of the insert: " + tag.String()}
	}
	if err == nil {
		g.ring(r.group, r.class.Table).add(ackedWrite{id: row.ID, subject: r.subject, at: g.now()})
	}
	return err
}

// findings are what is wrong with the rows of a read.
type findings struct {
	// violation means that the rows violate the accepted staleness.
	violation bool
	// mismatch describes a row that is not exactly what was written; empty if there is none.
	mismatch string
}

// read reads the records of a subject and checks them. If there is a write that was
// acknowledged early enough, it reads the subject of that write, whose record must then be
// in the result, unless the result has reached maxReadRows.
func (g *generator) read(ctx context.Context, conn *pgx.Conn, r *request, n uint64) (findings, error) {
	sent := g.now()
	want, ok := g.ring(r.group, r.class.Table).pick(n, sent-r.class.Staleness)
	if ok {
		r.subject = want.subject
	}
	rows, err := conn.Query(ctx, fmt.Sprintf("select id, subject, body, data from %s where subject = $1 order by seq desc limit %d", tableOf(r.class.Table), maxReadRows), queryMode(n), r.subject)
	if err != nil {
		return findings{}, err
	}
	list, err := pgx.CollectRows(rows, pgx.RowToStructByPos[record])
	if err != nil {
		return findings{}, err
	}
	found := findings{violation: ok && len(list) < maxReadRows}
	for _, row := range list {
		if row.ID == want.id {
			found.violation = false
		}
		if difference := checkRecord(g.seed, row, r.subject); difference != "" {
			found.mismatch = difference
		}
	}
	return found, nil
}

// errNoConnection means that no connection of the pool became free before the timeout.
var errNoConnection = &noConnectionError{}

type noConnectionError struct{}

func (*noConnectionError) Error() string {
	return "no connection of the pool became free within the request timeout"
}

// SafeToRetry reports that the request was not sent.
func (*noConnectionError) SafeToRetry() bool { return true }
