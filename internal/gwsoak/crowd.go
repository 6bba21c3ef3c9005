package gwsoak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"gentianward.example/gentianward/platform/platformtest"
)

const (
	// crowdMemory is the memory limit of the entry instances in the settings of all runs, that
	// of the smallest in production.
	crowdMemory = 184 << 20
	// crowdClients is the number of clients of a crowd, which would hold 300 MiB without bounds.
	crowdClients = 100
	// crowdHold is how long a crowd keeps its connections.
	crowdHold = time.Second
)

// misbehavingCallers sends crowds of misbehaving clients to one entry instance after another,
// beside the ordinary callers. Their messages never reach a server. No entry instance may use
// more memory than its settings allow.
func misbehavingCallers(ctx context.Context, r *Run) {
	ctx, cancel := context.WithTimeout(ctx, r.o.For)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		p, kind := r.entries[n%len(r.entries)], n%len(crowdKinds)
		r.during(ctx, crowdHold, fmt.Sprintf("crowd %q at %s", crowdKinds[kind].name, p.settings.Name), func() { r.crowd(p, crowdKinds[kind].texts) }, func() {})
	}
	if most := r.usageOf(true).memory; most > crowdMemory {
		r.check.violate(RuleResources, "", "an entry instance uses %d bytes of memory, of %d", most, crowdMemory)
	}
}

// crowdKinds are the texts that each client of a crowd sends after it has opened its session.
var crowdKinds = []struct {
	name  string
	texts func() []string
}{
	{"stops inside a message", func() []string {
		return []string{"QUERY x STORE k " + strings.Repeat("x", platformtest.MaxMessage*9/10)}
	}},
	{"over the limit", func() []string { return []string{"QUERY x STORE k " + strings.Repeat("x", 3*platformtest.MaxMessage)} }},
	{"sets large values", func() []string {
		value := strings.Repeat("v", platformtest.MaxMessage*9/10)
		return []string{"QUERY x SET a " + value + "\r\n", "QUERY x SET b " + value + "\r\n", "QUERY x SET c " + value + "\r\n"}
	}},
	{"leaves", func() []string { return nil }},
}

// crowd opens sessions, sends texts in each, and closes them after a while.
func (r *Run) crowd(p *process, texts func() []string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range crowdClients {
		wg.Go(func() {
			nc, err := net.DialTimeout("tcp", p.settings.CallerAddress, crowdHold)
			if err != nil {
				return
			}
			defer nc.Close()
			_ = nc.SetDeadline(time.Now().Add(crowdHold))
			for _, text := range append([]string{"STARTUP " + r.groups[0].Name() + " crowd\r\n"}, texts()...) {
				if _, err := io.WriteString(nc, text); err != nil {
					return
				}
			}
			_, _ = io.Copy(io.Discard, nc)
		})
	}
	r.check.count("crowds of misbehaving clients")
}
