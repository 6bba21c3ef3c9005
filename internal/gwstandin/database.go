package gwstandin

import (
	"strconv"
	"strings"

	"modernc.org/libc"
	sqlite3 "modernc.org/sqlite/lib"
)

// database is one private in-memory SQLite database. It calls SQLite's C API and
// not database/sql, because the C API reports where a statement ends, whether it
// writes and how its columns are declared; without it this package would have to
// parse SQL. Only interrupt may be called while another goroutine uses the
// database.
type database struct {
	tls         *libc.TLS
	handle      uintptr
	outPointers uintptr // memory for two output pointers of C functions
	cache       map[string]*stmt
}

// column describes a result column, as far as it is known before execution.
type column struct {
	Name string
	OID  uint32 // oidUnknown for expressions
}

// stmt is a compiled statement.
type stmt struct {
	db            *database
	ptr           uintptr
	readOnly      bool
	changesSchema bool  // it may change the schema
	argNumbers    []int // argNumbers[i] is the number, from 1, of the argument bound to parameter i+1
	params        []uint32
	columns       []column
}

const pointerSize = 8

func openDatabase() (*database, error) {
	d := &database{tls: libc.NewTLS(), cache: make(map[string]*stmt)}
	d.outPointers = libc.Xmalloc(d.tls, 2*pointerSize)
	name, err := libc.CString(":memory:")
	if err != nil {
		return nil, err
	}
	defer libc.Xfree(d.tls, name)
	// One goroutine at a time uses the database, so SQLite needs no mutex of its own.
	const flags = sqlite3.SQLITE_OPEN_READWRITE | sqlite3.SQLITE_OPEN_CREATE | sqlite3.SQLITE_OPEN_NOMUTEX
	rc := sqlite3.Xsqlite3_open_v2(d.tls, name, d.outPointers, flags, 0)
	d.handle = libc.AtomicLoadNUintptr(d.outPointers, 0)
	if rc != sqlite3.SQLITE_OK {
		err := d.lastError("open database")
		d.close()
		return nil, err
	}
	sqlite3.Xsqlite3_extended_result_codes(d.tls, d.handle, 1)
	if err := d.exec("PRAGMA foreign_keys=ON"); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *database) close() {
	d.clearCache()
	sqlite3.Xsqlite3_close_v2(d.tls, d.handle)
	libc.Xfree(d.tls, d.outPointers)
	d.tls.Close()
}

// interrupt ends the running statement with SQLITE_INTERRUPT.
func (d *database) interrupt() {
	tls := libc.NewTLS() // a TLS must not be shared between goroutines
	sqlite3.Xsqlite3_interrupt(tls, d.handle)
	tls.Close()
}

// lastError returns the error of the last failed call to SQLite.
func (d *database) lastError(op string) *Error {
	code := sqlite3.Xsqlite3_extended_errcode(d.tls, d.handle)
	return sqliteError(op, code, libc.GoString(sqlite3.Xsqlite3_errmsg(d.tls, d.handle)))
}

// inTransaction reports whether a transaction is open. Some errors make SQLite
// roll back the whole transaction.
func (d *database) inTransaction() bool {
	return sqlite3.Xsqlite3_get_autocommit(d.tls, d.handle) == 0
}

func (d *database) exec(sql string) error {
	st, err := d.compiled(sql)
	if err != nil {
		return err
	}
	_, err = st.run(nil, nil)
	return err
}

// compiled returns the compiled form of the single statement sql, nil if sql is
// empty. It caches compiled statements; the result is valid until the next call
// of compiled or clearCache.
func (d *database) compiled(sql string) (*stmt, error) {
	if st, ok := d.cache[sql]; ok {
		return st, nil
	}
	st, n, err := d.compile(sql)
	if err != nil || st == nil {
		return nil, err
	}
	if keyword, _ := leadingKeyword(sql[n:]); keyword != "" {
		st.finalize()
		return nil, newError("parse statement", KindStatement, stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if len(d.cache) >= maxCachedStatements {
		d.clearCache()
	}
	d.cache[sql] = st
	return st, nil
}

// clearCache drops all compiled statements. A change of the schema requires it,
// because the columns of compiled statements become stale.
func (d *database) clearCache() {
	for _, st := range d.cache {
		st.finalize()
	}
	clear(d.cache)
}

// compile compiles the first statement of sql and returns its length in bytes. The
// statement is nil if sql starts with an empty statement.
func (d *database) compile(sql string) (*stmt, int, error) {
	text, err := libc.CString(sql)
	if err != nil {
		return nil, 0, err
	}
	defer libc.Xfree(d.tls, text)
	rc := sqlite3.Xsqlite3_prepare_v2(d.tls, d.handle, text, int32(len(sql)+1), d.outPointers, d.outPointers+pointerSize)
	if rc != sqlite3.SQLITE_OK {
		return nil, 0, d.lastError("parse statement")
	}
	n := int(libc.AtomicLoadNUintptr(d.outPointers+pointerSize, 0) - text)
	ptr := libc.AtomicLoadNUintptr(d.outPointers, 0)
	if ptr == 0 {
		return nil, n, nil
	}
	st := &stmt{db: d, ptr: ptr}
	st.describe(sql)
	return st, n, nil
}

func (st *stmt) describe(sql string) {
	tls := st.db.tls
	st.readOnly = sqlite3.Xsqlite3_stmt_readonly(tls, st.ptr) != 0
	switch keyword, _ := leadingKeyword(sql); keyword {
	case "CREATE", "DROP", "ALTER", "REINDEX", "ANALYZE":
		st.changesSchema = true
	}
	n := int(sqlite3.Xsqlite3_bind_parameter_count(tls, st.ptr))
	st.argNumbers = make([]int, n)
	for i := range n {
		number, oid := i+1, oidUnknown
		if name := libc.GoString(sqlite3.Xsqlite3_bind_parameter_name(tls, st.ptr, int32(i+1))); len(name) > 1 {
			number, oid = parseParameterName(name[1:], i+1)
		}
		for len(st.params) < number {
			st.params = append(st.params, oidUnknown)
		}
		st.argNumbers[i] = number
		if oid != oidUnknown {
			st.params[number-1] = oid
		}
	}
	st.columns = make([]column, sqlite3.Xsqlite3_column_count(tls, st.ptr))
	for i := range st.columns {
		st.columns[i] = column{
			Name: libc.GoString(sqlite3.Xsqlite3_column_name(tls, st.ptr, int32(i))),
			OID:  declaredOID(libc.GoString(sqlite3.Xsqlite3_column_decltype(tls, st.ptr, int32(i)))),
		}
	}
}

// parseParameterName returns the argument number and the type of a parameter.
// SQLite takes a cast as part of the name, as in "1::text". A name that is not a
// number gets ordinal, its place among the parameters of the statement.
func parseParameterName(name string, ordinal int) (int, uint32) {
	digits, cast, _ := strings.Cut(name, "::")
	number, err := strconv.Atoi(digits)
	if err != nil || number < 1 || number > maxParameters {
		number = ordinal
	}
	return number, declaredOID(cast)
}

// maxParameters is the limit of the wire protocol, which counts them in 16 bits.
const maxParameters = 65535

func (st *stmt) finalize() { sqlite3.Xsqlite3_finalize(st.db.tls, st.ptr) }

// run executes the statement and calls row for each result row. It returns the
// number of rows that the statement inserted, updated or deleted.
func (st *stmt) run(args []any, row func(st *stmt) error) (int64, error) {
	tls := st.db.tls
	defer func() {
		sqlite3.Xsqlite3_reset(tls, st.ptr)
		if len(st.argNumbers) > 0 {
			sqlite3.Xsqlite3_clear_bindings(tls, st.ptr)
		}
	}()
	for i, number := range st.argNumbers {
		if number > len(args) {
			return 0, newError("bind parameter", KindStatement, stateProtocolViolation, "statement needs %d parameters, got %d", len(st.params), len(args))
		}
		if err := st.bind(int32(i+1), args[number-1]); err != nil {
			return 0, err
		}
	}
	for {
		switch rc := sqlite3.Xsqlite3_step(tls, st.ptr); rc {
		case sqlite3.SQLITE_ROW:
			if row == nil {
				continue
			}
			if err := row(st); err != nil {
				return 0, err
			}
		case sqlite3.SQLITE_DONE:
			if st.readOnly {
				return 0, nil
			}
			return sqlite3.Xsqlite3_changes64(tls, st.db.handle), nil
		default:
			return 0, st.db.lastError("execute statement")
		}
	}
}

func (st *stmt) bind(i int32, arg any) error {
	tls := st.db.tls
	var rc int32
	switch v := arg.(type) {
	case nil:
		rc = sqlite3.Xsqlite3_bind_null(tls, st.ptr, i)
	case int64:
		rc = sqlite3.Xsqlite3_bind_int64(tls, st.ptr, i, v)
	case float64:
		rc = sqlite3.Xsqlite3_bind_double(tls, st.ptr, i, v)
	case string:
		return st.bindBytes(i, v, false)
	case []byte:
		return st.bindBytes(i, string(v), true)
	default:
		return newError("bind parameter", KindStatement, stateInternal, "parameter %d has unsupported type %T", i, arg)
	}
	if rc != sqlite3.SQLITE_OK {
		return st.db.lastError("bind parameter")
	}
	return nil
}

// sqliteTransient makes SQLite copy a bound value before the call returns.
const sqliteTransient = ^uintptr(0)

func (st *stmt) bindBytes(i int32, v string, blob bool) error {
	tls := st.db.tls
	p, err := libc.CString(v)
	if err != nil {
		return err
	}
	defer libc.Xfree(tls, p)
	var rc int32
	if blob {
		rc = sqlite3.Xsqlite3_bind_blob(tls, st.ptr, i, p, int32(len(v)), sqliteTransient)
	} else {
		rc = sqlite3.Xsqlite3_bind_text(tls, st.ptr, i, p, int32(len(v)), sqliteTransient)
	}
	if rc != sqlite3.SQLITE_OK {
		return st.db.lastError("bind parameter")
	}
	return nil
}

// value returns column i of the current row. Bytes of text and blobs are valid
// until the next step.
func (st *stmt) value(i int) cell {
	tls, n := st.db.tls, int32(i)
	switch sqlite3.Xsqlite3_column_type(tls, st.ptr, n) {
	case sqlite3.SQLITE_INTEGER:
		return cell{kind: cellInt, i: sqlite3.Xsqlite3_column_int64(tls, st.ptr, n)}
	case sqlite3.SQLITE_FLOAT:
		return cell{kind: cellFloat, f: sqlite3.Xsqlite3_column_double(tls, st.ptr, n)}
	case sqlite3.SQLITE_TEXT:
		p := sqlite3.Xsqlite3_column_text(tls, st.ptr, n)
		return cell{kind: cellText, b: st.bytes(p, n)}
	case sqlite3.SQLITE_BLOB:
		p := sqlite3.Xsqlite3_column_blob(tls, st.ptr, n)
		return cell{kind: cellBytes, b: st.bytes(p, n)}
	default:
		return cell{}
	}
}

func (st *stmt) bytes(p uintptr, i int32) []byte {
	n := sqlite3.Xsqlite3_column_bytes(st.db.tls, st.ptr, i)
	if p == 0 || n == 0 {
		return nil
	}
	return libc.GoBytes(p, int(n))
}
