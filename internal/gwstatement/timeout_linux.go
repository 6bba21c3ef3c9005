package gwstatement

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes userTimeout the bound on how long sent data may stay unacknowledged.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var serr error
	err := rc.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return serr
}
