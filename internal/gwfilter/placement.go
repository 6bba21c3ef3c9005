package gwfilter

import (
	"cmp"
	"slices"
	"time"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/pkg/gwroute"
	"gentianward.example/gentianward/pkg/gwsession"
)

// PlacementQuery describes a request whose placement is to be explained.
type PlacementQuery struct {
	Database string
	Write    bool
	// Position is the position that the request's session has seen; zero for none.
	Position gwsession.Position
}

// Placement tells where a request would go now. Times are in milliseconds.
type Placement struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	Database   string `json:"database"`
	Class      string `json:"class"`
	Group      string `json:"group"`
	Kind       string `json:"kind"`
	Position   string `json:"position,omitempty"`
	// Server is empty if no server can serve the request now; Reason tells why.
	Server string `json:"server"`
	Rule   string `json:"rule"`
	Reason string `json:"reason"`
	// Manifest, Term and Primary are of the control state that this instance knows.
	Manifest   uint64               `json:"manifest"`
	Term       uint64               `json:"term"`
	Primary    string               `json:"primary"`
	Changing   bool                 `json:"changing"`
	Candidates []PlacementCandidate `json:"candidates"`
	// ControlAgeMillis is the time since the leader of the replicated log was last heard, -1 if it
	// never was.
	ControlAgeMillis int64 `json:"controlAgeMillis"`
}

// PlacementCandidate is a server that the request could go to. Without a report, what the server and
// its owner report is unknown.
type PlacementCandidate struct {
	Server       string `json:"server"`
	DataCentre   string `json:"dataCentre"`
	Primary      bool   `json:"primary"`
	Owner        string `json:"owner"` // empty: no live instance owns it
	Reachable    bool   `json:"reachable"`
	Ejected      bool   `json:"ejected"`
	Leaving      bool   `json:"leaving"`
	Chosen       bool   `json:"chosen"`
	Rule         string `json:"rule"`
	Reason       string `json:"reason"`
	ReportMillis int64  `json:"reportAgeMillis"` // -1: no report
	Position     string `json:"position"`
	// StalenessMillis is that of the report with its age, -1 if unknown.
	StalenessMillis int64   `json:"stalenessMillis"`
	WaitMillis      int64   `json:"waitMillis"` // until the server is recent enough; -1: unknown
	Load            float64 `json:"load"`       // waiting and running per slot, as reported
	Unanswered      float64 `json:"unanswered"` // of this instance, per slot
	Slowness        float64 `json:"slowness"`   // multiple of the usual time; 1 if not reported
	Confidence      float64 `json:"confidence"`
	SlotShare       float64 `json:"slotShare"` // used well
	ServiceMillis   float64 `json:"serviceMillis"`
	CostMillis      float64 `json:"costMillis"`
}

// ExplainPlacement returns where a request would go now. It sends nothing to a server or an instance
// and changes nothing; the random part of the costs is left out.
func (e *Entry) ExplainPlacement(q PlacementQuery) (Placement, error) {
	view, now := e.Views.Current(), e.Clock.Now()
	class, group, err := e.placementTarget(view, q.Database)
	if err != nil {
		return Placement{}, err
	}
	g, t := view.Groups[group], e.Members.Topology()
	r := e.rules(class)
	need := gwroute.Need{Write: q.Write && !r.class.ReadOnly, Policy: policy(r.routing), WaitBudget: r.class.WaitBudget.Duration, Position: q.Position, RequiredAt: now}
	kind := "write"
	if !need.Write {
		kind = "read"
		need.Staleness = r.class.Staleness.Duration
		if need.Policy == gwroute.Session && need.Staleness == 0 {
			need.Policy = gwroute.PrimaryOnly // see consistency
		}
	}
	out := Placement{
		Instance: t.Self.Instance, DataCentre: t.Self.DataCentre, Database: q.Database, Class: class, Group: group, Kind: kind,
		Manifest: view.Number, Term: g.Term, Primary: g.Primary, Changing: g.Changing, Candidates: []PlacementCandidate{}, ControlAgeMillis: -1,
	}
	if !q.Position.IsZero() {
		out.Position = q.Position.String()
	}
	for _, c := range gwroute.Explain(need, e.candidates(group, now), now) {
		pc := e.placementCandidate(view, t, c, now)
		if c.Chosen {
			out.Server, out.Rule, out.Reason = pc.Server, pc.Rule, pc.Reason
		}
		out.Candidates = append(out.Candidates, pc)
	}
	if out.Server == "" {
		out.Rule, out.Reason = "none", gwroute.ReasonNoServer
		if need.Write || need.Policy == gwroute.PrimaryOnly {
			out.Reason = gwroute.ReasonNoPrimary
		}
	}
	slices.SortFunc(out.Candidates, func(a, b PlacementCandidate) int {
		return cmp.Or(cmp.Compare(a.CostMillis, b.CostMillis), cmp.Compare(a.Server, b.Server))
	})
	return out, nil
}

// placementTarget returns the class and the group of a database of the statement protocol.
func (e *Entry) placementTarget(view *gwcontrol.View, database string) (class, group string, err error) {
	unknown := &gwcontrol.Error{Op: "explain placement", Kind: gwcontrol.UnknownServer, Detail: "the database is not in the manifest that this instance knows"}
	if view.Manifest == nil {
		return "", "", unknown
	}
	caller, ok := view.Manifest.Caller(database)
	if !ok || len(caller.Databases) == 0 {
		return "", "", unknown
	}
	g, ok := view.Manifest.Group(caller.Databases[0])
	if !ok {
		return "", "", unknown
	}
	return caller.Class, g.Name, nil
}

// placementCandidate describes a candidate, with its owner.
func (e *Entry) placementCandidate(view *gwcontrol.View, t *gwcontrol.Topology, c gwroute.Candidate, now time.Time) PlacementCandidate {
	s := c.Server
	f, _ := e.Directory.Server(s.Name)
	owner, reachable := t.Owner(e.Directory, s.Name, f.DataCentre, view.Region(f.DataCentre))
	out := PlacementCandidate{
		Server: s.Name, DataCentre: f.DataCentre, Primary: s.Primary, Owner: owner.Instance, Reachable: reachable, Leaving: f.Leaving,
		Ejected: e.servers.ejected(s.Name, now), Chosen: c.Chosen, Rule: string(c.Rule), Reason: c.Rule.Text(),
		ReportMillis: -1, StalenessMillis: -1, WaitMillis: -1, Load: s.Load, Unanswered: s.Pending,
		Slowness: cmp.Or(s.Speed.Factor, 1), Confidence: s.Speed.Confidence, SlotShare: cmp.Or(s.Speed.SlotShare, 1),
		ServiceMillis: millis(c.Service), CostMillis: millis(c.Cost),
	}
	if !s.ReportedAt.IsZero() {
		out.ReportMillis, out.Position = now.Sub(s.ReportedAt).Milliseconds(), s.Position.String()
	}
	if !s.FreshAsOf.IsZero() {
		out.StalenessMillis = now.Sub(s.FreshAsOf).Milliseconds()
	}
	if c.Wait < time.Hour {
		out.WaitMillis = c.Wait.Milliseconds()
	} else {
		out.CostMillis = -1
	}
	return out
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// ejected reports whether a server is ejected at now.
func (t *serverTable) ejected(name string, now time.Time) bool {
	sh := t.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, ok := sh.servers[name]
	return ok && st.health.Ejected(now)
}
