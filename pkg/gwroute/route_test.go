package gwroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/pkg/gwsession"
)

var testNow = time.Unix(1_800_000_000, 0)

func at(offset uint64) gwsession.Position { return gwsession.Position{Term: 1, Offset: offset} }

func server(name string, d Distance, offset uint64) Server {
	return Server{Name: name, Distance: d, Position: at(offset), ReportedAt: testNow, FreshAsOf: testNow.Add(-100 * time.Millisecond), Lag: 5 * time.Millisecond}
}

func primary(s Server) Server  { s.Primary = true; return s }
func unusable(s Server) Server { s.Unusable = true; return s }

// Guards against reads that miss the session's writes or exceed the class's staleness,
// and against needless use of the charged link between regions.
func TestChoose(t *testing.T) {
	servers := []Server{
		server("near", SameDataCentre, 10),
		primary(server("primary", SameRegion, 20)),
		server("far", OtherRegion, 20),
	}
	old := server("near", SameDataCentre, 10)
	old.FreshAsOf = testNow.Add(-10 * time.Second)
	unknown := server("near", SameDataCentre, 10)
	unknown.FreshAsOf = time.Time{}

	tests := []struct {
		name    string
		need    Need
		servers []Server
		want    string
	}{
		{name: "write goes to the primary", need: Need{Write: true}, servers: servers, want: "primary"},
		{name: "nearest replica", need: Need{}, servers: servers, want: "near"},
		{name: "replica behind the session", need: Need{Position: at(15), RequiredAt: testNow}, servers: servers, want: "primary"},
		{name: "replica that will catch up", need: Need{Position: at(15), RequiredAt: testNow, WaitBudget: 20 * time.Millisecond}, servers: servers, want: "near"},
		{name: "replica too stale", need: Need{Staleness: time.Second}, servers: []Server{old, servers[1]}, want: "primary"},
		{name: "replica of unknown staleness", need: Need{Staleness: time.Second}, servers: []Server{unknown, servers[1]}, want: "primary"},
		{name: "other region is the last resort", need: Need{}, servers: servers[2:], want: "far"},
		{name: "refused server is not asked again", need: Need{Excluded: map[string]bool{"near": true}}, servers: servers, want: "primary"},
		{name: "unusable replica", need: Need{}, servers: []Server{unusable(servers[0]), servers[1]}, want: "primary"},
		{name: "no primary for a write", need: Need{Write: true}, servers: []Server{servers[0]}, want: ReasonNoPrimary},
		{name: "nothing fresh", need: Need{Staleness: time.Second}, servers: []Server{old}, want: ReasonNoServer},
		{name: "primary only", need: Need{Policy: PrimaryOnly}, servers: servers, want: "primary"},
		{name: "round robin", need: Need{Policy: RoundRobin, Turn: 1}, servers: servers, want: "far"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Choose(tt.need, tt.servers, testNow, rand.New(rand.NewPCG(1, 1)))
			switch c := got.(type) {
			case Serve:
				assert.Equal(t, tt.want, c.Server.Name)
			case Reject:
				assert.Equal(t, tt.want, c.Reason)
			}
		})
	}
}

// Guards against all requests going to one of several equal replicas.
func TestChooseSpreadsLoad(t *testing.T) {
	servers := []Server{server("a", SameDataCentre, 1), server("b", SameDataCentre, 1), server("c", SameDataCentre, 1)}
	servers[2].Load = 50
	rng := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 3000 {
		if c, ok := Choose(Need{}, servers, testNow, rng).(Serve); ok {
			counts[c.Server.Name]++
		}
	}
	assert.Greater(t, counts["a"], 1000)
	assert.Greater(t, counts["b"], 1000)
	assert.Zero(t, counts["c"], "the loaded server is never chosen")
}

// Guards against a near replica whose queue grows while other servers have free slots: a
// burst in one data centre led to timeouts there while the other servers of the group
// were at a quarter of their capacity.
func TestChooseLeavesLoadedServer(t *testing.T) {
	near, next, far := server("near", SameDataCentre, 1), server("next", SameRegion, 1), server("far", OtherRegion, 1)
	tests := []struct {
		name string
		near Server
		want string
	}{
		{"idle", near, "near"},
		{"a short queue", withLoad(near, 0.4, 0), "near"},
		{"a queue that outweighs the distance", withLoad(near, 4, 0), "next"},
		{"unanswered requests of this instance", withLoad(near, 0, 4), "next"},
		{"a slow server", withService(near, 60*time.Millisecond), "next"},
		{"a queue that has drained since", aged(withLoad(near, 4, 0), 2*time.Second), "near"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, _ := Choose(Need{}, []Server{tt.near, next, far}, testNow, rand.New(rand.NewPCG(1, 1))).(Serve)
			assert.Equal(t, tt.want, got.Server.Name)
		})
	}
	got, _ := Choose(Need{}, []Server{withLoad(near, 12, 0), far}, testNow, rand.New(rand.NewPCG(1, 1))).(Serve)
	assert.Equal(t, "far", got.Server.Name, "the other region, when the wait exceeds the cost of the link")
}

// Guards against reads that overload a primary while lagging replicas could serve them
// within the latency aim, and against waits when the primary is free.
func TestChooseWaitsForLaggingReplica(t *testing.T) {
	lagging := server("late", SameDataCentre, 0)
	lagging.Lag, lagging.LagKnown = 2*time.Second, true
	primaryServer := primary(server("primary", SameRegion, 20))
	bounded := Need{Staleness: 1500 * time.Millisecond, WaitBudget: 600 * time.Millisecond}
	tests := []struct {
		name    string
		need    Need
		primary Server
		want    string
	}{
		{"the primary is free", bounded, primaryServer, "primary"},
		{"the primary has a queue", bounded, withLoad(primaryServer, 9, 0), "late"},
		{"fresh enough without a wait", Need{Staleness: 2500 * time.Millisecond}, primaryServer, "late"},
		{"a write of the session that the replica has", Need{Position: at(3), RequiredAt: testNow.Add(-3 * time.Second)}, primaryServer, "late"},
		{"a write of the session that the replica will not have in time", Need{Position: at(3), RequiredAt: testNow, WaitBudget: 600 * time.Millisecond}, withLoad(primaryServer, 9, 0), "primary"},
	}
	for _, tt := range tests {
		got, _ := Choose(tt.need, []Server{lagging, tt.primary}, testNow, rand.New(rand.NewPCG(1, 1))).(Serve)
		assert.Equal(t, tt.want, got.Server.Name, tt.name)
	}
}

func withLoad(s Server, reported, pending float64) Server {
	s.Load, s.Pending = reported, pending
	return s
}

func withService(s Server, d time.Duration) Server { s.ServiceTime = d; return s }
func aged(s Server, d time.Duration) Server        { s.ReportedAt = s.ReportedAt.Add(-d); return s }

func BenchmarkChoose(b *testing.B) {
	servers := []Server{server("a", SameDataCentre, 1), server("b", SameRegion, 1), primary(server("c", OtherRegion, 1))}
	rng := rand.New(rand.NewPCG(1, 2))
	for b.Loop() {
		Choose(Need{Staleness: time.Second}, servers, testNow, rng)
	}
}
