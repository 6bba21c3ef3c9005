package gwdeadline

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// Conn is a TCP connection that sends nothing after a given time. Closing it resets the
// connection, so that data that has not arrived is dropped.
type Conn struct {
	net.Conn
	raw   syscall.RawConn
	clock clockwork.Clock
	until time.Time
	sent  atomic.Int64 // nanoseconds since 1970 of the clock when data was first sent; 0 before
}

// Dial opens a TCP connection that sends nothing after until. The clock must count the time
// for which the process is stopped or the machine suspended.
func Dial(ctx context.Context, clock clockwork.Clock, address string, until time.Time) (*Conn, error) {
	const op = "dial"
	remaining := clock.Until(until)
	if remaining <= 0 {
		return nil, &Error{Op: op, Kind: KindLate}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindDial, Err: err}
	}
	c := &Conn{Conn: nc, clock: clock, until: until}
	if err := c.prepare(); err != nil {
		_ = nc.Close()
		return nil, &Error{Op: op, Kind: KindDial, Err: err}
	}
	return c, nil
}

func (c *Conn) prepare() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	if err := tcp.SetLinger(0); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	c.raw = raw
	return err
}

// Write sends b, or the part of it that the kernel accepts in time. After an error of
// KindLate nothing more is sent.
func (c *Conn) Write(b []byte) (int, error) {
	n := 0
	var werr error
	err := c.raw.Write(func(fd uintptr) bool {
		for n < len(b) && werr == nil {
			m, err := c.sendInTime(fd, b[n:])
			switch {
			case errors.Is(err, syscall.EAGAIN):
				return false // called again once the socket takes more
			case err == nil:
				n += m
			case !errors.Is(err, syscall.EINTR):
				werr = err
			}
		}
		return true
	})
	var late *Error
	switch {
	case errors.As(werr, &late):
		return n, late
	case werr != nil:
		err = werr
	}
	if err != nil {
		return n, &Error{Op: "write", Kind: KindSend, Err: err}
	}
	return n, nil
}

// sendInTime passes b to the kernel unless the time has passed. The check stands directly
// before the system call, after everything else that takes time.
func (c *Conn) sendInTime(fd uintptr, b []byte) (int, error) {
	if err := setUserTimeout(fd, c.clock.Until(c.until)); err != nil {
		return 0, err
	}
	if !c.clock.Now().Before(c.until) {
		return 0, &Error{Op: "write", Kind: KindLate}
	}
	n, err := send(fd, b)
	if n > 0 {
		c.sent.CompareAndSwap(0, c.clock.Now().UnixNano())
	}
	return n, err
}

// Sent returns when the kernel had accepted the first data, and false if it has none. After
// Close has returned, the answer is final.
func (c *Conn) Sent() (at time.Time, ok bool) {
	ns := c.sent.Load()
	return time.Unix(0, ns), ns != 0
}
