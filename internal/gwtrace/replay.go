package gwtrace

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwdeploy"
	"gentianward.example/gentianward/internal/gwmanifest"
)

// ReplayOptions configures a replay.
type ReplayOptions struct {
	// Speed divides the pauses and the times of faults; 0 means 1.
	Speed float64
	// Routing overrides the manifest's routing unless empty.
	Routing string
	// Delay simulates the network delays and the bandwidth of the deployment.
	Delay bool
	Log   *slog.Logger
	// OnFault is called after each fault with its time and description; may be nil.
	OnFault func(at time.Duration, fault string)
}

// Result is the outcome of a replay.
type Result struct {
	Deployment   string          `json:"deployment"`
	Scenario     string          `json:"scenario"`
	Seed         uint64          `json:"seed"`
	Routing      string          `json:"routing"`
	Took         time.Duration   `json:"took"`
	Steps        int             `json:"steps"`
	Outcomes     map[Outcome]int `json:"outcomes"`
	Attempts     int             `json:"attempts"`
	ReplicaReads uint64          `json:"replicaReads"`
	PrimaryReads uint64          `json:"primaryReads"`
	Differences  []Difference    `json:"differences"`
	Events       []Event         `json:"-"`
}

// replay is the state of a running replay.
type replay struct {
	ReplayOptions
	trace       *Trace
	d           *gwdeploy.Deployment
	injector    *Injector
	started     time.Time
	history     History
	faultErrors []Difference // faults that could not be injected, and a replay that overran
}

// maxSlowdown is the number of times its duration that a trace may take, in addition
// to the timeouts of two steps.
const maxSlowdown = 3

// readyTimeout bounds the start of a deployment with its setup, and each final read.
const readyTimeout = 15 * time.Second

// Replay runs a trace against a deployment in this process and checks it. Differences
// are part of the result; an error means that the replay could not be completed.
func Replay(ctx context.Context, t *Trace, o ReplayOptions) (*Result, error) {
	if o.Speed <= 0 {
		o.Speed = 1
	}
	plan, err := gwdeploy.NewPlan(t.Header.Deployment)
	if err != nil {
		return nil, err
	}
	options := gwdeploy.Options{Plan: plan, Delay: o.Delay, Log: o.Log}
	if o.Routing != "" {
		options.EditManifest = func(m *gwmanifest.Manifest) { m.Routing = o.Routing }
	}
	d, err := gwdeploy.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	r := &replay{ReplayOptions: o, trace: t, d: d, injector: NewInjector(d), started: time.Now()}
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	limit := maxSlowdown*r.scaled(t.Header.Duration.Duration) + 2*stepTimeout
	rctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r.run(rctx)
	if err := ctx.Err(); err != nil {
		return nil, &Error{Op: "replay", Kind: NotReplayed, Err: err}
	}
	if rctx.Err() != nil {
		r.faultErrors = append(r.faultErrors, Difference{Kind: NotDone, Detail: "the sessions did not end within " + limit.String()})
	}
	return r.finish(ctx)
}

// now returns the time since the start of the sessions.
func (r *replay) now() time.Duration { return time.Since(r.started) }

func (r *replay) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) / r.Speed) }

// prepare waits until the deployment is ready, sets up each group, and waits until the
// servers have converged.
func (r *replay) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.d.WaitReady(ctx); err != nil {
		return err
	}
	if err := Setup(ctx, r.d, r.trace.Header.Setup); err != nil {
		return err
	}
	return WaitConverged(ctx, r.d)
}

// run starts the sessions and the faults, and waits until all have ended.
func (r *replay) run(ctx context.Context) {
	r.started = time.Now()
	steps := make(map[string][]Step)
	for _, s := range r.trace.Steps {
		steps[s.Session] = append(steps[s.Session], s)
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.runFaults(ctx) })
	for i, s := range r.trace.Sessions {
		wg.Go(func() { r.runSession(ctx, i, s, steps[s.Name]) })
	}
	wg.Wait()
}

func (r *replay) runSession(ctx context.Context, index int, s Session, steps []Step) {
	c := &client{r: r, session: s, index: index}
	defer c.close()
	if sleep(ctx, r.scaled(s.Start.Duration)) != nil {
		return
	}
	for _, st := range steps {
		if sleep(ctx, r.scaled(st.Think.Duration)) != nil {
			return
		}
		r.history.add(c.run(ctx, st))
	}
}

func (r *replay) runFaults(ctx context.Context) {
	for _, f := range r.trace.Faults {
		if sleep(ctx, r.scaled(f.At.Duration)-r.now()) != nil {
			return
		}
		err := r.injector.Apply(ctx, f)
		text := f.String()
		if err != nil {
			text += ": " + err.Error()
			r.faultErrors = append(r.faultErrors, Difference{Kind: NotDecided, Group: f.Group, Detail: text})
		}
		if r.OnFault != nil {
			r.OnFault(r.now(), text)
		}
	}
}

// convergeTimeout bounds the wait for all servers of a group to reach the same position.
const convergeTimeout = 20 * time.Second

// finish reads the final content, checks the history and returns the result.
func (r *replay) finish(ctx context.Context) (*Result, error) {
	res := &Result{
		Deployment: r.trace.Header.Deployment, Scenario: r.trace.Header.Scenario, Seed: r.trace.Header.Seed,
		Routing: r.Routing, Took: r.now(), Outcomes: make(map[Outcome]int), Events: r.history.events,
	}
	for _, e := range r.history.events {
		res.Steps++
		res.Attempts += e.Attempts
		res.Outcomes[e.Outcome]++
	}
	res.ReplicaReads, res.PrimaryReads = r.injector.Reads()
	cctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	converged := WaitConverged(cctx, r.d)
	content, differences := readContent(ctx, r)
	if converged != nil {
		differences = append(differences, Difference{Kind: ReplicaDiffers, Detail: converged.Error()})
	}
	res.Differences = append(append(differences, r.faultErrors...), Check(r.history.events, r.history.slots, content)...)
	return res, nil
}
