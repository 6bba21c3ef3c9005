package gwfilter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwroute"
)

// serverShards divides the table of servers, each part under its own lock.
const serverShards = 64

// serverTable holds what answers have told about servers.
type serverTable struct{ shards [serverShards]serverShard }

type serverShard struct {
	mu      sync.Mutex
	servers map[string]*serverStat
}

// serverStat is what this instance knows about one server.
type serverStat struct {
	report  gwowner.Report
	at      time.Time
	latency time.Duration
	// lag is the expected replication lag as of lagAt.
	lag    time.Duration
	lagAt  time.Time
	health gwoutcome.Health
	// window bounds the attempts that have not ended.
	window gwlimit.Window
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

// Weights of moving averages and decays.
const (
	latencyWeight = 0.2
	maxLag        = 2 * time.Second
	lagHalfLife   = time.Second
)

// stat returns what is known about a server; sh is locked.
func (sh *serverShard) stat(name string) *serverStat {
	st, ok := sh.servers[name]
	if !ok {
		st = &serverStat{}
		sh.servers[name] = st
	}
	return st
}

// begin records the begin of an attempt, which note ends. It returns false, and
// records nothing, if too many have not been answered.
func (t *serverTable) begin(name string) bool {
	sh := t.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.stat(name).window.Take()
}

// note records the end of an attempt.
func (t *serverTable) note(name string, res gwowner.Result, started, now time.Time, waited time.Duration) {
	sh := t.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := sh.stat(name)
	st.window.Done(!unanswered(res.Event), now)
	if res.Event == gwoutcome.DialFailed || res.Event == gwoutcome.PeerUnreachable {
		st.health.Observe(gwoutcome.DialFailed, now)
	}
	if res.Event == gwoutcome.Answered {
		st.health.Observe(res.Event, now)
		took := now.Sub(started)
		st.latency += time.Duration(latencyWeight * float64(took-st.latency))
		st.lag, st.lagAt = st.lagNow(now)*4/5, now
	}
	if res.Event == gwoutcome.TooStale {
		st.lag, st.lagAt = min(maxLag, st.lagNow(now)+max(waited, time.Millisecond)), now
	}
	if !res.Report.Position.IsZero() {
		st.report, st.at = res.Report, now
	}
}

// unanswered reports whether an attempt ended without a word from the server's owner.
func unanswered(e gwoutcome.Event) bool {
	return e == gwoutcome.TimedOut || e == gwoutcome.PeerBroken || e == gwoutcome.PeerUnreachable
}

// lagNow is the expected lag, which is forgotten over time so that a replica
// that was behind is tried again.
func (st *serverStat) lagNow(now time.Time) time.Duration {
	if st.lag == 0 {
		return 0
	}
	return time.Duration(float64(st.lag) * math.Exp2(-float64(now.Sub(st.lagAt))/float64(lagHalfLife)))
}

// fill adds what is known about the server to s.
func (t *serverTable) fill(s *gwroute.Server, now time.Time) {
	sh := t.shard(s.Name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, ok := sh.servers[s.Name]
	if !ok {
		return
	}
	s.Position, s.ReportedAt = st.report.Position, st.at
	if st.report.StalenessKnown {
		s.FreshAsOf = st.at.Add(-st.report.Staleness)
	}
	s.Load, s.Latency, s.Lag, s.ServiceTime = st.report.Load, st.latency, st.lagNow(now), st.report.ServiceTime
	if st.report.LagKnown {
		s.Lag, s.LagKnown = st.report.Lag, true
	}
	s.Pending = float64(st.window.Pending())
	s.Unusable = s.Unusable || st.health.Ejected(now)
}

// choose returns the server for the request.
func (e *Entry) choose(r *request) gwroute.Choice {
	now := e.Clock.Now()
	return gwroute.Choose(r.need, e.candidates(r.session.group, now), now, e.rng)
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
		if s.Primary {
			// A primary that fails is replaced, not avoided; only while it is
			// replaced or leaving nothing is sent to it.
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

// localUpstream runs requests at the owner in this process.
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

// upstream returns the way to the owner of a server.
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
	return &pooledUpstream{RemoteSession: gwowner.NewRemoteSession(st), pool: e.streams, owner: m.Instance}, nil
}

// pooledUpstream is a stream to an owner that goes back to the pool.
type pooledUpstream struct {
	*gwowner.RemoteSession
	pool  *gwpeer.StreamPool
	owner string
	// dirty means that a transaction may be open at the owner.
	dirty bool
}

// Owner returns the instance at the other end.
func (u *pooledUpstream) Owner() string { return u.owner }

// Exec runs one request at the owner.
func (u *pooledUpstream) Exec(ctx context.Context, req *gwowner.Request, out writer) gwowner.Result {
	res := u.RemoteSession.Exec(ctx, req, out)
	u.dirty = res.TxStatus != 'I' || u.Broken()
	return res
}

// Close gives the stream back, or ends it when a transaction is open on it.
func (u *pooledUpstream) Close() {
	if u.dirty {
		u.RemoteSession.Close()
		return
	}
	u.pool.Put(u.Stream())
}
