package gwdaemon

import (
	"context"
	"time"
)

// contactCheck returns a function that reports whether the leader can be reached. It is
// nil without RequireLeader.
func (i *Instance) contactCheck() func() bool {
	if !i.RequireLeader {
		return nil
	}
	return i.client.InContact
}

// onContactChange is called when the contact to the leader is lost or regained. It tells
// the owner of backend servers. From StopDelay after a loss until the contact is regained,
// it closes the idle sessions of callers.
func (i *Instance) onContactChange(ctx context.Context, inContact bool) {
	if !inContact {
		i.Log.Warn("the leader of the replicated log cannot be reached", "leader", i.client.Leader())
	} else {
		i.Log.Info("the leader of the replicated log can be reached", "leader", i.client.Leader())
	}
	i.owner.ContactChanged()
	callers, ok := i.callers.(idleCloser)
	if !ok || inContact {
		return
	}
	// After StopDelay the platform has noticed that this instance is not ready, so that
	// callers whose sessions are closed reconnect to another instance.
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

// closeIdleInterval is the interval at which an instance without contact to the leader
// closes idle sessions.
const closeIdleInterval = 200 * time.Millisecond
