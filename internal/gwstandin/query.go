package gwstandin

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// simpleQuery runs the statements of a Query message. Those outside a
// transaction block form one transaction.
func (c *session) simpleQuery(text string) {
	text, err := plainSQL(text)
	if err != nil {
		c.fail(err)
		return
	}
	answered := false
	for {
		sql, rest, err := c.nextStatement(text)
		if err == nil && sql == "" {
			break
		}
		answered = true
		if err == nil {
			err = c.simpleStatement(sql)
		}
		if err != nil {
			c.fail(err)
			return
		}
		text = rest
	}
	if !answered {
		c.send(&pgproto3.EmptyQueryResponse{})
	}
	c.commitImplicit()
}

// nextStatement splits off the first statement of a Query message. It returns an
// empty statement at the end of the text.
func (c *session) nextStatement(text string) (sql, rest string, err error) {
	_, a := classify(text)
	switch {
	case a == actionEmpty:
		return "", "", nil
	case a != actionSQLite:
		first, rest := cutStatement(text)
		return first, rest, nil
	}
	trimmed := strings.Trim(text, ";"+sqlSpace)
	if !strings.Contains(trimmed, ";") {
		return trimmed, "", nil
	}
	n := 0
	err = c.withVisibleData(func(db *database) error {
		var st *stmt
		st, n, err = db.compile(trimmed)
		if st != nil {
			st.finalize()
		}
		return err
	})
	if err != nil {
		return "", "", err
	}
	return trimmed[:n], trimmed[n:], nil
}

func (c *session) simpleStatement(sql string) error {
	p, err := c.prepare(sql)
	if err != nil {
		return err
	}
	res := &result{describe: true}
	if err := c.execute(p, nil, res); err != nil {
		return err
	}
	c.output = append(c.output, res.rows...)
	c.send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}

// portal is a bound statement. The first Execute message runs it and stores all
// its rows.
type portal struct {
	prepared *prepared
	args     []any
	res      result
	executed bool
	sentRows int // number of rows sent so far
}

// handleExtended processes a message of the extended query protocol.
func (c *session) handleExtended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.stmts, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.send(&pgproto3.CloseComplete{})
		return nil
	default:
		return newError("read message", KindStatement, stateNotSupported, "message %T is not supported", msg)
	}
}

func (c *session) parse(m *pgproto3.Parse) error {
	sql, err := plainSQL(m.Query)
	if err != nil {
		return err
	}
	_, a := classify(sql)
	if err := c.checkFailedTxn("parse statement", a); err != nil {
		return err
	}
	p, err := c.prepare(sql)
	if err != nil {
		return err
	}
	params := append([]uint32{}, p.params...)
	for i, oid := range m.ParameterOIDs {
		if i < len(params) && oid != oidUnknown {
			params[i] = oid
		}
	}
	p.params = params
	c.stmts[m.Name] = p
	c.send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) bind(m *pgproto3.Bind) error {
	p, ok := c.stmts[m.PreparedStatement]
	if !ok {
		return newError("bind portal", KindStatement, stateUndefinedStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.params) {
		return newError("bind portal", KindStatement, stateProtocolViolation,
			"bind message supplies %d parameters, but prepared statement %q requires %d", len(m.Parameters), m.PreparedStatement, len(p.params))
	}
	pt := &portal{prepared: p, args: make([]any, len(m.Parameters))}
	for i, raw := range m.Parameters {
		var err error
		if pt.args[i], err = decodeParameter(raw, p.params[i], formatOf(m.ParameterFormatCodes, i)); err != nil {
			return err
		}
	}
	pt.res.formats = append([]int16{}, m.ResultFormatCodes...)
	c.portals[m.DestinationPortal] = pt
	c.send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, ok := c.stmts[m.Name]
		if !ok {
			return newError("describe statement", KindStatement, stateUndefinedStatement, "prepared statement %q does not exist", m.Name)
		}
		c.send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
		c.sendRowDescription(p.columns, nil)
		return nil
	}
	pt, ok := c.portals[m.Name]
	if !ok {
		return newError("describe portal", KindStatement, stateUndefinedPortal, "portal %q does not exist", m.Name)
	}
	c.sendRowDescription(pt.prepared.columns, pt.res.formats)
	return nil
}

// sendRowDescription sends the description of columns, or NoData if there are none.
func (c *session) sendRowDescription(columns []column, formats []int16) {
	if len(columns) == 0 {
		c.send(&pgproto3.NoData{})
		return
	}
	c.output = appendRowDescription(c.output, columns, formats)
}

func (c *session) executePortal(m *pgproto3.Execute) error {
	pt, ok := c.portals[m.Portal]
	if !ok {
		return newError("execute portal", KindStatement, stateUndefinedPortal, "portal %q does not exist", m.Portal)
	}
	if pt.prepared.action == actionEmpty {
		c.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !pt.executed {
		if err := c.execute(pt.prepared, pt.args, &pt.res); err != nil {
			return err
		}
		pt.executed = true
	}
	end := len(pt.res.rowEnds)
	if m.MaxRows > 0 {
		end = min(end, pt.sentRows+int(m.MaxRows))
	}
	if end > pt.sentRows {
		from := 0
		if pt.sentRows > 0 {
			from = pt.res.rowEnds[pt.sentRows-1]
		}
		c.output = append(c.output, pt.res.rows[from:pt.res.rowEnds[end-1]]...)
		pt.sentRows = end
	}
	if pt.sentRows < len(pt.res.rowEnds) {
		c.send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.send(&pgproto3.CommandComplete{CommandTag: []byte(pt.res.tag)})
	return nil
}
