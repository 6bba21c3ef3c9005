package gwstandin

import (
	"context"
	"sync"

	"gentianward.example/gentianward/pkg/gwsession"
)

// maxCopyLag is the number of missing log entries at which a copy that is not in use
// is brought up to date in the background. Otherwise the first statement after many
// writes would have to apply all of them.
const maxCopyLag = 64

// catchUpInBackground brings lagging copies up to date whenever the log changes.
func (s *Server) catchUpInBackground(ctx context.Context) {
	for {
		v := s.log.view()
		for _, c := range s.readCopies {
			s.catchUpIfBehind(c, len(v.entries))
		}
		select {
		case s.writeLock <- struct{}{}:
			s.catchUpIfBehind(s.writeCopy, len(v.entries))
			<-s.writeLock
		default:
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return
		}
	}
}

// catchUpIfBehind brings a copy up to date if it is not in use and lags.
func (s *Server) catchUpIfBehind(c *dataCopy, end int) {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	if end-c.applied >= maxCopyLag {
		if err := c.catchUp(s.log); err != nil {
			s.o.Logger.Error("applying the replication log to a copy failed", "error", err)
		}
	}
}

// withReadCopy calls fn with an up-to-date read copy, preferably a free one. The
// search begins at the index start, so that sessions spread over the copies.
func (s *Server) withReadCopy(start uint32, fn func(db *database) error) error {
	n := uint32(len(s.readCopies))
	for i := range n {
		if c := s.readCopies[(start+i)%n]; c.mu.TryLock() {
			defer c.mu.Unlock()
			return s.readFrom(c, fn)
		}
	}
	c := s.readCopies[start%n]
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.readFrom(c, fn)
}

func (s *Server) readFrom(c *dataCopy, fn func(db *database) error) error {
	if err := c.catchUp(s.log); err != nil {
		return err
	}
	return fn(c.db)
}

// writeTxn is the open write transaction. It holds the write lock until it ends.
type writeTxn struct {
	server *Server

	mu            sync.Mutex // held during each statement and during commit or rollback
	statements    []statement
	wrote         bool
	schemaChanged bool
	ended         bool
	cause         error // why the server ended the transaction; nil if the client did
}

// notWritableError is the error of a write on a replica or on a fenced primary.
func notWritableError(op string) error {
	return newError(op, KindRole, stateReadOnly, "cannot execute %s in a read-only transaction", op)
}

// writable reports whether the server may commit writes. The caller holds mu.
func (s *Server) writable() bool {
	return s.role == RolePrimary && s.fence <= s.log.view().term()
}

// acquireWriteLock waits for the write lock or the end of the context.
func (s *Server) acquireWriteLock(ctx context.Context) error {
	select {
	case s.writeLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginWriteTxn opens a write transaction. The caller holds the write lock, which
// passes to the transaction or is released on error.
func (s *Server) beginWriteTxn(op string) (*writeTxn, error) {
	t := &writeTxn{server: s}
	s.writeCopy.mu.Lock()
	err := s.writeCopy.catchUp(s.log)
	if err == nil {
		err = s.writeCopy.db.exec("BEGIN")
	}
	s.writeCopy.mu.Unlock()
	if err != nil {
		<-s.writeLock
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.mu.Lock()
	ok := s.writable()
	if ok {
		s.openTxn = t
	}
	s.mu.Unlock()
	if !ok {
		t.rollback(notWritableError(op))
		return nil, notWritableError(op)
	}
	return t, nil
}

// rollback rolls the transaction back unless it has ended. The caller holds t.mu.
func (t *writeTxn) rollback(cause error) {
	if t.ended {
		return
	}
	db := t.server.writeCopy.db
	if db.inTransaction() {
		if err := db.exec("ROLLBACK"); err != nil {
			t.server.o.Logger.Error("rolling back the write transaction failed", "error", err)
		}
	}
	t.finish(cause)
}

// finish marks the transaction as ended and releases the write lock. The caller
// holds t.mu.
func (t *writeTxn) finish(cause error) {
	t.ended, t.cause = true, cause
	if t.schemaChanged {
		t.server.writeCopy.db.clearCache()
	}
	t.server.mu.Lock()
	if t.server.openTxn == t {
		t.server.openTxn = nil
	}
	t.server.mu.Unlock()
	<-t.server.writeLock
}

// abort rolls the transaction back. If the server may no longer write, cause is the
// error for later statements of the transaction; it is nil if the client ended it.
func (t *writeTxn) abort(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rollback(cause)
}

// withDatabase calls fn with the database of the transaction.
func (t *writeTxn) withDatabase(fn func(db *database) error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return t.cause
	}
	err := fn(t.server.writeCopy.db)
	if err != nil && !t.server.writeCopy.db.inTransaction() {
		t.finish(err) // some errors make SQLite roll back the whole transaction
	}
	return err
}

// record adds an executed statement to the transaction. It is called inside
// withDatabase.
func (t *writeTxn) record(st *stmt, sql string, args []any) {
	t.statements = append(t.statements, statement{SQL: sql, Args: args})
	if !st.readOnly {
		t.wrote = true
	}
	t.schemaChanged = t.schemaChanged || st.changesSchema
}

// commit commits the transaction and returns its position, which is zero if it
// wrote nothing.
func (t *writeTxn) commit() (gwsession.Position, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return gwsession.Position{}, t.cause
	}
	if !t.wrote {
		t.rollback(nil)
		return gwsession.Position{}, nil
	}
	s := t.server
	// The fence is checked, the data are committed and the log is extended under
	// s.mu, so that no write commits after a fence was confirmed.
	s.mu.Lock()
	var err error
	if s.writable() {
		err = s.writeCopy.db.exec("COMMIT")
	} else {
		err = notWritableError("COMMIT")
	}
	if err != nil {
		s.mu.Unlock()
		t.rollback(err)
		return gwsession.Position{}, err
	}
	e := &entry{Statements: t.statements}
	p := s.log.append(e)
	s.writeCopy.setApplied(int(p.Offset), e)
	s.mu.Unlock()
	t.finish(nil)
	return p, nil
}
