package gwtrace

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"gentianward.example/gentianward/internal/gwdeploy"
	"gentianward.example/gentianward/internal/gwstandin"
	"gentianward.example/gentianward/pkg/gwsession"
)

// convergePollInterval is the interval at which positions are compared.
const convergePollInterval = 10 * time.Millisecond

// Setup executes the statements on each group through the first instance.
func Setup(ctx context.Context, d *gwdeploy.Deployment, statements []string) error {
	for _, g := range d.Groups() {
		conn, err := pgx.Connect(ctx, d.URL(d.Instances()[0], d.FirstCaller(), g))
		if err != nil {
			return &Error{Op: "set up", Kind: NotReplayed, Detail: g, Err: err}
		}
		for _, sql := range statements {
			if _, err = conn.Exec(ctx, sql); err != nil {
				break
			}
		}
		_ = conn.Close(ctx)
		if err != nil {
			return &Error{Op: "set up", Kind: NotReplayed, Detail: g, Err: err}
		}
	}
	return nil
}

// groupServers returns the stand-in servers of a group. Their names start with the
// group's name.
func groupServers(d *gwdeploy.Deployment, group string) []*gwstandin.Server {
	var out []*gwstandin.Server
	for _, s := range d.Servers {
		if strings.HasPrefix(s.Name(), group+"-") {
			out = append(out, s)
		}
	}
	return out
}

// WaitConverged waits until all servers of each group are at the same position. If
// the context ends earlier, the error lists the positions.
func WaitConverged(ctx context.Context, d *gwdeploy.Deployment) error {
	for {
		detail := ""
		for _, g := range d.Groups() {
			positions := make(map[gwsession.Position]bool)
			text := ""
			for _, s := range groupServers(d, g) {
				positions[s.Position()] = true
				text += fmt.Sprintf(" %s=%s", s.Name(), s.Position())
			}
			if len(positions) > 1 {
				detail = "the servers of " + g + " are at different positions:" + text
			}
		}
		if detail == "" {
			return nil
		}
		if sleep(ctx, convergePollInterval) != nil {
			return &Error{Op: "wait for replicas", Kind: NotReplayed, Detail: detail}
		}
	}
}

// readContent reads the record tables of every server. It returns the content of the
// primaries, and a difference for each replica whose content differs and for each
// server that could not be read. It also reads the slots of each group.
func readContent(ctx context.Context, r *replay) (Content, []Difference) {
	tables := make(map[string]bool)
	for _, s := range r.trace.Steps {
		if s.Op == OpWrite {
			tables[s.Table] = true
		}
	}
	content := make(Content)
	var out []Difference
	for _, g := range r.d.Groups() {
		primary := r.d.Primary(g)
		first, err := readServer(ctx, r.d.Server(primary), tables)
		if err != nil {
			out = append(out, Difference{Kind: NotDecided, Group: g, ID: primary, Detail: err.Error()})
			continue
		}
		content[g] = first
		for _, s := range groupServers(r.d, g) {
			if s.Name() == primary {
				continue
			}
			other, err := readServer(ctx, s, tables)
			switch {
			case err != nil:
				out = append(out, Difference{Kind: NotDecided, Group: g, ID: s.Name(), Detail: err.Error()})
			case !maps.EqualFunc(first, other, slices.Equal[[]Row]):
				out = append(out, Difference{Kind: ReplicaDiffers, Group: g, ID: s.Name(), Detail: "its content differs from that of " + primary})
			}
		}
		r.readSlots(ctx, g, primary)
	}
	return content, out
}

// readServer reads the record tables directly from a server.
func readServer(ctx context.Context, s *gwstandin.Server, tables map[string]bool) (map[string][]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	conn, err := dialServer(ctx, s)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close(ctx) }()
	out := make(map[string][]Row)
	for table := range tables {
		rows, err := conn.Query(ctx, "select id, subject, body from "+table+" order by id")
		if err != nil {
			return nil, err
		}
		if out[table], err = pgx.CollectRows(rows, pgx.RowToStructByPos[Row]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// codeTooManyConnections is the SQLSTATE of a server whose connections are all in use.
const codeTooManyConnections = "53300"

// dialServer connects to a server, and retries while its connections are all in use.
func dialServer(ctx context.Context, s *gwstandin.Server) (*pgx.Conn, error) {
	for {
		conn, err := pgx.Connect(ctx, "postgres://check@"+s.Address()+"/check?sslmode=disable")
		if err == nil || !hasSQLState(err, codeTooManyConnections) {
			return conn, err
		}
		if sleep(ctx, convergePollInterval) != nil {
			return nil, err
		}
	}
}

// readSlots adds a final read of each slot from the primary to the history.
func (r *replay) readSlots(ctx context.Context, group, primary string) {
	if len(r.history.slots) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	call := r.now()
	conn, err := dialServer(ctx, r.d.Server(primary))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close(ctx) }()
	rows, err := conn.Query(ctx, "select id, holder from slot")
	if err != nil {
		return
	}
	var id, holder string
	var found []slotOp
	_, err = pgx.ForEachRow(rows, []any{&id, &holder}, func() error {
		found = append(found, slotOp{group: group, slot: id, value: holder, client: len(r.trace.Sessions), call: call})
		return nil
	})
	if err != nil {
		return
	}
	for _, o := range found {
		o.end = r.now()
		r.history.addSlot(o)
	}
}
