package gwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

const (
	publishInterval = 600 * time.Millisecond
	// publishRetryDelay grows with each failed attempt, up to maxPublishRetryDelay.
	publishRetryDelay    = 50 * time.Millisecond
	maxPublishRetryDelay = 500 * time.Millisecond
	readInterval         = 250 * time.Millisecond
	probeInterval        = 400 * time.Millisecond
	probeTimeout         = time.Second
	statsInterval        = 100 * time.Millisecond
)

// operator publishes configurations, reads them back and looks whether they are in force.
type operator struct {
	r      *Run
	client *platformtest.Client

	mu       sync.Mutex
	size     int           // of a configuration, at least, in bytes
	interval time.Duration // from an acknowledgement to the next configuration
	version  int
	marks    []string
	acked    int
	ackedAt  time.Time
	sent     time.Time // when the pending configuration was first sent; zero if none is
	reported bool      // that the pending configuration is late
	ended    bool
	obeyed   map[*process]int // newest version that was seen in force
	// waited is how long a pending configuration has waited while a majority of the
	// control instances ran and was connected, and longest the longest such time.
	waited, longest time.Duration
	// readBack is when a control instance last answered a read with the newest acknowledged
	// configuration, and unread whether it was reported that none does.
	readBack time.Time
	unread   bool
	// next are closed when the next configuration is acknowledged.
	next []chan struct{}
}

func newOperator(r *Run) *operator {
	return &operator{r: r, client: platformtest.NewClient(), interval: publishInterval, obeyed: make(map[*process]int)}
}

func (o *operator) setSize(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.size = n
}

func (o *operator) setInterval(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.interval = d
}

// end makes the operator publish nothing new.
func (o *operator) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
}

func mark(version int) string { return fmt.Sprintf("mark%d", version) }

func (o *operator) run(ctx context.Context) {
	o.r.wg.Go(func() { o.watchPending(ctx) })
	for ctx.Err() == nil {
		o.mu.Lock()
		ended, interval := o.ended, o.interval
		o.mu.Unlock()
		if !ended {
			o.publish(ctx)
		}
		sleep(ctx, interval)
	}
}

// publish sends a configuration until it is acknowledged.
func (o *operator) publish(ctx context.Context) {
	o.mu.Lock()
	o.version += 1 + rand.IntN(3)
	version := o.version
	o.marks = append(o.marks, mark(version))
	var services []string
	for _, g := range o.r.groups {
		services = append(services, g.Name())
	}
	text := platformtest.RouteConfiguration(version, services, o.marks, o.size)
	o.sent, o.reported, o.waited = time.Now(), false, 0
	o.mu.Unlock()
	at := rand.IntN(len(o.r.controls()))
	for delay := publishRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxPublishRetryDelay) {
		control := o.r.controls()
		p := control[at%len(control)]
		status, err := o.client.Replace(p.settings.ControlAddress, text)
		if err == nil && status == http.StatusOK {
			o.acknowledged(version, p)
			return
		}
		if err == nil && status < http.StatusInternalServerError {
			o.r.check.violate(RuleConfig, "", "configuration %d is refused by %s with status %d", version, p.settings.Name, status)
		}
		at++
		sleep(ctx, delay)
	}
}

func (o *operator) acknowledged(version int, p *process) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.r.check.count("configurations")
	o.r.check.logf("configuration %d acknowledged by %s after %s", version, p.settings.Name, time.Since(o.sent).Round(time.Millisecond))
	o.acked, o.ackedAt, o.sent = version, time.Now(), time.Time{}
	if o.readBack.IsZero() {
		o.readBack = o.ackedAt
	}
	for _, c := range o.next {
		close(c)
	}
	o.next = nil
}

// awaitAck waits until a configuration is acknowledged, for a time.
func (o *operator) awaitAck(ctx context.Context, d time.Duration) {
	acked := make(chan struct{})
	o.mu.Lock()
	o.next = append(o.next, acked)
	o.mu.Unlock()
	select {
	case <-acked:
	case <-time.After(d):
		o.r.check.logf("nothing is acknowledged for %s", d)
	case <-ctx.Done():
	}
}

func (o *operator) lastRead() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readBack
}

// watchPending measures how long configurations wait, and checks the bound for calm times.
func (o *operator) watchPending(ctx context.Context) {
	for sleep(ctx, statsInterval) {
		o.watchReads()
		connected := o.r.majorityConnected()
		o.mu.Lock()
		if !o.sent.IsZero() && connected {
			o.waited += statsInterval
			o.longest = max(o.longest, o.waited)
		}
		start, ok := o.r.check.judgedFrom(o.sent)
		late := ok && !o.sent.IsZero() && !o.reported && time.Since(start) > ackLimit
		o.reported = o.reported || late
		version, sent := o.version, o.sent
		o.mu.Unlock()
		if late {
			o.r.check.violate(RuleConfig, "", "configuration %d, first sent %s ago, is not acknowledged; the bound applies since %s",
				version, time.Since(sent).Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
		}
	}
}

// watchReads checks that some control instance reads the acknowledged configuration back.
func (o *operator) watchReads() {
	fault, resumed, ok := o.r.check.calmSince()
	o.mu.Lock()
	start := latest(o.readBack, fault, resumed)
	unread := ok && o.acked > 0 && !o.unread && time.Since(start) > recoveryLimit
	o.unread = o.unread || unread
	acked, at := o.acked, o.ackedAt
	o.mu.Unlock()
	if unread {
		o.r.check.violate(RuleConfig, "", "no control instance has answered a read with configuration %d or newer for %s in calm; it was acknowledged %s ago",
			acked, time.Since(start).Round(time.Millisecond), time.Since(at).Round(time.Millisecond))
	}
}

// read reads the configuration at any control instance.
func (o *operator) read(ctx context.Context) {
	for sleep(ctx, readInterval) {
		control := o.r.controls()
		o.readAt(control[rand.IntN(len(control))])
	}
}

// readAt reads the configuration at an instance and returns its version, or 0.
func (o *operator) readAt(p *process) int {
	o.mu.Lock()
	acked, at := o.acked, o.ackedAt
	o.mu.Unlock()
	text, err := o.client.Fetch(p.settings.ControlAddress)
	version := platformtest.ConfigurationVersion(text)
	if err != nil || version == 0 {
		return 0
	}
	o.r.check.count("configuration reads")
	o.mu.Lock()
	if version >= acked {
		o.readBack, o.unread = time.Now(), false
	}
	o.mu.Unlock()
	if version < acked {
		o.r.check.violate(RuleConfig, "", "%s answers a read with configuration %d; %d was acknowledged %s before the answer",
			p.settings.Name, version, acked, time.Since(at).Round(time.Millisecond))
	}
	return version
}

// probe checks that acknowledged configurations are in force at an entry instance, and that
// none is taken back.
func (o *operator) probe(ctx context.Context, p *process) {
	seen, incarnation := 0, 0
	for sleep(ctx, probeInterval) {
		o.mu.Lock()
		acked, at := o.acked, o.ackedAt
		o.mu.Unlock()
		if n := p.incarnationNumber(); n != incarnation {
			seen, incarnation = 0, n
		}
		start, ok := o.r.check.judgedFrom(at)
		if acked == 0 || !p.active() {
			continue
		}
		due := ok && time.Since(start) > applyLimit
		s, a, err := platformtest.OpenSession(ctx, p.settings.CallerAddress, mark(acked), probeTimeout, o.r.check.statements.Session(o.r.groups[0].Name()))
		switch {
		case err != nil:
		case s != nil:
			s.Close()
			seen = max(seen, acked)
			o.mu.Lock()
			o.obeyed[p] = seen
			o.mu.Unlock()
		case a.Code == "NODB" && seen >= acked:
			o.r.check.violate(RuleConfig, "", "%s no longer obeys configuration %d, which it obeyed", p.settings.Name, acked)
		case a.Code == "NODB" && due:
			o.r.check.violate(RuleConfig, "", "%s does not obey configuration %d, acknowledged %s ago", p.settings.Name, acked, time.Since(at).Round(time.Millisecond))
		}
	}
}

// majorityConnected reports whether a control instance runs and is connected to more than half
// of those that count, itself among them.
func (r *Run) majorityConnected() bool {
	control := r.counting()
	for _, a := range control {
		n := 0
		for _, b := range control {
			if a.active() && b.active() && r.network.connected(a.settings.IP, b.settings.IP) {
				n++
			}
		}
		if 2*n > len(control) {
			return true
		}
	}
	return false
}
