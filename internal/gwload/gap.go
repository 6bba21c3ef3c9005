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

// Paths of a change of primary.
const (
	PathPrimaryCrash = "primary-crash"
	PathOwnerCrash   = "owner-crash"
	PathBoth         = "data-centre-cut"
	PathPlanned      = "planned"
)

// Paths lists all paths.
var Paths = []string{PathPrimaryCrash, PathOwnerCrash, PathBoth, PathPlanned}

// neverOver is the limit of every failover gap.
const neverOver = 12 * time.Second

// Target returns the stated limit of the failover gap of a path. For an owner
// that crashes alone only the general limit is stated.
func Target(path string) time.Duration {
	switch path {
	case PathPrimaryCrash:
		return time.Second
	case PathBoth:
		return 4 * time.Second
	case PathPlanned:
		return 300 * time.Millisecond
	default:
		return neverOver
	}
}

// GapOptions configures the measurement of failover gaps.
type GapOptions struct {
	Deployment string
	Path       string
	// Count is the number of changes.
	Count int
	// Rate is the number of writes a second to the group that changes.
	Rate  float64
	Delay bool
	Log   *slog.Logger
	// Progress is told about each change; may be nil.
	Progress func(GapSample)
}

// GapSample is one measured change.
type GapSample struct {
	Deployment string        `json:"deployment"`
	Path       string        `json:"path"`
	Group      string        `json:"group"`
	From       string        `json:"from"` // the primary or the owner before
	Gap        time.Duration `json:"gap"`
	// Open means that no write was acknowledged until the measurement ended.
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

// Timing of a measurement.
const (
	gapReady   = 20 * time.Second
	gapWarm    = 700 * time.Millisecond // writes before the fault
	gapPoll    = 5 * time.Millisecond
	gapAcks    = 20 // acknowledged writes after the change that end a measurement
	gapTimeout = 15 * time.Second
	gapSize    = 64
)

// MeasureGaps changes the primary or owner of one group after another and
// measures how long each group acknowledges no write. Each deployment serves
// one change per group.
func MeasureGaps(ctx context.Context, o GapOptions) (*GapResult, error) {
	if !slices.Contains(Paths, o.Path) {
		return nil, &Error{Op: "measure gaps", Kind: BadOption, Detail: "path \"" + o.Path + "\" does not exist"}
	}
	res := &GapResult{Deployment: o.Deployment, Path: o.Path, Target: Target(o.Path)}
	for len(res.Samples) < o.Count {
		list, err := o.round(ctx, o.Count-len(res.Samples))
		res.Samples = append(res.Samples, list...)
		if err != nil {
			return res, err
		}
	}
	res.summarize()
	return res, nil
}

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

// round runs one deployment and changes each group once, at most limit in all.
func (o GapOptions) round(ctx context.Context, limit int) ([]GapSample, error) {
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
	if err := ready(ctx, d); err != nil {
		return nil, err
	}
	if err := gwtrace.Setup(ctx, d, profile.Setup); err != nil {
		return nil, err
	}
	var out []GapSample
	for _, group := range d.Groups()[:min(limit, len(d.Groups()))] {
		if err := ready(ctx, d); err != nil {
			return out, fmt.Errorf("before the change of %s: %w", group, err)
		}
		s, repair, err := o.change(ctx, d, group)
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

func ready(ctx context.Context, d *gwdeploy.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, gapReady)
	defer cancel()
	if err := d.WaitReady(ctx); err != nil {
		return err
	}
	return gwtrace.WaitConverged(ctx, d)
}

// change writes to a group while its primary or owner changes.
func (o GapOptions) change(ctx context.Context, d *gwdeploy.Deployment, group string) (GapSample, func() error, error) {
	classes, err := Mix(o.Deployment, o.Rate)
	if err != nil {
		return GapSample{}, nil, err
	}
	c := classes[0]
	c.Rate, c.Writes = o.Rate, 1
	e := newEngine(d, newRecorder(time.Second), []string{group}, gapSize)
	sending, stop := context.WithCancel(ctx)
	e.wg.Go(func() { e.run(sending, c, rand.New(rand.NewPCG(1, 1))) })
	time.Sleep(gapWarm)
	s := GapSample{Deployment: o.Deployment, Path: o.Path, Group: group, From: d.Primary(group)}
	at := e.now()
	changed, repair := o.inject(ctx, d, group, &s)
	e.awaitAcks(ctx, group, at, changed)
	end := e.now()
	stop()
	s.Gap, s.Open = e.rec.gap(group, at, end)
	return s, func() error {
		err := repair()
		e.wait()
		return err
	}, nil
}

// awaitAcks waits until the change has happened and writes are acknowledged again.
func (e *engine) awaitAcks(ctx context.Context, group string, from time.Duration, changed func() bool) {
	deadline := from + gapTimeout
	for !changed() && e.now() < deadline && ctx.Err() == nil {
		time.Sleep(gapPoll)
	}
	at := e.now()
	for e.rec.ackedAfter(group, at) < gapAcks && e.now() < deadline && ctx.Err() == nil {
		time.Sleep(gapPoll)
	}
}

// inject brings the change about. It returns a function that tells whether the
// group has a new primary or owner, and one that repairs the deployment.
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
	case PathBoth:
		dc := old[len(group)+1:]
		d.CutDataCentre(dc, true)
		return newPrimary, func() error { d.CutDataCentre(dc, false); return nil }
	default:
		d.AnnounceLeaving(old)
		return newPrimary, func() error { return nil }
	}
}
