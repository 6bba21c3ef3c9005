package gwstandin

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a parsed statement of a session.
type prepared struct {
	sql      string
	keyword  string
	action   action
	readOnly bool
	params   []uint32
	columns  []column
}

// result collects the answer to a statement as encoded messages.
type result struct {
	formats  []int16
	describe bool // precede the rows by a RowDescription
	rows     []byte
	ends     []int // end of each row in rows
	tag      string
}

// prepare parses one statement. Statements of SQLite are compiled on the copy
// that the session would read now.
func (c *session) prepare(sql string) (*prepared, error) {
	if err := checkText("parse", sql); err != nil {
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
		err := c.read(func(db *database) error {
			st, err := db.cached(sql)
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

// read calls fn with the data that the session sees: its open write
// transaction, or all committed transactions.
func (c *session) read(fn func(db *database) error) error {
	if c.txn != nil {
		return c.txn.use(fn)
	}
	return c.server.withReader(c.id, fn)
}

// execute runs a statement and adds its rows to res.
func (c *session) execute(p *prepared, args []any, res *result) error {
	if err := c.server.faults.thaw(c.ctx); err != nil {
		return err
	}
	if err := c.checkFailed("execute", p.action); err != nil {
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
		return newError("execute", KindStatement, stateNotSupported, "%s is not supported", p.keyword)
	}
}

// checkFailed refuses what a failed transaction does not allow.
func (c *session) checkFailed(op string, a action) error {
	if c.status != txFailed {
		return nil
	}
	switch a {
	case actionCommit, actionRollback, actionRollbackTo, actionEmpty:
		return nil
	}
	return newError(op, KindStatement, stateFailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}

// slot waits for a slot and occupies it for the cost of a statement. The
// returned function releases it.
func (c *session) slot(cost bool) (release func(), err error) {
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
	if cost && s.o.StatementCost > 0 {
		err = s.sleep(c.ctx, s.o.StatementCost)
	}
	if err == nil {
		err = s.faults.thaw(c.ctx)
	}
	if err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func (c *session) executeRead(p *prepared, args []any, res *result) error {
	c.server.statements.Add(1)
	release, err := c.slot(true)
	if err != nil {
		return err
	}
	defer release()
	return c.read(func(db *database) error {
		st, err := db.cached(p.sql)
		if err != nil {
			return err
		}
		return c.collect(st, p, args, res)
	})
}

func (c *session) executeWrite(p *prepared, args []any, res *result) error {
	c.server.statements.Add(1)
	if c.readOnly {
		return errNotWritable(p.keyword)
	}
	release, err := c.writeSlot(p.keyword)
	if err != nil {
		return err
	}
	defer release()
	return c.txn.use(func(db *database) error {
		st, err := db.cached(p.sql)
		if err != nil {
			return err
		}
		if err := c.collect(st, p, args, res); err != nil {
			return err
		}
		c.txn.record(st, p.sql, args)
		if st.schema {
			db.clearCache()
		}
		return nil
	})
}

// writeSlot opens the write transaction if there is none and takes a slot. A
// statement that waits for the writer lock holds no slot: the transaction
// that has the lock needs a slot for its next statement.
func (c *session) writeSlot(op string) (release func(), err error) {
	s := c.server
	if c.txn != nil {
		return c.slot(true)
	}
	s.mu.Lock()
	ok := s.writable()
	s.mu.Unlock()
	if !ok {
		return nil, errNotWritable(op)
	}
	if release, err = c.slot(true); err != nil {
		return nil, err
	}
	select {
	case s.writerLock <- struct{}{}:
	default:
		release()
		if err := s.lockWriter(c.ctx); err != nil {
			return nil, err
		}
		if release, err = c.slot(false); err != nil {
			<-s.writerLock
			return nil, err
		}
	}
	if c.txn, err = s.begin(op); err != nil {
		release()
		return nil, err
	}
	c.implicit = c.status == txIdle
	return release, nil
}

// collect runs st and encodes its rows.
func (c *session) collect(st *stmt, p *prepared, args []any, res *result) error {
	columns := st.columns
	described := !res.describe || len(columns) == 0
	n := int64(0)
	changed, err := c.execOn(st, args, func(st *stmt) error {
		if !described {
			columns, described = valueColumns(st), true
			res.rows = appendRowDescription(res.rows, columns, res.formats)
		}
		n++
		var err error
		if res.rows, err = appendDataRow(res.rows, st, columns, res.formats); err != nil {
			return err
		}
		if len(res.rows) > maxResultBytes {
			return newError("execute", KindLimit, stateLimitExceeded, "result exceeds %d bytes", maxResultBytes)
		}
		res.ends = append(res.ends, len(res.rows))
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

// valueColumns describes columns without a declared type by the values of the
// current row.
func valueColumns(st *stmt) []column {
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

// appendDataRow encodes the current row directly from SQLite's memory, which
// saves the allocations of pgproto3.DataRow.
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

// textRow fills res with one row of text values.
func (res *result) textRow(columns []column, values ...string) {
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
	res.ends = append(res.ends, len(res.rows))
}

func (c *session) beginTransaction(p *prepared, res *result) error {
	res.tag = "BEGIN"
	if c.status == txIdle {
		c.status = txOpen
		c.implicit = false
		c.readOnly = strings.Contains(strings.ToUpper(p.sql), "READ ONLY")
	}
	return nil
}

func (c *session) commitTransaction(res *result) error {
	res.tag = "COMMIT"
	if c.status == txFailed {
		res.tag = "ROLLBACK"
		c.rollback()
		return nil
	}
	if c.txn != nil {
		release, err := c.slot(true)
		if err != nil {
			return err
		}
		defer release()
	}
	return c.commit()
}

// commit ends the transaction. On error it is rolled back and the session is
// outside a transaction.
func (c *session) commit() error {
	t := c.txn
	c.txn, c.implicit, c.readOnly, c.status = nil, false, false, txIdle
	if t == nil {
		return nil
	}
	p, err := t.commit()
	if err != nil || p.IsZero() {
		return err
	}
	c.committed = p
	if c.server.faults.takeLostAnswer() {
		c.lost = true
	}
	return nil
}

// endImplicit commits the writes of a request outside a transaction block.
func (c *session) endImplicit() {
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
	c.txn, c.implicit, c.readOnly, c.status = nil, false, false, txIdle
}

// savepoint passes savepoint statements to the write transaction. Where no
// write can follow, they have no effect.
func (c *session) savepoint(p *prepared) error {
	if c.status == txIdle {
		return newError("execute", KindStatement, stateNoTransaction, "%s can only be used in transaction blocks", p.keyword)
	}
	if c.txn == nil {
		c.server.mu.Lock()
		writable := c.server.writable()
		c.server.mu.Unlock()
		if !writable || c.readOnly {
			c.status = txOpen
			return nil
		}
		if err := c.server.lockWriter(c.ctx); err != nil {
			return err
		}
		var err error
		if c.txn, err = c.server.begin(p.keyword); err != nil {
			return err
		}
	}
	err := c.txn.use(func(db *database) error {
		st, err := db.cached(p.sql)
		if err != nil {
			return err
		}
		if _, err := st.run(nil, nil); err != nil {
			return err
		}
		c.txn.statements = append(c.txn.statements, statement{SQL: p.sql})
		if c.txn.schema {
			db.clearCache()
		}
		return nil
	})
	if err == nil {
		c.status = txOpen
	}
	return err
}

// deallocate drops prepared statements: one by name, or all.
func (c *session) deallocate(sql string) {
	words := strings.Fields(strings.TrimRight(sql, "; \n"))
	name := strings.Trim(words[len(words)-1], `"`)
	if strings.EqualFold(name, "ALL") {
		clear(c.stmts)
		return
	}
	delete(c.stmts, name)
}
