package gwsoak

import "syscall"

// dropPayload is a socket filter that drops the TCP segments that carry data. It sees the
// segment from its TCP header on: byte 12 has the length of that header in its upper half, in
// units of four bytes.
var dropPayload = []syscall.SockFilter{
	{Code: syscall.BPF_LD | syscall.BPF_B | syscall.BPF_ABS, K: 12},
	{Code: syscall.BPF_ALU | syscall.BPF_AND | syscall.BPF_K, K: 0xf0},
	{Code: syscall.BPF_ALU | syscall.BPF_RSH | syscall.BPF_K, K: 2},
	{Code: syscall.BPF_MISC | syscall.BPF_TAX},
	{Code: syscall.BPF_LD | syscall.BPF_W | syscall.BPF_LEN},
	{Code: syscall.BPF_JMP | syscall.BPF_JGT | syscall.BPF_X, Jt: 0, Jf: 1},
	{Code: syscall.BPF_RET | syscall.BPF_K, K: 0},
	{Code: syscall.BPF_RET | syscall.BPF_K, K: 0xffffffff},
}

// dropAll is a socket filter that drops every segment.
var dropAll = []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: 0}}

// setDropAll makes a listener answer nothing, so that connections to it do not open.
func setDropAll(c syscall.Conn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return // closed
	}
	//nolint:staticcheck // as in setDrop
	_ = raw.Control(func(fd uintptr) { _ = syscall.AttachLsf(int(fd), dropAll) })
}

// setDrop makes the kernel drop the data that arrives for a connection, or for all that a
// listener accepts from now on, or accept it again. The sender gets no acknowledgement, so
// that its TCP_USER_TIMEOUT runs, and sends its bytes again. Resets still arrive.
func setDrop(c syscall.Conn, drop bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return // closed
	}
	_ = raw.Control(func(fd uintptr) {
		if drop {
			//nolint:staticcheck // the functions that replace it are in a package that is not in use here
			_ = syscall.AttachLsf(int(fd), dropPayload)
			return
		}
		//nolint:staticcheck // as above
		_ = syscall.DetachLsf(int(fd))
	})
}
