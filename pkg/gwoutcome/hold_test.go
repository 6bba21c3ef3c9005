package gwoutcome

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against refusals that fill the link of an owner, and against callers that are refused
// long after the cause has gone: 44 entry instances have 900 requests a second for a server
// whose owner refuses all of them for 2 s.
func TestHoldBoundsRefusals(t *testing.T) {
	const (
		instances = 44
		outage    = 2 * time.Second
		step      = time.Millisecond
		chance    = 900.0 / 1000 / instances // of a request at an instance in a step
	)
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(100, 0)
	holds := make([]Hold, instances)
	sent, late := 0, time.Duration(0)
	for at := time.Duration(0); at < outage+time.Second; at += step {
		now := start.Add(at)
		for i := range holds {
			h := &holds[i]
			switch {
			case rng.Float64() >= chance:
			case h.Active(now) && at >= outage:
				late = max(late, at-outage)
			case h.Active(now):
			case at < outage:
				sent++
				h.Refused(now, rng.Float64())
			default:
				*h = Hold{}
			}
		}
	}
	perSecond := float64(sent) / outage.Seconds()
	t.Logf("%.0f of 900 requests a second sent; the last one refused %v after the outage", perSecond, late)
	assert.Less(t, perSecond, 300.0)
	assert.Less(t, late, 250*time.Millisecond)
}
