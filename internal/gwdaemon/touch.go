package gwdaemon

import (
	"context"
	"time"
)

// inTouch returns what tells whether the leader can be reached, nil where that
// does not matter.
func (i *Instance) inTouch() func() bool {
	if !i.Withdraw {
		return nil
	}
	return i.client.InTouch
}

// touchChanged withdraws a cut-off instance from the callers, or returns it.
func (i *Instance) touchChanged(ctx context.Context, inTouch bool) {
	if !inTouch {
		i.Log.Warn("the leader of the replicated log cannot be reached", "leader", i.client.Leader())
	} else {
		i.Log.Info("the leader of the replicated log is reached", "leader", i.client.Leader())
	}
	i.owner.TouchChanged()
	callers, ok := i.callers.(idleCloser)
	if !ok || inTouch {
		return
	}
	// Callers that come back are sent elsewhere once the platform has noticed.
	go func() {
		select {
		case <-ctx.Done():
		case <-i.Clock.After(i.StopDelay):
			for !i.client.InTouch() && ctx.Err() == nil {
				callers.CloseIdle()
				i.Clock.Sleep(closeIdleInterval)
			}
		}
	}()
}

// closeIdleInterval is how often a cut-off instance looks for idle sessions.
const closeIdleInterval = 200 * time.Millisecond
