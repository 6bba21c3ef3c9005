package gwload

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"gentianward.example/gentianward/internal/gwdeploy"
	"gentianward.example/gentianward/internal/gwtrace"
)

// Paths are the ways in which the primary or owner of a group changes.
const (
	PathPrimaryCrash  = "primary-crash"
	PathOwnerCrash    = "owner-crash"
	PathDataCentreCut = "data-centre-cut"
	PathPlanned       = "planned"
)

// Paths lists all paths.
var Paths = []string{PathPrimaryCrash, PathOwnerCrash, PathDataCentreCut, PathPlanned}

// generalGapLimit is the limit for every failover gap, whatever its path.
const generalGapLimit = 12 * time.Second

// Target returns the required limit of the failover gap of a path. A crash of the
// owner alone has no limit of its own, only the general one.
func Target(path string) time.Duration {
	switch path {
	case PathPrimaryCrash:
		return time.Second
	case PathDataCentreCut:
		return 4 * time.Second
	case PathPlanned:
		return 300 * time.Millisecond
	default:
		return generalGapLimit
	}
}

// GapOptions configures the measurement of failover gaps.
type GapOptions struct {
	Deployment string
	Path       string
	// Count is the number of changes to measure.
	Count int
	// Rate is the number of writes per second to the group that changes.
	Rate  float64
	Delay bool
	Log   *slog.Logger
	// Progress is called after each change; may be nil.
	Progress func(GapSample)
}

// GapSample is the failover gap of one change.
type GapSample struct {
	Deployment string        `json:"deployment"`
	Path       string        `json:"path"`
	Group      string        `json:"group"`
	From       string        `json:"from"` // primary or owner before the change
	Gap        time.Duration `json:"gap"`
	// Open means that the gap had not ended when the measurement did.
	Open bool `json:"open,omitempty"`
}

// GapResult is the outcome of a measurement.
type GapResult struct {
	Deployment string        `json:"deployment"`
	Path       string        `json:"path"`
	Samples    []GapSample   `json:"samples"`
	P50        time.Duration `json:"p50"`
	P99        time.Duration `json:"p99"`
	Max        time.Duration `json:"max"`
	Target     time.Duration `json:"target"`
	Met        bool          `json:"met"`
}

// Parameters of a measurement.
const (
	gapReadyTimeout = 20 * time.Second
	gapWarmUp       = 700 * time.Millisecond // writes before the fault
	gapPollInterval = 5 * time.Millisecond
	gapEndAcks      = 20 // acknowledged writes after the change that complete a measurement
	gapTimeout      = 15 * time.Second
	gapConnections  = 64
)

// MeasureGaps changes the primary or owner of one group after another and
// measures how long each group acknowledges no write. It starts a new deployment
// when each group has changed once.
func MeasureGaps(ctx context.Context, o GapOptions) (*GapResult, error) {
	if !slices.Contains(Paths, o.Path) {
		return nil, &Error{Op: "measure gaps", Kind: BadOption, Detail: "path \"" + o.Path + "\" does not exist"}
	}
	res := &GapResult{Deployment: o.Deployment, Path: o.Path, Target: Target(o.Path)}
	for len(res.Samples) < o.Count {
		list, err := o.measureRound(ctx, o.Count-len(res.Samples))
		res.Samples = append(res.Samples, list...)
		if err != nil {
			return res, err
		}
	}
	res.summarize()
	return res, nil
}

// summarize computes the quantiles, and whether every gap ended below the target.
func (r *GapResult) summarize() {
	h := newHistogram()
	r.Met = len(r.Samples) > 0
	for _, s := range r.Samples {
		_ = h.RecordValue(min(s.Gap.Microseconds(), maxLatency))
		r.Met = r.Met && s.Gap < r.Target && !s.Open
	}
	r.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	r.Max = time.Duration(h.Max()) * time.Microsecond
}

// measureRound starts a deployment and changes each group once, up to limit groups.
func (o GapOptions) measureRound(ctx context.Context, limit int) ([]GapSample, error) {
	plan, err := gwdeploy.NewPlan(o.Deployment)
	if err != nil {
		return nil, err
	}
	d, err := gwdeploy.Start(ctx, gwdeploy.Options{Plan: plan, Delay: o.Delay, Log: o.Log})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	profile, err := gwtrace.NewProfile(o.Deployment)
	if err != nil {
		return nil, err
	}
	if err := waitReady(ctx, d); err != nil {
		return nil, err
	}
	classes, err := Mix(o.Deployment, o.Rate)
	if err != nil {
		return nil, err
	}
	if err := gwtrace.Setup(ctx, d, setupOf(profile, classes)); err != nil {
		return nil, err
	}
	var out []GapSample
	for _, group := range d.Groups()[:min(limit, len(d.Groups()))] {
		if err := waitReady(ctx, d); err != nil {
			return out, fmt.Errorf("wait until ready before the change of %s: %w", group, err)
		}
		s, repair, err := o.measureChange(ctx, d, group)
		if err != nil {
			return out, err
		}
		out = append(out, s)
		if o.Progress != nil {
			o.Progress(s)
		}
		if err := repair(); err != nil {
			return out, err
		}
	}
	return out, nil
}

// waitReady waits until the deployment is ready and its servers have converged.
func waitReady(ctx context.Context, d *gwdeploy.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, gapReadyTimeout)
	defer cancel()
	if err := d.WaitReady(ctx); err != nil {
		return err
	}
	return gwtrace.WaitConverged(ctx, d)
}

// measureChange changes the primary or owner of a group under writes and measures the
// gap. It returns a function that repairs the deployment and waits for the requests.
func (o GapOptions) measureChange(ctx context.Context, d *gwdeploy.Deployment, group string) (GapSample, func() error, error) {
	classes, err := Mix(o.Deployment, o.Rate)
	if err != nil {
		return GapSample{}, nil, err
	}
	c := classes[0]
	c.Rate, c.WriteShare = o.Rate, 1
	g := newGenerator(d, newRecorder(time.Second), []string{group}, gapConnections, 1)
	sending, stop := context.WithCancel(ctx)
	g.wg.Go(func() { g.generate(sending, c, rand.New(rand.NewPCG(1, 1))) })
	time.Sleep(gapWarmUp)
	s := GapSample{Deployment: o.Deployment, Path: o.Path, Group: group, From: d.Primary(group)}
	at := g.now()
	changed, repair := o.inject(ctx, d, group, &s)
	g.awaitAcks(ctx, group, at, changed)
	end := g.now()
	stop()
	s.Gap, s.Open = g.rec.gap(group, at, end)
	return s, func() error {
		err := repair()
		g.wait()
		return err
	}, nil
}

// awaitAcks waits until the change has happened and enough writes have been
// acknowledged after it, at most until gapTimeout.
func (g *generator) awaitAcks(ctx context.Context, group string, from time.Duration, changed func() bool) {
	deadline := from + gapTimeout
	for !changed() && g.now() < deadline && ctx.Err() == nil {
		time.Sleep(gapPollInterval)
	}
	at := g.now()
	for g.rec.ackedAfter(group, at) < gapEndAcks && g.now() < deadline && ctx.Err() == nil {
		time.Sleep(gapPollInterval)
	}
}

// inject injects the fault of the path. It returns a function that reports whether
// the group has a new primary or owner, and one that repairs the deployment.
func (o GapOptions) inject(ctx context.Context, d *gwdeploy.Deployment, group string, s *GapSample) (func() bool, func() error) {
	old := s.From
	newPrimary := func() bool { return d.Primary(group) != old }
	switch o.Path {
	case PathPrimaryCrash:
		d.Server(old).Crash()
		return newPrimary, func() error { return d.Server(old).Restart(ctx) }
	case PathOwnerCrash:
		n := d.Owner(group)
		if n == nil {
			return func() bool { return true }, func() error { return nil }
		}
		s.From = n.Settings.Instance
		d.Kill(n)
		return func() bool { return d.Owner(group) != nil }, func() error { return d.Restart(ctx, n) }
	case PathDataCentreCut:
		dc := old[len(group)+1:]
		d.CutDataCentre(dc, true)
		return newPrimary, func() error { d.CutDataCentre(dc, false); return nil }
	default:
		d.AnnounceLeaving(old)
		return newPrimary, func() error { return nil }
	}
}
