package gwdaemon

import (
	"context"
	"time"
)

// contactCheck returns what tells whether the leader can be reached, nil where that
// does not matter.
func (i *Instance) contactCheck() func() bool {
	if !i.RequireLeader {
		return nil
	}
	return i.client.InContact
}

// onContactChange withdraws a cut-off instance from the callers, or returns it.
func (i *Instance) onContactChange(ctx context.Context, inContact bool) {
	if !inContact {
		i.Log.Warn("the leader of the replicated log cannot be reached", "leader", i.client.Leader())
	} else {
		i.Log.Info("the leader of the replicated log is reached", "leader", i.client.Leader())
	}
	i.owner.ContactChanged()
	callers, ok := i.callers.(idleCloser)
	if !ok || inContact {
		return
	}
	// Callers that come back are sent elsewhere once the platform has noticed.
	go func() {
		select {
		case <-ctx.Done():
		case <-i.Clock.After(i.StopDelay):
			for !i.client.InContact() && ctx.Err() == nil {
				callers.CloseIdle()
				i.Clock.Sleep(closeIdleInterval)
			}
		}
	}()
}

// closeIdleInterval is how often a cut-off instance looks for idle sessions.
const closeIdleInterval = 200 * time.Millisecond
