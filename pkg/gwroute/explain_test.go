package gwroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an explanation that names another server than the one to which requests go, or
// another cause than the one that decided.
func TestExplain(t *testing.T) {
	near := Server{Name: "near", Distance: SameDataCentre, ServiceTime: 20 * time.Millisecond, ReportedAt: testNow, LagKnown: true}
	far := Server{Name: "far", Distance: SameRegion, ServiceTime: 20 * time.Millisecond, ReportedAt: testNow, LagKnown: true}
	primary := Server{Name: "primary", Primary: true, Distance: SameRegion, ServiceTime: 20 * time.Millisecond, ReportedAt: testNow}
	with := func(s Server, change func(*Server)) Server {
		change(&s)
		return s
	}
	read := Need{Staleness: time.Second, WaitBudget: 100 * time.Millisecond}
	for _, tt := range []struct {
		name   string
		need   Need
		near   Server
		chosen string
		rule   Rule // for the near server
	}{
		{"idle", read, near, "near", RuleLeastTime},
		{"full", read, with(near, func(s *Server) { s.Load = 3 }), "far", RuleQueue},
		{"slow", read, with(near, func(s *Server) {
			s.ServiceTime, s.Speed = 160*time.Millisecond, Speed{Factor: 8, Confidence: 1, Retest: time.Second}
		}), "far", RuleSlow},
		{"slow at all times", read, with(near, func(s *Server) { s.ServiceTime = 100 * time.Millisecond }), "far", RuleSlow},
		{"fails", read, with(near, func(s *Server) { s.Speed = Speed{Errors: 0.6} }), "far", RuleErrors},
		{"lags", read, with(near, func(s *Server) { s.Lag = 1080 * time.Millisecond }), "far", RulePosition},
		{"lags far behind", read, with(near, func(s *Server) { s.Lag = 2 * time.Second }), "far", RuleBehind},
		{"ejected", read, with(near, func(s *Server) { s.Unusable = true }), "far", RuleUnusable},
		{"refused", Need{Staleness: time.Second, WaitBudget: time.Second, Excluded: map[string]bool{"near": true}}, near, "far", RuleRefused},
		{"write", Need{Write: true}, near, "primary", RuleNotPrimary},
	} {
		servers := []Server{tt.near, far, primary}
		got := Explain(tt.need, servers, testNow)
		assert.Equal(t, tt.rule, got[0].Rule, tt.name)
		c, ok := Choose(tt.need, servers, testNow, rand.New(rand.NewPCG(1, 1))).(Serve)
		assert.True(t, ok, tt.name)
		for _, g := range got {
			assert.Equal(t, g.Server.Name == tt.chosen, g.Chosen, "%s: %s", tt.name, g.Server.Name)
			assert.Equal(t, g.Server.Name == c.Server.Name, g.Chosen, "%s: Choose takes %s", tt.name, c.Server.Name)
			assert.NotEmpty(t, g.Rule.Text())
		}
		want := tt.rule
		if tt.chosen == "near" || tt.need.Write {
			want = ""
		}
		assert.Equal(t, want, AwayRule(tt.need, servers, c.Server, testNow), tt.name)
	}
}
