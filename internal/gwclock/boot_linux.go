package gwclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// BootTime is a monotonic clock that also counts the time for which the machine was
// suspended. Leases and ages need both properties: the wall clock may be set, and the
// monotonic clock of the Go runtime stands still during a suspension.
//
// Its times have an arbitrary origin and must not be compared with those of other
// clocks.
type BootTime struct{ clockwork.Clock }

// NewBootTime returns a BootTime whose timers are those of the Go runtime.
func NewBootTime() BootTime { return BootTime{Clock: clockwork.NewRealClock()} }

// Now returns the Unix epoch plus the time since the machine started.
func (BootTime) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it leases are not safe.
		panic("gwclock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Since returns the time that has passed since t.
func (b BootTime) Since(t time.Time) time.Duration { return b.Now().Sub(t) }

// Until returns the time until t.
func (b BootTime) Until(t time.Time) time.Duration { return t.Sub(b.Now()) }
