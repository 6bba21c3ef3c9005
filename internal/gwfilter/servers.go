package gwfilter

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwroute"
)

// serverShards is the number of shards of the server table, each with its own lock.
const serverShards = 64

// serverTable holds the statistics of servers, as learned from their answers.
type serverTable struct{ shards [serverShards]serverShard }

type serverShard struct {
	mu      sync.Mutex
	servers map[string]*serverStat
	sweptAt time.Time
}

// serverStat holds the statistics of one server.
type serverStat struct {
	report gwowner.Report
	// reportedAt is when report arrived.
	reportedAt time.Time
	latency    time.Duration
	// lag is the estimated replication lag at lagAt.
	lag    time.Duration
	lagAt  time.Time
	health gwoutcome.Health
	// window bounds the attempts in flight to owner. The path to another owner is another one,
	// so that the window begins anew with it.
	window gwlimit.Window
	owner  string
	// held holds recent refusals, see serverTable.held.
	held map[holdKey]*heldRefusal
	// usedAt is when the last attempt ended.
	usedAt time.Time
}

// statLifetime is how long statistics are kept without an attempt. After that time they say nothing
// about a server, which has mostly been replaced by another one with a name of its own.
const statLifetime = 10 * time.Minute

// sweep drops the statistics that are not used any more; the caller must hold sh.mu.
func (sh *serverShard) sweep(now time.Time) {
	if now.Sub(sh.sweptAt) < statLifetime {
		return
	}
	sh.sweptAt = now
	maps.DeleteFunc(sh.servers, func(_ string, st *serverStat) bool {
		return st.window.Pending() == 0 && now.Sub(st.usedAt) > statLifetime
	})
}

func newServerTable() *serverTable {
	t := &serverTable{}
	for i := range t.shards {
		t.shards[i].servers = make(map[string]*serverStat)
	}
	return t
}

func (t *serverTable) shard(name string) *serverShard {
	return &t.shards[xxhash.Sum64String(name)%serverShards]
}

// Parameters of the moving average of latencies and of the decaying estimate of lag.
const (
	latencyWeight = 0.2 // of the latest answer
	maxLag        = 2 * time.Second
	lagHalfLife   = time.Second
)

// stat returns the statistics of a server, creating them if needed. The caller must
// hold sh.mu.
func (sh *serverShard) stat(name string) *serverStat {
	st, ok := sh.servers[name]
	if !ok {
		st = &serverStat{}
		sh.servers[name] = st
	}
	return st
}

// beginAttempt records the start of an attempt through an owner, which endAttempt ends. It
// returns false, and records nothing, if too many attempts have not been answered.
func (t *serverTable) beginAttempt(name, owner string) bool {
	sh := t.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := sh.stat(name)
	if st.owner != owner {
		st.owner, st.window = owner, gwlimit.Window{}
	}
	return st.window.Take()
}

// endAttempt records the end of an attempt that began at started; waited is the time that
// a read may have waited for a replica.
func (t *serverTable) endAttempt(name, owner string, res gwowner.Result, started, now time.Time, waited time.Duration) {
	sh := t.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sweep(now)
	st := sh.stat(name)
	st.usedAt = now
	if st.owner == owner { // otherwise it counts in no window any more
		st.window.Done(!res.OwnerSilent, now)
	}
	if res.Event == gwoutcome.DialFailed || res.Event == gwoutcome.PeerUnreachable {
		st.health.Observe(gwoutcome.DialFailed, now)
	}
	if res.Event == gwoutcome.Answered {
		st.health.Observe(res.Event, now)
		elapsed := now.Sub(started)
		st.latency += time.Duration(latencyWeight * float64(elapsed-st.latency))
		st.lag, st.lagAt = st.lagNow(now)*4/5, now
	}
	if res.Event == gwoutcome.TooStale {
		st.lag, st.lagAt = min(maxLag, st.lagNow(now)+max(waited, time.Millisecond)), now
	}
	if !res.Report.Position.IsZero() {
		st.report, st.reportedAt = res.Report, now
	}
}

// lagNow returns the estimated lag, which decays so that a replica that was behind is
// tried again.
func (st *serverStat) lagNow(now time.Time) time.Duration {
	if st.lag == 0 {
		return 0
	}
	return time.Duration(float64(st.lag) * math.Exp2(-float64(now.Sub(st.lagAt))/float64(lagHalfLife)))
}

// fill sets the statistics of the server in s.
func (t *serverTable) fill(s *gwroute.Server, now time.Time) {
	sh := t.shard(s.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, ok := sh.servers[s.Name]
	if !ok {
		return
	}
	s.Position, s.ReportedAt = st.report.Position, st.reportedAt
	if st.report.StalenessKnown {
		s.FreshAsOf = st.reportedAt.Add(-st.report.Staleness)
	}
	s.Load, s.Latency, s.Lag, s.ServiceTime = st.report.Load, st.latency, st.lagNow(now), st.report.ServiceTime
	if st.report.LagKnown {
		s.Lag, s.LagKnown = st.report.Lag, true
	}
	s.Speed = speedOf(st.report.Speed)
	s.Pending = float64(st.window.Pending())
	s.Unusable = s.Unusable || st.health.Ejected(now)
}

// choose returns the server for the request.
func (e *Entry) choose(r *request) gwroute.Choice {
	now := e.Clock.Now()
	servers := e.candidates(r.session.group, now)
	c := gwroute.Choose(r.need, servers, now, e.rng)
	r.away = ""
	if s, ok := c.(gwroute.Serve); ok {
		r.away = gwroute.AwayRule(r.need, servers, s.Server, now)
	}
	return c
}

func (e *Entry) candidates(group string, now time.Time) []gwroute.Server {
	view := e.Views.Current()
	g := view.Groups[group]
	t := e.Members.Topology()
	facts := e.Directory.Group(group)
	out := make([]gwroute.Server, 0, len(facts))
	for _, f := range facts {
		if f.Gone {
			continue
		}
		slots := float64(max(1, f.Slots))
		s := gwroute.Server{Name: f.Server, Primary: f.Server == g.Primary, Unusable: f.Leaving, Distance: e.distance(view, t, f)}
		e.servers.fill(&s, now)
		s.Pending /= slots
		s.Speed.SlotShare /= slots
		s.Speed.Retest = gwroute.RetestAfter(len(t.Live))
		if s.Primary {
			// A failing primary is replaced rather than avoided. It is unusable only
			// while it is being replaced or leaving.
			s.Unusable = g.Changing || f.Leaving
		}
		out = append(out, s)
	}
	return out
}

func (e *Entry) distance(view *gwcontrol.View, t *gwcontrol.Topology, f gwcontrol.ServerFacts) gwroute.Distance {
	if f.DataCentre == t.Self.DataCentre {
		return gwroute.SameDataCentre
	}
	if region := view.Region(f.DataCentre); region != "" && region == t.Self.Region {
		return gwroute.SameRegion
	}
	return gwroute.OtherRegion
}

// localUpstream runs requests at this instance's own owner.
type localUpstream struct {
	session *gwowner.Session
	name    string
}

// Owner returns the name of this instance.
func (u localUpstream) Owner() string { return u.name }

// Exec runs one request.
func (u localUpstream) Exec(ctx context.Context, req *gwowner.Request, out writer) gwowner.Result {
	return u.session.Exec(ctx, req, out)
}

// Close ends the session at the owner.
func (u localUpstream) Close() { u.session.Close() }

// upstream returns an upstream to the owner of a server.
func (e *Entry) upstream(ctx context.Context, server string) (upstream, error) {
	f, _ := e.Directory.Server(server)
	t := e.Members.Topology()
	m, ok := t.Owner(e.Directory, server, f.DataCentre, e.Views.Current().Region(f.DataCentre))
	if !ok {
		return nil, &gwcontrol.Error{Op: "find owner", Kind: gwcontrol.UnknownServer, Detail: server}
	}
	if m.Instance == t.Self.Instance {
		return localUpstream{session: e.Owner.NewSession(), name: t.Self.Instance}, nil
	}
	st, err := e.streams.Get(ctx, m.Address)
	if err != nil {
		return nil, err
	}
	return &pooledUpstream{RemoteSession: gwowner.NewRemoteSession(st), pool: e.streams, owner: m.Instance, budget: e.Budget}, nil
}

// pooledUpstream runs requests over a pooled stream to an owner on another instance.
type pooledUpstream struct {
	*gwowner.RemoteSession
	pool  *gwpeer.StreamPool
	owner string
	// budget has the memory of statements and answers; nil for no bound.
	budget *gwbudget.Budget
	// dirty means that the stream is broken or a transaction may be open on it, so
	// that it must not be reused.
	dirty bool
	// refused means that a request was not sent, as there was no memory for it.
	refused bool
}

// Owner returns the name of the owner's instance.
func (u *pooledUpstream) Owner() string { return u.owner }

// Exec runs one request at the owner.
func (u *pooledUpstream) Exec(ctx context.Context, req *gwowner.Request, out writer) gwowner.Result {
	u.dirty = true // until the whole answer has arrived, even if Exec panics
	res := u.execWithMemory(ctx, req, out)
	u.dirty = res.TxStatus != 'I' || u.Broken() || u.refused
	return res
}

// Close returns the stream to the pool, or closes it if it cannot be reused.
func (u *pooledUpstream) Close() {
	if u.dirty {
		u.RemoteSession.Close()
		return
	}
	u.pool.Put(u.Stream())
}
