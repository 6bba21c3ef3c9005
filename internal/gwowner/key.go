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

// The table of request keys in each group's database. A row tells under which
// primary's term and when, in seconds since 1970, the request ran.
const (
	sqlCreateKeys = `CREATE TABLE IF NOT EXISTS gentianward_request_key (key text PRIMARY KEY, tag text NOT NULL, term bigint NOT NULL, created bigint NOT NULL)`
	sqlFindKey    = `SELECT tag FROM gentianward_request_key WHERE key = '%s'`
	sqlAddKey     = `INSERT INTO gentianward_request_key (key, tag, term, created) VALUES ('%s', '%s', %d, %d)`
	sqlDropKeys   = `DELETE FROM gentianward_request_key WHERE created < %d`
)

// Removal of old request keys.
const (
	// keySweeps is how often keys are removed within their lifetime.
	keySweeps       = 24
	minKeySweep     = time.Second
	keySweepTimeout = 10 * time.Second
)

// sqlUndefinedTable is the SQLSTATE of a missing table.
const sqlUndefinedTable = "42P01"

// writeKeyed runs req and records its key in one transaction, so that the key
// is there exactly if the request is done.
func (s *Session) writeKeyed(ctx context.Context, srv *server, req *Request, g gwcontrol.GroupView, deadline time.Time, sink *heldSink) Result {
	release, err := srv.admission.acquire(ctx, req.Class, deadline, req.QueueWait)
	if err != nil {
		return failed(admissionEvent(err), err.Error())
	}
	defer release()
	conn, err := srv.backend.Pool().Acquire(ctx)
	if err != nil {
		e := acquireEvent(err)
		srv.observe(e)
		return failed(e, err.Error())
	}
	if !srv.holdsLease(g.Term) {
		srv.backend.Pool().Release(conn, true)
		return failed(gwoutcome.NoLease, errNoLease.Error())
	}
	k := keyedWrite{server: srv, conn: conn, req: req, term: g.Term, sink: sink}
	x := k.run(ctx)
	srv.backend.Pool().Release(conn, x.event == gwoutcome.Answered)
	if x.event != gwoutcome.Answered {
		r := x.failure(sink)
		r.Term = g.Term
		return r
	}
	if x.Position.IsZero() {
		return k.result(x)
	}
	if e := srv.settle(ctx, req, g, x.Position); e != gwoutcome.Answered {
		r := failed(e, settleDetail(e))
		r.Term = g.Term
		return r
	}
	r := k.result(x)
	r.Position, r.Term = x.Position, g.Term
	return r
}

// keyedWrite is one run of a request with a key.
type keyedWrite struct {
	server *server
	conn   gwbackend.Connection
	req    *Request
	term   uint64
	sink   *heldSink
	// replayed means that the request ran before, with tag as its command tag.
	replayed bool
	tag      string
}

// run looks the key up, runs the request and records the key in a transaction.
func (k *keyedWrite) run(ctx context.Context) execution {
	tag, found, x := k.lookup(ctx)
	if x.event != gwoutcome.Answered || found {
		if found {
			x.Position = k.server.position()
			k.replay(tag)
		}
		return x
	}
	if x = k.simple(ctx, "BEGIN", nil); x.event != gwoutcome.Answered {
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

// lookup reads the tag of a request that ran before.
func (k *keyedWrite) lookup(ctx context.Context) (string, bool, execution) {
	find := fmt.Sprintf(sqlFindKey, k.req.Key)
	var rows rowSink
	x := k.simple(ctx, find, &rows)
	if x.event == gwoutcome.Answered && x.ServerError != nil && isMissingTable(x) {
		if x = k.simple(ctx, sqlCreateKeys, nil); x.event != gwoutcome.Answered {
			return "", false, x
		}
		rows = rowSink{}
		x = k.simple(ctx, find, &rows)
	}
	return rows.value, rows.found, x
}

func isMissingTable(x execution) bool {
	return x.ServerError.Code == sqlUndefinedTable || strings.Contains(x.ServerError.Message, "no such table")
}

// commit records the key and commits. A key that another run of the same
// request has recorded meanwhile undoes this run.
func (k *keyedWrite) commit(ctx context.Context, tag string) execution {
	add := fmt.Sprintf(sqlAddKey, k.req.Key, strings.ReplaceAll(tag, "'", ""), k.term, k.server.owner.clock.Now().Unix())
	x := k.simple(ctx, add, nil)
	if x.event != gwoutcome.Answered {
		return x
	}
	if x.ServerError != nil {
		k.sink.buf = k.sink.buf[:0]
		return k.rollback(ctx, x)
	}
	x = k.simple(ctx, "COMMIT", nil)
	if x.event == gwoutcome.Answered {
		k.endOutsideTransaction()
	}
	return x
}

// rollback ends the transaction after an error. If the key is there now, the
// request ran before and is answered as done.
func (k *keyedWrite) rollback(ctx context.Context, cause execution) execution {
	if x := k.simple(ctx, "ROLLBACK", nil); x.event != gwoutcome.Answered {
		return x
	}
	tag, found, x := k.lookup(ctx)
	if x.event != gwoutcome.Answered {
		return x
	}
	if found {
		x.Position = k.server.position()
		k.replay(tag)
		return x
	}
	if len(k.sink.buf) == 0 {
		// The error came from recording the key; the request itself had no answer of its own.
		cause.event = gwoutcome.ServerRefused
		cause.detail = "the request key could not be recorded: " + cause.ServerError.Message
		return cause
	}
	k.endOutsideTransaction()
	cause.TxStatus = 'I'
	return cause
}

func (k *keyedWrite) simple(ctx context.Context, sql string, sink gwbackend.Sink) execution {
	return k.server.exchange(ctx, k.conn, gwbackend.Query(sql), sink)
}

// replay answers a request that ran before. The rows of a RETURNING clause are
// not kept, only the command tag is.
func (k *keyedWrite) replay(tag string) {
	k.sink.buf = k.sink.buf[:0]
	k.replayed, k.tag = true, tag
}

// result passes the answer on, or tells the entry instance to make the one of a
// request that ran before.
func (k *keyedWrite) result(x execution) Result {
	r := x.finish(k.sink)
	r.Replayed, r.Tag = k.replayed, k.tag
	return r
}

// endOutsideTransaction replaces the ReadyForQuery of the request, which was
// sent inside the transaction that records the key.
func (k *keyedWrite) endOutsideTransaction() {
	if n := len(k.sink.buf); n > 0 {
		k.sink.buf[n-1] = 'I'
	}
}

// rowSink keeps the first column of the first row of an answer.
type rowSink struct {
	pending []byte
	value   string
	found   bool
}

// Write scans complete messages in b for the first DataRow.
func (r *rowSink) Write(b []byte) (int, error) {
	r.pending = append(r.pending, b...)
	for len(r.pending) >= 5 {
		size := 1 + int(uint32(r.pending[1])<<24|uint32(r.pending[2])<<16|uint32(r.pending[3])<<8|uint32(r.pending[4]))
		if len(r.pending) < size {
			break
		}
		r.message(r.pending[0], r.pending[5:size])
		r.pending = r.pending[size:]
	}
	return len(b), nil
}

func (r *rowSink) message(kind byte, body []byte) {
	if kind != 'D' || r.found {
		return
	}
	var row pgproto3.DataRow
	if err := row.Decode(body); err != nil || len(row.Values) == 0 {
		return
	}
	r.value, r.found = string(row.Values[0]), true
}

// sweepKeys removes the request keys that are older than the manifest's expiry.
func (s *server) sweepKeys(ctx context.Context, g gwcontrol.GroupView) {
	expiry := s.owner.keyExpiry()
	now := s.owner.clock.Now()
	s.mu.Lock()
	due := expiry > 0 && now.Sub(s.sweptAt) >= max(minKeySweep, expiry/keySweeps)
	if due {
		s.sweptAt = now
	}
	s.mu.Unlock()
	if !due || !s.holdsLease(g.Term) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keySweepTimeout)
	defer cancel()
	req := &Request{Group: g.Group, Server: s.facts.Server, Request: gwbackend.Query(fmt.Sprintf(sqlDropKeys, now.Add(-expiry).Unix()))}
	x := s.run(ctx, req, now.Add(keySweepTimeout), nil, func() bool { return s.holdsLease(g.Term) })
	if x.event != gwoutcome.Answered {
		s.owner.log.Warn("old request keys not removed", "server", s.facts.Server, "group", g.Group, "cause", x.detail)
	}
}
