package gwbackend

import (
	"context"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Ping checks that the server answers on a new connection.
func (s *Server) Ping(ctx context.Context) error { return s.o.Dialect.Ping(ctx, s.o.Pool.Options) }

func ping(ctx context.Context, o Options) error {
	dial := o.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c, err := dial(ctx, "tcp", o.Address)
	if err != nil {
		return &Error{Op: "ping", Kind: KindNotSent, Server: o.Name, Err: err}
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return &Error{Op: "ping", Kind: KindNotSent, Server: o.Name, Err: err}
	}
	if _, err := c.Write(request); err != nil {
		return &Error{Op: "ping", Kind: KindNotSent, Server: o.Name, Err: err}
	}
	var answer [1]byte
	if _, err := c.Read(answer[:]); err != nil {
		return &Error{Op: "ping", Kind: KindIncomplete, Server: o.Name, Err: err}
	}
	return nil
}
