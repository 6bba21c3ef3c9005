package gwowner

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// SQL for the table of request keys in each group's database. A row holds the command
// tag of the request, the term under which it ran, and the time in seconds since 1970.
const (
	sqlCreateKeys = `CREATE TABLE IF NOT EXISTS gentianward_request_key (key text PRIMARY KEY, tag text NOT NULL, term bigint NOT NULL, created bigint NOT NULL)`
	sqlFindKey    = `SELECT tag FROM gentianward_request_key WHERE key = %s`
	sqlInsertKey  = `INSERT INTO gentianward_request_key (key, tag, term, created) VALUES (%s, %s, %d, %d)`
	sqlDeleteKeys = `DELETE FROM gentianward_request_key WHERE created < %d`
)

// quoteLiteral returns the string constant of value. A backslash stands for itself in it, as
// the connections of the pool have standard_conforming_strings = on.
func quoteLiteral(value string) string {
	return "'" + strings.ReplaceAll(value, "'", "''") + "'"
}

// sqlInvalidValue is the SQLSTATE of a malformed request key.
const sqlInvalidValue = "22023"

// Intervals and timeout of the removal of expired request keys.
const (
	// keySweepsPerExpiry is the number of removals within the lifetime of a key.
	keySweepsPerExpiry  = 24
	minKeySweepInterval = time.Second
	keySweepTimeout     = 10 * time.Second
)

// sqlUndefinedTable is the SQLSTATE of a missing table.
const sqlUndefinedTable = "42P01"

// keyedExchanges is the usual number of exchanges of a request with a key: the lookup,
// BEGIN, the request itself, the record of the key, and COMMIT.
const keyedExchanges = 5

// writeKeyed runs req and records its key in the same transaction, so that the key is
// stored if and only if the request is done.
func (s *Session) writeKeyed(ctx context.Context, srv *server, req *Request, g gwcontrol.GroupView, deadline time.Time, sink *bufferedSink) Result {
	if !gwoutcome.ValidKey(req.Key) {
		r := failed(gwoutcome.Expired, "the request key is malformed")
		r.State = sqlInvalidValue
		return r
	}
	conn, release, x := srv.acquire(ctx, req, deadline, keyedExchanges, func() bool { return srv.holdsLease(g.Term) })
	if conn == nil {
		return x.failure(sink)
	}
	defer release()
	panicked := true
	defer srv.discardIf(&panicked, conn)
	k := keyedWrite{server: srv, conn: conn, req: req, term: g.Term, sink: sink}
	timed := srv.beginTimed(req.Class, sink)
	defer timed.end()
	x = k.run(ctx)
	panicked = false
	timed.setAnswered(x.event == gwoutcome.Answered)
	srv.backend.Pool().Release(conn, x.event == gwoutcome.Answered)
	if x.event != gwoutcome.Answered {
		r := x.failure(sink)
		r.Term = g.Term
		return r
	}
	if x.Position.IsZero() {
		return k.result(x)
	}
	if e := srv.confirmCommit(ctx, req, g, x); e != gwoutcome.Answered {
		r := failed(e, commitFailureDetail(e))
		r.Term = g.Term
		return r
	}
	r := k.result(x)
	r.Position, r.Term = x.Position, g.Term
	return r
}

// keyedWrite is one execution of a request with a key.
type keyedWrite struct {
	server *server
	conn   gwbackend.Connection
	req    *Request
	term   uint64
	sink   *bufferedSink
	// replayed means that the request was done before, with tag as its command tag.
	replayed bool
	tag      string
}

// run looks the key up and, if it is new, runs the request and records the key in one
// transaction.
func (k *keyedWrite) run(ctx context.Context) execution {
	tag, found, x := k.lookup(ctx)
	if x.event != gwoutcome.Answered || found {
		if found {
			x.Position = k.server.position()
			k.markReplayed(tag)
		}
		return x
	}
	if x = k.query(ctx, "BEGIN", nil); x.event != gwoutcome.Answered {
		return x
	}
	x = k.server.exchange(ctx, k.conn, k.req.Request, k.sink)
	if x.event != gwoutcome.Answered {
		return x
	}
	if x.ServerError != nil {
		return k.rollback(ctx, x)
	}
	tag = ""
	if n := len(x.CommandTags); n > 0 {
		tag = x.CommandTags[n-1]
	}
	return k.commit(ctx, tag)
}

// lookup returns the command tag that is stored for the key, and whether the key is
// stored. It creates the table of keys if that is missing.
func (k *keyedWrite) lookup(ctx context.Context) (string, bool, execution) {
	find := fmt.Sprintf(sqlFindKey, quoteLiteral(k.req.Key))
	var rows firstValueSink
	x := k.query(ctx, find, &rows)
	if x.event == gwoutcome.Answered && x.ServerError != nil && isMissingTable(x) {
		if x = k.query(ctx, sqlCreateKeys, nil); x.event != gwoutcome.Answered {
			return "", false, x
		}
		rows = firstValueSink{}
		x = k.query(ctx, find, &rows)
	}
	return rows.value, rows.found, x
}

func isMissingTable(x execution) bool {
	return x.ServerError.Code == sqlUndefinedTable || strings.Contains(x.ServerError.Message, "no such table")
}

// commit records the key and commits. If a concurrent execution of the same request has
// recorded the key first, this one is rolled back.
func (k *keyedWrite) commit(ctx context.Context, tag string) execution {
	add := fmt.Sprintf(sqlInsertKey, quoteLiteral(k.req.Key), quoteLiteral(tag), k.term, k.server.owner.clock.Now().Unix())
	x := k.query(ctx, add, nil)
	if x.event != gwoutcome.Answered {
		return x
	}
	if x.ServerError != nil {
		k.sink.buf = k.sink.buf[:0]
		return k.rollback(ctx, x)
	}
	x = k.query(ctx, "COMMIT", nil)
	if x.event == gwoutcome.Answered {
		k.setIdleStatus()
	}
	return x
}

// rollback rolls the transaction back after the error in cause. If the key is stored by
// now, another execution has done the request, and it is answered as done.
func (k *keyedWrite) rollback(ctx context.Context, cause execution) execution {
	if x := k.query(ctx, "ROLLBACK", nil); x.event != gwoutcome.Answered {
		return x
	}
	tag, found, x := k.lookup(ctx)
	if x.event != gwoutcome.Answered {
		return x
	}
	if found {
		x.Position = k.server.position()
		k.markReplayed(tag)
		return x
	}
	if len(k.sink.buf) == 0 {
		// The error came from recording the key, not from the request, whose answer was
		// dropped.
		cause.event = gwoutcome.ServerRefused
		cause.detail = "the request key could not be recorded: " + cause.ServerError.Message
		return cause
	}
	k.setIdleStatus()
	cause.TxStatus = 'I'
	return cause
}

func (k *keyedWrite) query(ctx context.Context, sql string, sink gwbackend.Sink) execution {
	return k.server.exchange(ctx, k.conn, gwbackend.Query(sql), sink)
}

// markReplayed drops the buffered answer and records that the request was done before.
// Of its answer, only the command tag is known: the rows of a RETURNING clause are not
// stored.
func (k *keyedWrite) markReplayed(tag string) {
	k.sink.buf = k.sink.buf[:0]
	k.replayed, k.tag = true, tag
}

// result passes the buffered answer on and returns the result. From the result of a
// request that was done before, the entry instance builds the answer with the command tag.
func (k *keyedWrite) result(x execution) Result {
	r := x.deliver(k.sink)
	r.Replayed, r.Tag = k.replayed, k.tag
	return r
}

// setIdleStatus sets the status of the buffered ReadyForQuery to idle, as the server
// sent it inside the transaction that records the key.
func (k *keyedWrite) setIdleStatus() {
	if n := len(k.sink.buf); n > 0 {
		k.sink.buf[n-1] = 'I'
	}
}

// firstValueSink keeps the first column of the first row of an answer.
type firstValueSink struct {
	pending []byte
	value   string
	found   bool
}

// Write parses the complete messages received so far and keeps an incomplete one.
func (r *firstValueSink) Write(b []byte) (int, error) {
	r.pending = append(r.pending, b...)
	for len(r.pending) >= 5 {
		size := 1 + int(uint32(r.pending[1])<<24|uint32(r.pending[2])<<16|uint32(r.pending[3])<<8|uint32(r.pending[4]))
		if len(r.pending) < size {
			break
		}
		r.readMessage(r.pending[0], r.pending[5:size])
		r.pending = r.pending[size:]
	}
	return len(b), nil
}

func (r *firstValueSink) readMessage(kind byte, body []byte) {
	if kind != 'D' || r.found {
		return
	}
	var row pgproto3.DataRow
	if err := row.Decode(body); err != nil || len(row.Values) == 0 {
		return
	}
	r.value, r.found = string(row.Values[0]), true
}

// sweepKeys removes, when it is due, the request keys that are older than the manifest's
// expiry.
func (s *server) sweepKeys(ctx context.Context, g gwcontrol.GroupView) {
	expiry := s.owner.keyExpiry()
	now := s.owner.clock.Now()
	s.mu.Lock()
	due := expiry > 0 && now.Sub(s.keysSweptAt) >= max(minKeySweepInterval, expiry/keySweepsPerExpiry)
	if due {
		s.keysSweptAt = now
	}
	s.mu.Unlock()
	if !due || !s.holdsLease(g.Term) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keySweepTimeout)
	defer cancel()
	req := &Request{Group: g.Group, Server: s.facts().Server, Request: gwbackend.Query(fmt.Sprintf(sqlDeleteKeys, now.Add(-expiry).Unix()))}
	x := s.run(ctx, req, now.Add(keySweepTimeout), nil, func() bool { return s.holdsLease(g.Term) })
	if x.event != gwoutcome.Answered {
		s.owner.log.Warn("expired request keys not removed", "server", s.facts().Server, "group", g.Group, "cause", x.detail)
	}
}
