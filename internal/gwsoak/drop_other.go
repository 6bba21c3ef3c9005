//go:build !linux

package gwsoak

import "syscall"

// setDrop does nothing: held bytes are acknowledged by the proxy.
func setDrop(syscall.Conn, bool) {}

// setDropAll does nothing: the listener accepts connections, which stay silent.
func setDropAll(syscall.Conn) {}
