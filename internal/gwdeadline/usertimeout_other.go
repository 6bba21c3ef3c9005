//go:build !linux

package gwdeadline

import (
	"errors"
	"syscall"
	"time"
)

// SetUserTimeout does nothing on systems without TCP_USER_TIMEOUT.
func SetUserTimeout(syscall.RawConn, time.Duration) error { return nil }

var errUnsupported = errors.New("this system cannot bound the time of sending")

func setUserTimeout(uintptr, time.Duration) error { return errUnsupported }

func send(uintptr, []byte) (int, error) { return 0, errUnsupported }
