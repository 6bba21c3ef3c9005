package gwdeploy

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Flags that select the random schedules: CI runs the first seeds, a long run more.
var (
	seedFirst = flag.Uint64("faults.seed", 1, "seed of the first random schedule of faults")
	seedCount = flag.Int("faults.count", 3, "number of random schedules of faults")
)

// Number and times of the faults of a random schedule.
const (
	faultSpacing = 400 * time.Millisecond
	faultsPerRun = 3
	settleTime   = 4 * time.Second
)

// randomFault is a fault of a randomly chosen part; inject returns a function that heals
// it.
type randomFault struct {
	name   string
	inject func(d *Deployment, rng *rand.Rand, group string) func()
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func noHeal() {}

var randomFaults = []randomFault{
	{"server crash", func(d *Deployment, rng *rand.Rand, group string) func() {
		s := d.Server(pick(rng, d.serversOf(group)))
		s.Crash()
		return func() { _ = s.Restart(context.Background()) }
	}},
	{"primary isolated", func(d *Deployment, _ *rand.Rand, group string) func() {
		name := d.Primary(group)
		d.IsolateServer(name)
		return func() { d.HealServer(name) }
	}},
	{"instance crash", func(d *Deployment, rng *rand.Rand, _ string) func() {
		n := pick(rng, d.Instances())
		d.Kill(n)
		return func() {
			if n.Instance() == nil {
				_ = d.Restart(context.Background(), n)
			}
		}
	}},
	{"owner crash", func(d *Deployment, _ *rand.Rand, group string) func() {
		n := d.Owner(group)
		if n == nil {
			return noHeal
		}
		d.Kill(n)
		return func() {
			if n.Instance() == nil {
				_ = d.Restart(context.Background(), n)
			}
		}
	}},
	{"data centre cut", func(d *Deployment, rng *rand.Rand, _ string) func() {
		dc := pick(rng, d.Plan.dataCentres())
		d.CutDataCentre(dc, true)
		return func() { d.CutDataCentre(dc, false) }
	}},
	{"regions cut", func(d *Deployment, _ *rand.Rand, _ string) func() {
		d.CutRegions(true)
		return func() { d.CutRegions(false) }
	}},
	{"answers lost", func(d *Deployment, _ *rand.Rand, group string) func() {
		d.Server(d.Primary(group)).SetFault(loseAnswers(3))
		return noHeal
	}},
}

func (d *Deployment) serversOf(group string) []string {
	var out []string
	for _, dc := range d.Plan.dataCentres() {
		out = append(out, group+"-"+dc)
	}
	return out
}

// Guards against acknowledged writes that are lost, writes that run twice or are refused
// but present, and sessions that do not read their own writes, under overlapping faults in
// random order. To run a failing seed again, use -faults.seed N -faults.count 1.
func TestRandomFaults(t *testing.T) {
	for i := range *seedCount {
		seed := *seedFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runRandomFaults(t, seed)
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	d := startTest(t, Options{Delay: true})
	group := d.Groups()[rng.IntN(len(d.Groups()))]
	_, err := connect(t, d, 0, d.FirstCaller(), group).Exec(context.Background(), "create table log (id text)")
	require.NoError(t, err)
	h := newWriteHistory()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for w := range d.Instances() {
		wg.Go(func() { h.writer(ctx, d, w, group) })
	}
	var heals []func()
	for range faultsPerRun {
		time.Sleep(faultSpacing + time.Duration(rng.Int64N(int64(2*faultSpacing))))
		f := pick(rng, randomFaults)
		t.Logf("fault: %s", f.name)
		heals = append(heals, f.inject(d, rng, group))
	}
	time.Sleep(settleTime)
	for _, heal := range heals {
		heal()
	}
	wctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	require.NoError(t, d.WaitReady(wctx), "seed %d", seed)
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	h.check(t, d, 0, group)
}
