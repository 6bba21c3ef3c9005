package gwstatement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwtelemetry"
)

// Dialect runs the control statements of backend servers of this protocol.
type Dialect struct {
	Codec ServerCodec
	// Unreadable records replies of servers that cannot be read; nil for none.
	Unreadable *gwtelemetry.Unreadable
	// Answers has the memory of large answers; nil for no bound.
	Answers *gwbudget.Pool
}

var _ gwbackend.Dialect = Dialect{}

// busyRetryDelay is the time between two attempts of a control statement at a server
// whose queue is full, about the time that one statement takes.
const busyRetryDelay = 10 * time.Millisecond

// promotePollInterval is the time between two status queries of a server that is being
// promoted.
const promotePollInterval = 20 * time.Millisecond

// errBusy means that a server refused a statement because its queue is full.
var errBusy = errors.New("the server's queue is full")

// Dial implements gwbackend.Dialect.
func (d Dialect) Dial(ctx context.Context, o gwbackend.Options) (gwbackend.Connection, error) {
	return d.dial(ctx, o)
}

// Ping implements gwbackend.Dialect. The protocol has no cheaper request than opening a
// session.
func (d Dialect) Ping(ctx context.Context, o gwbackend.Options) error {
	c, err := d.dial(ctx, o)
	if err != nil {
		if gwbackend.ServerError(err) != nil {
			return nil // a refusal shows that it is alive
		}
		return err
	}
	return c.Close()
}

// Position implements gwbackend.Dialect.
func (d Dialect) Position(ctx context.Context, c gwbackend.Connection) (gwbackend.Report, error) {
	s, err := d.runControl(ctx, c, d.Codec.StatusText())
	if errors.Is(err, errBusy) {
		return gwbackend.Report{}, gwbackend.ErrServerBusy
	}
	return s.Report, err
}

// Fence implements gwbackend.Dialect: a primary steps down, a replica stops
// receiving. The position is the last one that the server has received.
func (d Dialect) Fence(ctx context.Context, c gwbackend.Connection, term uint64) (gwbackend.Report, error) {
	s, err := d.runUntilNotBusy(ctx, c, d.Codec.StatusText())
	if err != nil {
		return gwbackend.Report{}, err
	}
	if s.Role == gwbackend.RolePrimary {
		if s, err = d.runUntilNotBusy(ctx, c, d.Codec.StepDownText(term)); err == nil && s.Role == gwbackend.RolePrimary {
			err = errors.Newf("the server still leads term %d", s.Term)
		}
		return s.Report, err
	}
	if s.PausedTerm < term {
		s, err = d.runUntilNotBusy(ctx, c, d.Codec.PauseText(term))
	}
	return s.Report, err
}

// Promote implements gwbackend.Dialect: it waits until the server, which the platform
// was asked to promote, leads. The server chooses the term.
func (d Dialect) Promote(ctx context.Context, c gwbackend.Connection, _ uint64) (Position, error) {
	for {
		s, err := d.runUntilNotBusy(ctx, c, d.Codec.StatusText())
		if err != nil {
			return Position{}, err
		}
		if s.Role == gwbackend.RolePrimary {
			return Position{Term: s.Term, Offset: s.Position.Offset}, nil
		}
		if err := sleep(ctx, promotePollInterval); err != nil {
			return Position{}, err
		}
	}
}

// Follow implements gwbackend.Dialect. The server finds its primary on its own; it only
// has to step down if it leads an older term, and to resume receiving.
func (d Dialect) Follow(ctx context.Context, c gwbackend.Connection, term uint64, _ string) (uint64, error) {
	s, err := d.runUntilNotBusy(ctx, c, d.Codec.StatusText())
	if err != nil {
		return 0, err
	}
	if s.Role == gwbackend.RolePrimary {
		_, err = d.runUntilNotBusy(ctx, c, d.Codec.StepDownText(term))
		return 0, err
	}
	if s.PausedTerm > 0 {
		_, err = d.runUntilNotBusy(ctx, c, d.Codec.ResumeText())
	}
	return 0, err
}

// runUntilNotBusy repeats a control statement while the server's queue is full.
func (d Dialect) runUntilNotBusy(ctx context.Context, c gwbackend.Connection, text string) (ServerStatus, error) {
	for {
		s, err := d.runControl(ctx, c, text)
		if !errors.Is(err, errBusy) {
			return s, err
		}
		if err := sleep(ctx, busyRetryDelay); err != nil {
			return s, err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-t.C:
		return nil
	}
}

// runControl runs a control statement, which is answered with the server's status.
func (d Dialect) runControl(ctx context.Context, c gwbackend.Connection, text string) (ServerStatus, error) {
	sc, ok := c.(*Conn)
	if !ok {
		return ServerStatus{}, errors.Newf("connection of type %T does not use the statement protocol", c)
	}
	a, err := sc.runControl(ctx, Position{}, text)
	switch {
	case err != nil:
		return ServerStatus{}, &gwbackend.Error{Op: "run control statement", Kind: gwbackend.KindIncomplete, Server: sc.o.Name, Err: err}
	case a.failure != nil && a.failure.Code == Busy:
		return ServerStatus{}, errBusy
	case a.failure != nil:
		return ServerStatus{}, &gwbackend.Error{Op: "run control statement", Kind: gwbackend.KindServer, Server: sc.o.Name, Err: pgError(a.failure)}
	}
	return d.Codec.ParseStatus(a.row)
}
