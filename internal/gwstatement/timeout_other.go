//go:build !linux

package gwstatement

import "syscall"

// setUserTimeout does nothing where the system has no such option.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
