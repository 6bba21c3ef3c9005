package gwowner

import (
	"time"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/pkg/gwlimit"
)

func (o *Owner) drainLimit() time.Duration {
	if m := o.views.Current().Manifest; m != nil {
		return m.Manifest().Limits.Drain.Duration
	}
	return defaultDrain
}

func (o *Owner) idleLimit() time.Duration {
	if m := o.views.Current().Manifest; m != nil {
		return m.Manifest().Limits.IdleTransaction.Duration
	}
	return defaultIdle
}

// keyExpiry returns how long request keys are kept. It is 0 before a manifest is known,
// and for servers with another dialect than the stand-in's, as the keys need SQL.
func (o *Owner) keyExpiry() time.Duration {
	if o.dialect != nil {
		return 0
	}
	if m := o.views.Current().Manifest; m != nil {
		return m.Manifest().Limits.RequestKeyExpiry.Duration
	}
	return 0
}

// Limits used before a manifest is known.
const (
	defaultDrain = 10 * time.Second
	defaultIdle  = time.Minute
)

// hasCustomers reports whether requests may have customers.
func hasCustomers(v *gwcontrol.View) bool {
	return v.Manifest != nil && v.Manifest.Manifest().Customers != nil
}

// customerWeights returns the weights with which customers share the slots of a class.
func customerWeights(m *gwmanifest.Manifest) map[string]int {
	weights := make(map[string]int, len(m.Customers))
	for _, c := range m.Customers {
		weights[c.Name] = gwlimit.PriorityWeight(c.Priority)
	}
	return weights
}
