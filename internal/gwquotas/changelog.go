package gwquotas

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"gentianward.example/gentianward/pkg/gwquota"
)

const (
	// changeLogInterval is the least time between two log lines about shares.
	changeLogInterval = 5 * time.Second
	// maxLoggedChanges bounds the customers that a line names.
	maxLoggedChanges = 4
)

// changeLog logs changes of shares, at most one line for changes in changeLogInterval. Its methods
// are called under the lock of the service.
type changeLog struct {
	log     *slog.Logger
	at      time.Time
	changes int // since the last line
	valid   bool
}

// note logs changes of shares.
func (c *changeLog) note(changes []gwquota.Change, now time.Time) {
	c.changes += len(changes)
	if len(changes) == 0 || !c.at.IsZero() && now.Sub(c.at) < changeLogInterval {
		return
	}
	latest := make([]string, 0, maxLoggedChanges)
	for _, ch := range changes[:min(len(changes), maxLoggedChanges)] {
		latest = append(latest, fmt.Sprintf("%.64s %.4f", ch.Customer, float64(ch.Share)/float64(gwquota.Whole)))
	}
	c.log.Info("shares of customers' limits changed", "changes", c.changes, "latest", strings.Join(latest, ", "))
	c.changes, c.at = 0, now
}

// noteValid logs when the shares have ended without a renewal.
func (c *changeLog) noteValid(valid bool, _ time.Time) {
	if c.valid && !valid {
		c.log.Warn("shares of customers' limits not renewed in time; operations are refused here")
	}
	c.valid = valid
}
