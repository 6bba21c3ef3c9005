package main

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/platform"
	"gentianward.example/gentianward/platform/platformtest"
)

// quotaCounts counts the answers of callers who stay within their customer's limit.
type quotaCounts struct {
	mu                       sync.Mutex
	served, above, unchecked int
	otherwise                map[string]int
}

func (q *quotaCounts) add(code, cause string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case code == "":
		q.served++
	case strings.Contains(cause, "above its limit"):
		q.above++
	case strings.Contains(cause, "could not be checked"):
		q.unchecked++
	default:
		q.otherwise[code]++
	}
}

// Guards against a leader whose loss stops the operations of customers, at once or when the shares
// that it assigned end.
func TestQuotaWhenLeaderIsKilled(t *testing.T) {
	d := startWithSettings(t, slog.New(slog.DiscardHandler), func(*platform.Settings) {}, "i-1", "i-2", "i-3")
	d.awaitReady()
	acme := platformtest.Tenant{Name: "acme", Keys: []string{"key-acme"}, Rate: 100, Burst: 100}
	d.publishTenants(8, acme)
	d.awaitWrite(0, "bookings", "key-acme")
	counts := quotaCounts{otherwise: make(map[string]int)}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for entry := range d.callerAddresses {
		wg.Go(func() {
			var s *platformtest.Session
			for n := 0; ctx.Err() == nil; n++ {
				time.Sleep(50 * time.Millisecond)
				if s == nil {
					var err error
					check := d.group.check.Session(d.group.name).WithKey("key-acme", false)
					if s, _, err = platformtest.OpenSession(ctx, d.callerAddresses[entry], "bookings", 10*time.Second, check); err != nil || s == nil {
						s = nil
						continue
					}
				}
				a, err := s.Do(fmt.Sprintf("%016x", statements.Add(1)), "FETCH 1", 10*time.Second)
				if err != nil {
					s.Close()
					s = nil
					continue
				}
				counts.add(a.Code, a.Cause)
			}
		})
	}
	time.Sleep(3 * time.Second)
	counts.mu.Lock()
	counts.above, counts.unchecked, counts.served = 0, 0, 0
	counts.mu.Unlock()
	const run = 14 * time.Second // longer than shares are valid
	d.killLeader()
	time.Sleep(run)
	cancel()
	wg.Wait()
	t.Logf("%d served, %d above the limit, %d unchecked, %v otherwise", counts.served, counts.above, counts.unchecked, counts.otherwise)
	assert.Zero(t, counts.unchecked)
	assert.Zero(t, counts.above)
	require.NotZero(t, counts.served)
}
