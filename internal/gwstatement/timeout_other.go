//go:build !linux

package gwstatement

import "syscall"

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
