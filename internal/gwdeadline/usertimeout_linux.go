package gwdeadline

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout makes d, in milliseconds and at least one, the time after which the kernel
// ends a connection whose peer has not acknowledged data.
func SetUserTimeout(rc syscall.RawConn, d time.Duration) error {
	var serr error
	err := rc.Control(func(fd uintptr) { serr = setUserTimeout(fd, d) })
	if err != nil {
		return err
	}
	return serr
}

func setUserTimeout(fd uintptr, d time.Duration) error {
	ms := max(1, int(d.Milliseconds())) // 0 selects the default of the system, many minutes
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
}

func send(fd uintptr, b []byte) (int, error) { return unix.Write(int(fd), b) }
