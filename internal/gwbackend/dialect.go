package gwbackend

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/pkg/gwsession"
)

// Role is the role of a server in its group.
type Role string

// Roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Report is the role and the log position that a server reports.
type Report struct {
	Role Role `json:"role" cbor:"1,keyasint"`
	// Term is the term in which the server leads or follows. The position has the
	// term of the last commit, which may be an earlier one.
	Term            uint64             `json:"term" cbor:"5,keyasint"`
	Position        gwsession.Position `json:"position" cbor:"2,keyasint"`
	Paused          bool               `json:"paused,omitempty" cbor:"4,keyasint,omitempty"` // a replica that was told to stop receiving
	PreviousTermEnd uint64             `json:"previousTermEnd" cbor:"3,keyasint"`            // offset at which the position's term began
}

// Dialect implements the operations that are specific to one database product. Its
// methods run control statements; their errors are of this package's type.
type Dialect interface {
	// Dial opens a connection.
	Dial(ctx context.Context, o Options) (Connection, error)
	// Ping checks that the server answers, without occupying a slot where the
	// protocol allows that.
	Ping(ctx context.Context, o Options) error
	// Position queries role, term and position.
	Position(ctx context.Context, c Connection) (Report, error)
	// Promote makes the server the primary of the term, and returns the
	// position at which the term begins.
	Promote(ctx context.Context, c Connection, term uint64) (gwsession.Position, error)
	// Follow makes the server a replica of the primary at the address, and
	// returns how many log entries it dropped for that.
	Follow(ctx context.Context, c Connection, term uint64, primaryAddress string) (dropped uint64, err error)
	// Fence makes the server refuse writes of terms before the given one.
	Fence(ctx context.Context, c Connection, term uint64) (Report, error)
}

// StandinDialect is the Dialect of the project's database stand-in.
type StandinDialect struct{}

var _ Dialect = StandinDialect{}

// Dial implements Dialect.
func (StandinDialect) Dial(ctx context.Context, o Options) (Connection, error) { return Dial(ctx, o) }

// Ping implements Dialect: it sends an SSLRequest and does not log in, so that it
// occupies neither a slot nor one of the server's connections.
func (StandinDialect) Ping(ctx context.Context, o Options) error { return ping(ctx, o) }

// queryRow runs a control statement on a connection of the PostgreSQL protocol.
func queryRow(ctx context.Context, c Connection, sql string) (Row, error) {
	pc, ok := c.(*Conn)
	if !ok {
		return Row{}, &Error{Op: "query", Kind: KindNotSent, Err: errors.Newf("connection of type %T does not use the PostgreSQL protocol", c)}
	}
	return pc.QueryRow(ctx, sql)
}

// Position implements Dialect.
func (StandinDialect) Position(ctx context.Context, c Connection) (Report, error) {
	return reportOf(queryRow(ctx, c, "SHOW gentianward.position"))
}

// Fence implements Dialect.
func (StandinDialect) Fence(ctx context.Context, c Connection, term uint64) (Report, error) {
	return reportOf(queryRow(ctx, c, fmt.Sprintf("GENTIANWARD FENCE %d", term)))
}

// Promote implements Dialect.
func (StandinDialect) Promote(ctx context.Context, c Connection, term uint64) (gwsession.Position, error) {
	row, err := queryRow(ctx, c, fmt.Sprintf("GENTIANWARD PROMOTE %d", term))
	if err != nil {
		return gwsession.Position{}, err
	}
	return row.position()
}

// Follow implements Dialect.
func (StandinDialect) Follow(ctx context.Context, c Connection, term uint64, primaryAddress string) (uint64, error) {
	if strings.ContainsRune(primaryAddress, 0) {
		return 0, &Error{Op: "follow primary", Kind: KindNotSent, Err: errors.New("primary address contains NUL")}
	}
	quoted := "'" + strings.ReplaceAll(primaryAddress, "'", "''") + "'"
	row, err := queryRow(ctx, c, fmt.Sprintf("GENTIANWARD FOLLOW %d %s", term, quoted))
	if err != nil {
		return 0, err
	}
	return row.number("dropped")
}

func reportOf(row Row, err error) (Report, error) {
	if err != nil {
		return Report{}, err
	}
	r := Report{Role: Role(row.Get("role"))}
	if r.Role != RolePrimary && r.Role != RoleReplica {
		return Report{}, row.error(errors.Newf("unknown role %q", r.Role))
	}
	if r.Position, err = row.position(); err != nil {
		return Report{}, err
	}
	r.Term = r.Position.Term
	if row.Get("previousTermEnd") != "" {
		r.PreviousTermEnd, err = row.number("previousTermEnd")
	}
	return r, err
}

// position reads the columns term and offset, or the column position of the
// form "term/offset".
func (r Row) position() (gwsession.Position, error) {
	if text := r.Get("position"); text != "" {
		p, err := gwsession.ParsePosition(text)
		if err != nil {
			return p, r.error(err)
		}
		return p, nil
	}
	term, err := r.number("term")
	if err != nil {
		return gwsession.Position{}, err
	}
	offset, err := r.number("offset")
	if err != nil {
		return gwsession.Position{}, err
	}
	return gwsession.Position{Term: term, Offset: offset}, nil
}

func (r Row) number(column string) (uint64, error) {
	n, err := strconv.ParseUint(r.Get(column), 10, 64)
	if err != nil {
		return 0, r.error(errors.Wrapf(err, "column %q", column))
	}
	return n, nil
}

func (r Row) error(err error) error {
	return &Error{Op: "read answer", Kind: KindServer, Server: r.server, Err: err}
}
