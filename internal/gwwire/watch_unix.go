//go:build unix

package gwwire

import "syscall"

// peekClosed reports whether the peer has closed the connection and all its input has
// been read.
func peekClosed(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return err == syscall.ECONNRESET
	}
	return n == 0
}
