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
	// Speed divides the pauses and the times of faults; 0 is 1.
	Speed float64
	// Routing replaces the manifest's routing unless empty.
	Routing string
	// Delay applies the delays and the bandwidth of the deployment.
	Delay bool
	Log   *slog.Logger
	// Event is told about each fault; may be nil.
	Event func(at time.Duration, fault string)
}

// Result is the outcome of a replay.
type Result struct {
	Deployment  string          `json:"deployment"`
	Scenario    string          `json:"scenario"`
	Seed        uint64          `json:"seed"`
	Routing     string          `json:"routing"`
	Took        time.Duration   `json:"took"`
	Steps       int             `json:"steps"`
	Outcomes    map[Outcome]int `json:"outcomes"`
	Attempts    int             `json:"attempts"`
	Replica     uint64          `json:"replicaReads"`
	Primary     uint64          `json:"primaryReads"`
	Differences []Difference    `json:"differences"`
	Events      []Event         `json:"-"`
}

// replay is a running replay.
type replay struct {
	ReplayOptions
	trace    *Trace
	d        *gwdeploy.Deployment
	injector *Injector
	started  time.Time
	history  History
	failed   []Difference // faults that could not be brought about
}

// overrun is how many times its duration a trace may take, beside two steps
// that are given up.
const overrun = 3

// readyTimeout bounds the start of a deployment and the setup.
const readyTimeout = 15 * time.Second

// Replay runs a trace against a deployment in this process.
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
	limit := overrun*r.scaled(t.Header.Duration.Duration) + 2*giveUp
	rctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r.run(rctx)
	if err := ctx.Err(); err != nil {
		return nil, &Error{Op: "replay", Kind: NotReplayed, Err: err}
	}
	if rctx.Err() != nil {
		r.failed = append(r.failed, Difference{Kind: NotDone, Detail: "the sessions did not end within " + limit.String()})
	}
	return r.finish(ctx)
}

// now is the time since the start of the sessions.
func (r *replay) now() time.Duration { return time.Since(r.started) }

func (r *replay) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) / r.Speed) }

// prepare waits until the deployment is ready and runs the setup everywhere.
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

// run starts the sessions and the faults and waits for the end of both.
func (r *replay) run(ctx context.Context) {
	r.started = time.Now()
	steps := make(map[string][]Step)
	for _, s := range r.trace.Steps {
		steps[s.Session] = append(steps[s.Session], s)
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.runFaults(ctx) })
	for i, s := range r.trace.Sessions {
		wg.Go(func() { r.runSession(ctx, i, s, steps[s.Session]) })
	}
	wg.Wait()
}

func (r *replay) runSession(ctx context.Context, number int, s Session, steps []Step) {
	c := &client{r: r, session: s, number: number}
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
			r.failed = append(r.failed, Difference{Kind: NotDecided, Group: f.Group, Detail: text})
		}
		if r.Event != nil {
			r.Event(r.now(), text)
		}
	}
}

// convergeTimeout bounds the time that servers get to reach one content.
const convergeTimeout = 20 * time.Second

// finish reads the final content and checks everything.
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
	res.Replica, res.Primary = r.injector.Reads()
	cctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	converged := WaitConverged(cctx, r.d)
	content, differences := readContent(ctx, r)
	if converged != nil {
		differences = append(differences, Difference{Kind: ReplicaDiffers, Detail: converged.Error()})
	}
	res.Differences = append(append(differences, r.failed...), Check(r.history.events, r.history.slots, content)...)
	return res, nil
}
