package gwbackend

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

const maxQueryAnswerBytes = 1 << 20 // largest answer that Query accepts

// Row is one row of text columns.
type Row struct {
	server  string
	columns []string
	values  []string
}

// Get returns the value of the column, whose case does not matter; "" if the
// column is missing or null.
func (r Row) Get(column string) string {
	for i, name := range r.columns {
		if i < len(r.values) && strings.EqualFold(name, column) {
			return r.values[i]
		}
	}
	return ""
}

// answerCollector is a Sink that stores an answer of bounded size.
type answerCollector struct{ buf []byte }

func (c *answerCollector) Write(p []byte) (int, error) {
	if len(c.buf)+len(p) > maxQueryAnswerBytes {
		return 0, errors.Newf("answer exceeds %d bytes", maxQueryAnswerBytes)
	}
	c.buf = append(c.buf, p...)
	return len(p), nil
}

// Query runs a simple query and returns its rows, as text. A server error is
// returned as an Error of KindServer.
func (c *Conn) Query(ctx context.Context, sql string) ([]Row, error) {
	var answer answerCollector
	res, err := c.Exchange(ctx, Query(sql), &answer)
	if err != nil {
		return nil, err
	}
	if res.ServerError != nil {
		return nil, &Error{Op: "query", Kind: KindServer, Server: c.o.Name, Err: res.ServerError}
	}
	rows, err := parseRows(c.o.Name, answer.buf)
	if err != nil {
		return nil, &Error{Op: "query", Kind: KindServer, Server: c.o.Name, Err: err}
	}
	return rows, nil
}

// QueryRow runs a simple query that returns one row.
func (c *Conn) QueryRow(ctx context.Context, sql string) (Row, error) {
	rows, err := c.Query(ctx, sql)
	if err == nil && len(rows) != 1 {
		err = &Error{Op: "query", Kind: KindServer, Server: c.o.Name, Err: errors.Newf("%d rows instead of 1", len(rows))}
	}
	if err != nil {
		return Row{}, err
	}
	return rows[0], nil
}

// parseRows decodes the rows of a complete answer.
func parseRows(server string, b []byte) ([]Row, error) {
	var rows []Row
	var columns []string
	for len(b) >= headerBytes {
		n := frameSize(b)
		if n < headerBytes || n > len(b) {
			return nil, ErrProtocol
		}
		body := b[headerBytes:n]
		switch b[0] {
		case 'T':
			var m pgproto3.RowDescription
			if err := m.Decode(body); err != nil {
				return nil, err
			}
			columns = nil
			for _, f := range m.Fields {
				columns = append(columns, string(f.Name))
			}
		case 'D':
			var m pgproto3.DataRow
			if err := m.Decode(body); err != nil {
				return nil, err
			}
			row := Row{server: server, columns: columns}
			for _, v := range m.Values {
				row.values = append(row.values, string(v))
			}
			rows = append(rows, row)
		}
		b = b[n:]
	}
	return rows, nil
}
