//go:build !linux

package gwpeer

import "time"

// shortSleep sleeps with the precision of the runtime's timers.
func shortSleep(d time.Duration) { time.Sleep(d) }
