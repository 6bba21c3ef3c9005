package gwstatement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/internal/gwbackend"
)

// Dialect runs the control statements of backend servers of this protocol.
type Dialect struct{ Codec ServerCodec }

var _ gwbackend.Dialect = Dialect{}

// busyPause is the time between two tries of a control statement at a server
// whose queue is full, about the time of one statement.
const busyPause = 10 * time.Millisecond

// promotePause is the time between two looks at a server that is becoming the primary.
const promotePause = 20 * time.Millisecond

// errBusy means that a server answered that it has no room for a statement.
var errBusy = errors.New("the server's queue is full")

// Dial implements gwbackend.Dialect.
func (d Dialect) Dial(ctx context.Context, o gwbackend.Options) (gwbackend.Connection, error) {
	return Dial(ctx, d.Codec, o)
}

// Ping implements gwbackend.Dialect. The protocol has no cheaper question than
// to open a session.
func (d Dialect) Ping(ctx context.Context, o gwbackend.Options) error {
	c, err := Dial(ctx, d.Codec, o)
	if err != nil {
		if gwbackend.ServerError(err) != nil {
			return nil // it refuses, so it is alive
		}
		return err
	}
	return c.Close()
}

// Position implements gwbackend.Dialect.
func (d Dialect) Position(ctx context.Context, c gwbackend.Connection) (gwbackend.Report, error) {
	s, err := d.status(ctx, c, d.Codec.StatusText())
	if errors.Is(err, errBusy) {
		return gwbackend.Report{}, gwbackend.ErrServerBusy
	}
	return s.Report, err
}

// Fence implements gwbackend.Dialect: a primary steps down, a replica stops
// receiving. The position is the last one that the server has received.
func (d Dialect) Fence(ctx context.Context, c gwbackend.Connection, term uint64) (gwbackend.Report, error) {
	s, err := d.urgent(ctx, c, d.Codec.StatusText())
	if err != nil {
		return gwbackend.Report{}, err
	}
	if s.Role == gwbackend.RolePrimary {
		if s, err = d.urgent(ctx, c, d.Codec.StepDownText(term)); err == nil && s.Role == gwbackend.RolePrimary {
			err = errors.Newf("the server still leads term %d", s.Term)
		}
		return s.Report, err
	}
	if s.PausedTerm < term {
		s, err = d.urgent(ctx, c, d.Codec.PauseText(term))
	}
	return s.Report, err
}

// Promote implements gwbackend.Dialect: it waits until the server, which the
// platform was asked to promote, leads. The term is the server's choice.
func (d Dialect) Promote(ctx context.Context, c gwbackend.Connection, _ uint64) (Position, error) {
	for {
		s, err := d.urgent(ctx, c, d.Codec.StatusText())
		if err != nil {
			return Position{}, err
		}
		if s.Role == gwbackend.RolePrimary {
			return Position{Term: s.Term, Offset: s.Position.Offset}, nil
		}
		if err := pause(ctx, promotePause); err != nil {
			return Position{}, err
		}
	}
}

// Follow implements gwbackend.Dialect. The server finds its primary by itself;
// it must only not lead an older term and must receive again.
func (d Dialect) Follow(ctx context.Context, c gwbackend.Connection, term uint64, _ string) (uint64, error) {
	s, err := d.urgent(ctx, c, d.Codec.StatusText())
	if err != nil {
		return 0, err
	}
	if s.Role == gwbackend.RolePrimary {
		_, err = d.urgent(ctx, c, d.Codec.StepDownText(term))
		return 0, err
	}
	if s.PausedTerm > 0 {
		_, err = d.urgent(ctx, c, d.Codec.ResumeText())
	}
	return 0, err
}

// urgent runs a control statement until the server has room for it.
func (d Dialect) urgent(ctx context.Context, c gwbackend.Connection, text string) (ServerStatus, error) {
	for {
		s, err := d.status(ctx, c, text)
		if !errors.Is(err, errBusy) {
			return s, err
		}
		if err := pause(ctx, busyPause); err != nil {
			return s, err
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-t.C:
		return nil
	}
}

// status runs a control statement that is answered with the server's status.
func (d Dialect) status(ctx context.Context, c gwbackend.Connection, text string) (ServerStatus, error) {
	sc, ok := c.(*Conn)
	if !ok {
		return ServerStatus{}, errors.Newf("connection of type %T", c)
	}
	a, err := sc.control(ctx, Position{}, text)
	switch {
	case err != nil:
		return ServerStatus{}, &gwbackend.Error{Op: "control statement", Kind: gwbackend.KindIncomplete, Server: sc.o.Name, Err: err}
	case a.failure != nil && a.failure.Code == Busy:
		return ServerStatus{}, errBusy
	case a.failure != nil:
		return ServerStatus{}, &gwbackend.Error{Op: "control statement", Kind: gwbackend.KindServer, Server: sc.o.Name, Err: serverError(a.failure)}
	}
	return d.Codec.ParseStatus(a.row)
}
