package gwstandin

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a statement that a session has parsed.
type prepared struct {
	sql      string
	keyword  string
	action   action
	readOnly bool
	params   []uint32
	columns  []column
}

// result holds the response to a statement as encoded messages.
type result struct {
	formats  []int16
	describe bool // put a RowDescription before the rows
	rows     []byte
	rowEnds  []int // offset in rows at which each row ends
	tag      string
}

// prepare parses one statement. A statement that SQLite executes is compiled on
// the data that the session sees now.
func (c *session) prepare(sql string) (*prepared, error) {
	if err := checkText("parse statement", sql); err != nil {
		return nil, err
	}
	p := &prepared{sql: sql}
	p.keyword, p.action = classify(sql)
	switch p.action {
	case actionShow:
		p.columns = showColumns(sql)
	case actionControl:
		p.columns = controlColumns(sql)
	case actionSQLite:
		err := c.withVisibleData(func(db *database) error {
			st, err := db.compiled(sql)
			if err != nil {
				return err
			}
			if st == nil {
				p.action = actionEmpty
				return nil
			}
			p.readOnly, p.params, p.columns = st.readOnly, st.params, st.columns
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return p, nil
}

// withVisibleData calls fn with the data that the session sees: those of its open
// write transaction or, without one, those of all committed transactions.
func (c *session) withVisibleData(fn func(db *database) error) error {
	if c.txn != nil {
		return c.txn.withDatabase(fn)
	}
	return c.server.withReadCopy(c.id, fn)
}

// execute runs a statement and stores its rows and command tag in res.
func (c *session) execute(p *prepared, args []any, res *result) error {
	if err := c.server.faults.waitUnfrozen(c.ctx); err != nil {
		return err
	}
	if err := c.checkFailedTxn("execute statement", p.action); err != nil {
		return err
	}
	res.tag = p.keyword
	switch p.action {
	case actionSQLite:
		if p.readOnly {
			return c.executeRead(p, args, res)
		}
		return c.executeWrite(p, args, res)
	case actionBegin:
		return c.beginTransaction(p, res)
	case actionCommit:
		return c.commitTransaction(res)
	case actionRollback:
		res.tag = "ROLLBACK"
		c.rollback()
		return nil
	case actionSavepoint, actionRollbackTo:
		return c.savepoint(p)
	case actionSet, actionEmpty:
		return nil
	case actionDeallocate:
		c.deallocate(p.sql)
		return nil
	case actionShow:
		return c.show(p, res)
	case actionControl:
		return c.control(p, res)
	default:
		return newError("execute statement", KindStatement, stateNotSupported, "%s is not supported", p.keyword)
	}
}

// checkFailedTxn returns an error if the session's transaction has failed and a
// failed transaction does not allow the action.
func (c *session) checkFailedTxn(op string, a action) error {
	if c.txStatus != txFailed {
		return nil
	}
	switch a {
	case actionCommit, actionRollback, actionRollbackTo, actionEmpty:
		return nil
	}
	return newError(op, KindStatement, stateFailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}

// acquireSlot waits for a slot and, if withCost is set, occupies it for
// StatementCost before it returns. The returned function releases the slot.
func (c *session) acquireSlot(withCost bool) (release func(), err error) {
	s := c.server
	release = func() {}
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
			release = func() { <-s.slots }
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		}
	}
	if withCost && s.o.StatementCost > 0 {
		err = s.sleep(c.ctx, s.o.StatementCost)
	}
	if err == nil {
		err = s.faults.waitUnfrozen(c.ctx)
	}
	if err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func (c *session) executeRead(p *prepared, args []any, res *result) error {
	c.server.statements.Add(1)
	release, err := c.acquireSlot(true)
	if err != nil {
		return err
	}
	defer release()
	return c.withVisibleData(func(db *database) error {
		st, err := db.compiled(p.sql)
		if err != nil {
			return err
		}
		return c.runAndEncode(st, p, args, res)
	})
}

func (c *session) executeWrite(p *prepared, args []any, res *result) error {
	c.server.statements.Add(1)
	if c.readOnly {
		return notWritableError(p.keyword)
	}
	release, err := c.beginWrite(p.keyword)
	if err != nil {
		return err
	}
	defer release()
	return c.txn.withDatabase(func(db *database) error {
		st, err := db.compiled(p.sql)
		if err != nil {
			return err
		}
		if err := c.runAndEncode(st, p, args, res); err != nil {
			return err
		}
		c.txn.record(st, p.sql, args)
		if st.changesSchema {
			db.clearCache()
		}
		return nil
	})
}

// beginWrite opens the write transaction if there is none and acquires a slot. A
// statement that waits for the write lock holds no slot, because the transaction
// that has the lock needs a slot for its next statement.
func (c *session) beginWrite(op string) (release func(), err error) {
	s := c.server
	if c.txn != nil {
		return c.acquireSlot(true)
	}
	s.mu.Lock()
	ok := s.writable()
	s.mu.Unlock()
	if !ok {
		return nil, notWritableError(op)
	}
	if release, err = c.acquireSlot(true); err != nil {
		return nil, err
	}
	select {
	case s.writeLock <- struct{}{}:
	default:
		release()
		if err := s.acquireWriteLock(c.ctx); err != nil {
			return nil, err
		}
		if release, err = c.acquireSlot(false); err != nil {
			<-s.writeLock
			return nil, err
		}
	}
	if c.txn, err = s.beginWriteTxn(op); err != nil {
		release()
		return nil, err
	}
	c.implicit = c.txStatus == txIdle
	return release, nil
}

// runAndEncode runs st and stores its encoded rows and command tag in res.
func (c *session) runAndEncode(st *stmt, p *prepared, args []any, res *result) error {
	columns := st.columns
	described := !res.describe || len(columns) == 0
	n := int64(0)
	changed, err := c.execInterruptible(st, args, func(st *stmt) error {
		if !described {
			columns, described = columnsOfRow(st), true
			res.rows = appendRowDescription(res.rows, columns, res.formats)
		}
		n++
		var err error
		if res.rows, err = appendDataRow(res.rows, st, columns, res.formats); err != nil {
			return err
		}
		if len(res.rows) > maxResultBytes {
			return newError("execute statement", KindLimit, stateLimitExceeded, "result exceeds %d bytes", maxResultBytes)
		}
		res.rowEnds = append(res.rowEnds, len(res.rows))
		return nil
	})
	if err != nil {
		return err
	}
	if !described {
		res.rows = appendRowDescription(res.rows, columns, res.formats)
	}
	tag, counted := commandTag(p.keyword, p.sql, st.readOnly)
	if counted {
		if st.readOnly {
			changed = n
		}
		tag += strconv.FormatInt(changed, 10)
	}
	res.tag = tag
	return nil
}

// columnsOfRow returns the columns of st; those without a declared type get the
// type of their value in the current row.
func columnsOfRow(st *stmt) []column {
	columns := append([]column{}, st.columns...)
	for i := range columns {
		if columns[i].OID == oidUnknown {
			columns[i].OID = st.value(i).oid()
		}
	}
	return columns
}

// formatOf returns the format code that applies to column i.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return formatText
	}
}

func appendRowDescription(dst []byte, columns []column, formats []int16) []byte {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, col := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(col.Name), DataTypeOID: col.OID, DataTypeSize: -1, TypeModifier: -1, Format: formatOf(formats, i),
		}
	}
	// Encode fails only for messages beyond 1 GiB.
	out, err := (&pgproto3.RowDescription{Fields: fields}).Encode(dst)
	if err != nil {
		return dst
	}
	return out
}

// appendDataRow encodes the current row directly from SQLite's memory, without the
// allocations of pgproto3.DataRow.
func appendDataRow(dst []byte, st *stmt, columns []column, formats []int16) ([]byte, error) {
	dst = append(dst, 'D', 0, 0, 0, 0)
	start := len(dst) - 4
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(columns)))
	for i, col := range columns {
		var err error
		if dst, err = appendValue(dst, st.value(i), col.OID, formatOf(formats, i)); err != nil {
			return nil, err
		}
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start))
	return dst, nil
}

// addTextRow adds one row of text values to res.
func (res *result) addTextRow(columns []column, values ...string) {
	if res.describe {
		res.rows = appendRowDescription(res.rows, columns, nil)
	}
	row := pgproto3.DataRow{}
	for _, v := range values {
		row.Values = append(row.Values, []byte(v))
	}
	if out, err := row.Encode(res.rows); err == nil {
		res.rows = out
	}
	res.rowEnds = append(res.rowEnds, len(res.rows))
}

func (c *session) beginTransaction(p *prepared, res *result) error {
	res.tag = "BEGIN"
	if c.txStatus == txIdle {
		c.txStatus = txOpen
		c.implicit = false
		c.readOnly = strings.Contains(strings.ToUpper(strings.Join(operands(p.sql), " ")), "READ ONLY")
	}
	return nil
}

func (c *session) commitTransaction(res *result) error {
	res.tag = "COMMIT"
	if c.txStatus == txFailed {
		res.tag = "ROLLBACK"
		c.rollback()
		return nil
	}
	if c.txn != nil {
		release, err := c.acquireSlot(true)
		if err != nil {
			return err
		}
		defer release()
	}
	return c.commit()
}

// commit commits the transaction, or rolls it back on error. In both cases the
// session is outside a transaction afterwards.
func (c *session) commit() error {
	t := c.txn
	c.txn, c.implicit, c.readOnly, c.txStatus = nil, false, false, txIdle
	if t == nil {
		return nil
	}
	p, err := t.commit()
	if err != nil || p.IsZero() {
		return err
	}
	c.commitPosition = p
	if c.server.faults.consumeLostAnswer() {
		c.disconnect = true
	}
	return nil
}

// commitImplicit commits the writes of a request outside a transaction block.
func (c *session) commitImplicit() {
	if !c.implicit {
		return
	}
	if err := c.commit(); err != nil {
		c.fail(err)
	}
}

func (c *session) rollback() {
	if c.txn != nil {
		c.txn.abort(nil)
	}
	c.txn, c.implicit, c.readOnly, c.txStatus = nil, false, false, txIdle
}

// savepoint executes a savepoint statement on the write transaction, which it
// opens if there is none. If the transaction cannot write, savepoints have no effect.
func (c *session) savepoint(p *prepared) error {
	if c.txStatus == txIdle {
		return newError("execute statement", KindStatement, stateNoTransaction, "%s can only be used in transaction blocks", p.keyword)
	}
	if c.txn == nil {
		c.server.mu.Lock()
		writable := c.server.writable()
		c.server.mu.Unlock()
		if !writable || c.readOnly {
			c.txStatus = txOpen
			return nil
		}
		if err := c.server.acquireWriteLock(c.ctx); err != nil {
			return err
		}
		var err error
		if c.txn, err = c.server.beginWriteTxn(p.keyword); err != nil {
			return err
		}
	}
	err := c.txn.withDatabase(func(db *database) error {
		st, err := db.compiled(p.sql)
		if err != nil {
			return err
		}
		if _, err := st.run(nil, nil); err != nil {
			return err
		}
		c.txn.statements = append(c.txn.statements, statement{SQL: p.sql})
		if c.txn.schemaChanged {
			db.clearCache()
		}
		return nil
	})
	if err == nil {
		c.txStatus = txOpen
	}
	return err
}

// deallocate drops prepared statements: one by name, or all.
func (c *session) deallocate(sql string) {
	words := operands(sql)
	if len(words) == 0 {
		return
	}
	name := words[len(words)-1]
	switch {
	case strings.EqualFold(name, "ALL"):
		clear(c.stmts)
	case name[0] == '"':
		delete(c.stmts, unquote(name))
	default:
		delete(c.stmts, strings.ToLower(name))
	}
}
