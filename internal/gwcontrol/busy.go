package gwcontrol

import (
	"context"
	"time"
)

// busyRetryDelay is the time after which a command is proposed again for which there are too
// many uncommitted entries. A refused caller would send it again, over links that are full.
const busyRetryDelay = 20 * time.Millisecond

// awaitRoom waits for busyRetryDelay. It returns false if ctx has ended.
func (c *Consensus) awaitRoom(ctx context.Context) bool {
	select {
	case <-c.Clock.After(busyRetryDelay):
		return true
	case <-ctx.Done():
		return false
	}
}
