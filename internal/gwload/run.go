package gwload

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"gentianward.example/gentianward/internal/gwdeploy"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwtrace"
)

// Options configures a load run.
type Options struct {
	Deployment string
	// Rate is the number of arrivals per second of all classes together.
	Rate float64
	// Ramp is the time during which the rate rises to its full value.
	Ramp     time.Duration
	Duration time.Duration
	// Connections bounds the connections of all callers together, with at least one
	// per class, group and instance.
	Connections int
	Seed        uint64
	// Routing overrides the manifest's routing unless empty.
	Routing string
	Delay   bool
	Faults  []gwtrace.Fault
	Log     *slog.Logger
	// Progress is called every second; may be nil.
	Progress func(Progress)
}

// Progress is the state of a load run in progress. Done, Outcomes and P99 cover the
// time since its start.
type Progress struct {
	At       time.Duration             `json:"at"`
	Done     int64                     `json:"done"`
	Outcomes map[gwtrace.Outcome]int64 `json:"outcomes"`
	InFlight int64                     `json:"inFlight"`
	P99      time.Duration             `json:"p99"`
	Faults   []string                  `json:"faults,omitempty"`
}

// pointInterval is the width of the intervals of latency over time.
const pointInterval = 500 * time.Millisecond

// load is the state of a load run.
type load struct {
	Options
	d         *gwdeploy.Deployment
	generator *generator
	// injector is used by a single goroutine while the load runs.
	injector *gwtrace.Injector
	classes  []Class
}

// Run starts a deployment, sends load to it and returns the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	classes, err := Mix(o.Deployment, o.Rate)
	if err != nil {
		return nil, err
	}
	plan, err := gwdeploy.NewPlan(o.Deployment)
	if err != nil {
		return nil, err
	}
	deployOptions := gwdeploy.Options{Plan: plan, Delay: o.Delay, Log: o.Log}
	if o.Routing != "" {
		deployOptions.EditManifest = func(m *gwmanifest.Manifest) { m.Routing = o.Routing }
	} else {
		o.Routing = gwmanifest.RoutingSession
	}
	d, err := gwdeploy.Start(ctx, deployOptions)
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
	if err := gwtrace.Setup(ctx, d, setupOf(profile, classes)); err != nil {
		return nil, err
	}
	if err := waitReady(ctx, d); err != nil {
		return nil, err
	}
	l := &load{Options: o, d: d, classes: classes}
	return l.run(ctx), ctx.Err()
}

func (l *load) run(ctx context.Context) *Report {
	pools := len(l.classes) * len(l.d.Groups()) * len(l.d.Instances())
	l.generator = newGenerator(l.d, newRecorder(pointInterval), l.d.Groups(), l.Connections/pools, l.Seed)
	l.generator.ramp = l.Ramp
	before := l.traffic()
	l.injector = gwtrace.NewInjector(l.d)
	replica, primary := l.injector.Reads()
	sending, stop := context.WithTimeout(ctx, l.Duration)
	defer stop()
	for i, c := range l.classes {
		l.generator.wg.Go(func() { l.generator.generate(sending, c, rand.New(rand.NewPCG(l.Seed, uint64(i)))) })
	}
	l.generator.wg.Go(func() { l.applyFaults(sending) })
	l.reportProgress(sending)
	l.generator.wait()
	after := l.traffic()
	r := l.report()
	r.ReplicaReads, r.PrimaryReads = l.injector.Reads()
	r.ReplicaReads, r.PrimaryReads = r.ReplicaReads-replica, r.PrimaryReads-primary
	for i := range after {
		after[i].Bytes -= before[i].Bytes
	}
	r.Traffic = after
	return r
}

func (l *load) applyFaults(ctx context.Context) {
	for _, f := range l.Faults {
		t := time.NewTimer(f.At.Duration - l.generator.now())
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		injected := InjectedFault{At: l.generator.now(), Fault: f.Name, Group: f.Group}
		if err := l.injector.Apply(ctx, f); err != nil {
			injected.Error = err.Error()
		}
		l.generator.rec.addFault(injected)
	}
}

// reportProgress reports progress until the context ends.
func (l *load) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if l.Progress != nil {
				p := l.generator.rec.progress()
				p.At, p.InFlight = l.generator.now(), l.generator.inFlight.Load()
				l.Progress(p)
			}
		}
	}
}

// traffic returns the bytes sent so far between all ordered pairs of regions.
func (l *load) traffic() []Traffic {
	var out []Traffic
	for _, a := range l.d.Plan.Manifest.Regions {
		for _, b := range l.d.Plan.Manifest.Regions {
			if a.Name != b.Name {
				out = append(out, Traffic{From: a.Name, To: b.Name, Bytes: l.d.Network.Bytes(a.Name, b.Name)})
			}
		}
	}
	return out
}
