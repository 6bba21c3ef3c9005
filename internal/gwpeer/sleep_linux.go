package gwpeer

import (
	"syscall"
	"time"
)

// shortSleep sleeps with the precision of the kernel's timers.
func shortSleep(d time.Duration) {
	ts := syscall.NsecToTimespec(int64(d))
	_ = syscall.Nanosleep(&ts, nil) // an interrupted sleep only ends early
}
