//go:build !unix

package gwwire

// peekClosed is not implemented on this platform. A closed connection is noticed when the
// response is written.
func peekClosed(int) bool { return false }
