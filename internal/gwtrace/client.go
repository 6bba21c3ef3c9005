package gwtrace

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// Timeouts and retries of a client, which acts as an ordinary client of a database does.
const (
	connectTimeout = 2 * time.Second
	attemptTimeout = 12 * time.Second
	retryPause     = 50 * time.Millisecond
	// notRunsBeforeMove is the number of attempts rejected as not run after which a
	// client connects to another instance.
	notRunsBeforeMove = 3
	// stepTimeout bounds all attempts at one step. A change of primary takes up to 12 s.
	stepTimeout = 30 * time.Second
)

// client runs the steps of one session over one connection at a time.
type client struct {
	r        *replay
	session  Session
	index    int
	conn     *pgx.Conn
	instance int // index of the instance to which conn is connected
	token    string
}

// bodyPieces is the number of hostile pieces in the body of a record.
const bodyPieces = 8

// recordBody returns the body of the record with an id. It is derived from the id, long
// enough to detect torn content, and ends in a text that some parser would cut or change.
func recordBody(id string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	hostile := HostileText(rand.New(rand.NewPCG(h.Sum64(), 0)), bodyPieces)
	return fmt.Sprintf("%s:%016x:%0128x:%s", id, h.Sum64(), h.Sum64(), hostile)
}

// connect connects the client to the wanted instance, or to the next one that
// accepts the connection. It keeps an open connection to the wanted instance.
func (c *client) connect(ctx context.Context, want int) error {
	if c.conn != nil && !c.conn.IsClosed() && c.instance == want {
		return nil
	}
	c.close()
	nodes := c.r.d.Instances()
	var err error
	for i := range nodes {
		index := (want + i) % len(nodes)
		if err = c.dial(ctx, index); err == nil {
			return nil
		}
	}
	return err
}

var execModes = map[string]pgx.QueryExecMode{
	ProtocolSimple:   pgx.QueryExecModeSimpleProtocol,
	ProtocolExtended: pgx.QueryExecModeExec,
	ProtocolPrepared: pgx.QueryExecModeCacheStatement,
}

func (c *client) dial(ctx context.Context, index int) error {
	n := c.r.d.Instances()[index]
	url := c.r.d.URL(n, c.session.Caller, c.session.Group)
	if url == "" {
		return &Error{Op: "connect", Kind: NotReplayed, Detail: "instance " + n.Settings.Instance + " is not running"}
	}
	config, err := pgx.ParseConfig(url)
	if err != nil {
		return err
	}
	config.DefaultQueryExecMode = execModes[c.session.Protocol]
	if c.session.Token && c.token != "" {
		config.RuntimeParams["gentianward.session"] = c.token
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	c.conn, c.instance = conn, index
	return nil
}

// close closes the connection and keeps the session's token for the next one.
func (c *client) close() {
	if c.conn == nil {
		return
	}
	if t := c.conn.PgConn().ParameterStatus("gentianward.session"); t != "" {
		c.token = t
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryPause)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// run executes a step with retries. If any attempt had an unknown outcome, a
// final rejection as not run leaves the outcome of the step unknown.
func (c *client) run(ctx context.Context, st Step) Event {
	e := c.attempts(ctx, st)
	if e.Outcome == NotRun && e.Unknowns > 0 {
		e.Outcome = Unknown
	}
	return e
}

// attempts repeats a step until it needs no retry or its time is over.
func (c *client) attempts(ctx context.Context, st Step) Event {
	e := Event{Step: st, Caller: c.session.Caller, Group: c.session.Group, FirstAttempt: c.r.now()}
	want := st.Instance % len(c.r.d.Instances())
	for {
		e.Attempts++
		e.LastAttempt = c.r.now()
		err := c.connect(ctx, want)
		if err != nil {
			e.Outcome = NotRun
		} else {
			actx, cancel := context.WithTimeout(ctx, attemptTimeout)
			e.Outcome, err = c.attempt(actx, &e)
			cancel()
			e.Instance = c.r.d.Instances()[c.instance].Settings.Instance
		}
		e.End = c.r.now()
		e.Error = ""
		if err != nil {
			e.Error = err.Error()
		}
		if !c.shouldRetry(&e) || e.End-e.FirstAttempt > stepTimeout || ctx.Err() != nil {
			return e
		}
		if e.Outcome == Unknown || e.NotRuns%notRunsBeforeMove == 0 {
			c.close()
			want++
		}
		if sleep(ctx, retryPause) != nil {
			return e
		}
	}
}

// shouldRetry counts an attempt that did not succeed and reports whether to repeat
// it: always if it was not run, and after an unknown outcome if it is a read or a
// write with a request key.
func (c *client) shouldRetry(e *Event) bool {
	switch e.Outcome {
	case NotRun:
		e.NotRuns++
		return true
	case Unknown:
		e.Unknowns++
		return e.Step.Op == OpRead || e.Step.Op == OpSlotRead || e.Step.Key != ""
	default:
		return false
	}
}

func (c *client) attempt(ctx context.Context, e *Event) (Outcome, error) {
	var err error
	switch e.Step.Op {
	case OpWrite:
		err = c.write(ctx, e.Step)
	case OpRead:
		err = c.read(ctx, e)
	case OpSlotRead:
		err = c.slotRead(ctx, e)
	default:
		return c.slotHold(ctx, e)
	}
	return Classify(err), err
}

func (c *client) write(ctx context.Context, st Step) error {
	sql := "insert into " + st.Table + " (id, subject, body) values ($1, $2, $3)"
	args := []any{st.ID, st.Subject, recordBody(st.ID)}
	if st.Key != "" {
		sql = "/* requestKey=" + st.Key + " */ " + sql
		if c.session.Protocol == ProtocolPrepared {
			// The text differs for each key, so caching it would only fill the client's cache.
			args = append([]any{pgx.QueryExecModeExec}, args...)
		}
	}
	tag, err := c.conn.Exec(ctx, sql, args...)
	if err == nil && tag.RowsAffected() != 1 {
		return &pgconn.PgError{Code: "XX000", Message: "unexpected command tag of the insert: " + tag.String()}
	}
	return err
}

// read reads the records of a subject. The response always includes a row with the
// nonce, which shows whether it belongs to this request.
func (c *client) read(ctx context.Context, e *Event) error {
	st := e.Step
	e.Nonce, e.Echo, e.Rows = fmt.Sprintf("%s/%d", st.ID, e.Attempts), "", nil
	rows, err := c.conn.Query(ctx, "select cast($1 as text) as nonce, id, subject, body from "+st.Table+
		" where subject = $2 union all select cast($1 as text), '', '', ''", e.Nonce, st.Subject)
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		var row Row
		if err := rows.Scan(&e.Echo, &row.ID, &row.Subject, &row.Body); err != nil {
			return &pgconn.PgError{Code: "XX000", Message: "decode row: " + err.Error()}
		}
		if row.ID != "" {
			e.Rows = append(e.Rows, row)
		}
	}
	return rows.Err()
}

func (c *client) slotOp(st Step) slotOp {
	return slotOp{group: c.session.Group, slot: st.Subject, client: c.index, call: c.r.now()}
}

func (c *client) slotRead(ctx context.Context, e *Event) error {
	op := c.slotOp(e.Step)
	if err := c.conn.QueryRow(ctx, "select holder from slot where id = $1", e.Step.Subject).Scan(&op.value); err != nil {
		return err
	}
	op.end = c.r.now()
	c.r.history.addSlot(op)
	return nil
}

// slotHold replaces the holder of a slot in a transaction. A failure before COMMIT
// is sent has no effect on the slot, so its outcome is never unknown.
func (c *client) slotHold(ctx context.Context, e *Event) (Outcome, error) {
	swap, err := c.swapHolder(ctx, e)
	if err != nil {
		if Classify(err) == Failed {
			return Failed, err
		}
		c.close()
		return NotRun, err
	}
	_, err = c.conn.Exec(ctx, "commit")
	outcome := Classify(err)
	swap.end = c.r.now()
	switch outcome {
	case Done:
		c.r.history.addSlot(swap)
	case Unknown:
		swap.unknown = swap.swapped
		if swap.unknown {
			c.r.history.addSlot(swap)
		}
	}
	return outcome, err
}

// swapHolder reads the holder of a slot and replaces it, in a transaction that it
// leaves open. It returns the replacement for the history.
func (c *client) swapHolder(ctx context.Context, e *Event) (slotOp, error) {
	if _, err := c.conn.Exec(ctx, "begin"); err != nil {
		return slotOp{}, err
	}
	read := c.slotOp(e.Step)
	if err := c.conn.QueryRow(ctx, "select holder from slot where id = $1", e.Step.Subject).Scan(&read.value); err != nil {
		return slotOp{}, err
	}
	read.end = c.r.now()
	c.r.history.addSlot(read)
	swap := c.slotOp(e.Step)
	swap.write, swap.old, swap.value = true, read.value, fmt.Sprintf("%s#%d", e.Step.ID, e.Attempts)
	tag, err := c.conn.Exec(ctx, "update slot set holder = $1 where id = $2 and holder = $3", swap.value, e.Step.Subject, swap.old)
	if err != nil {
		return slotOp{}, err
	}
	swap.swapped = tag.RowsAffected() == 1
	return swap, nil
}

// sleep waits for d, or returns the error of a context that ends earlier.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// hasSQLState reports whether err is an SQL error with the given SQLSTATE.
func hasSQLState(err error, code string) bool {
	var pg *pgconn.PgError
	return errors.As(err, &pg) && pg.Code == code
}
