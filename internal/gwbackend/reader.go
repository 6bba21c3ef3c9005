package gwbackend

import (
	"encoding/binary"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"gentianward.example/gentianward/pkg/gwsession"
)

// readLoop reads until the connection ends.
func (c *Conn) readLoop() {
	defer close(c.readerDone)
	for {
		n, err := c.nc.Read(c.rbuf[c.w:])
		c.w += n
		if n > 0 {
			c.mu.Lock()
			x := c.cur
			c.mu.Unlock()
			if err := c.process(x); err != nil {
				c.fail(err)
				return
			}
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// process handles the messages in rbuf. Runs of messages that are passed on
// unchanged reach the sink in one call. x is nil while no answer is expected.
func (c *Conn) process(x *exchange) error {
	run := c.r // start of the bytes to be passed
	for c.skipPassed() && c.w-c.r >= headerBytes {
		typ, n := c.rbuf[c.r], frameSize(c.rbuf[c.r:])
		if n < headerBytes {
			return errors.Wrap(ErrProtocol, "message length below 4")
		}
		if x != nil && passed(typ) {
			c.remain = n
			continue
		}
		if c.w-c.r < n {
			if n > maxInspectedBytes {
				return errors.Wrapf(ErrProtocol, "message %q of %d bytes", typ, n)
			}
			break
		}
		frame := c.rbuf[c.r : c.r+n]
		hide, err := c.inspect(x, frame)
		if err != nil {
			return err
		}
		if hide {
			x.pass(c.rbuf[run:c.r])
			run = c.r + n
		}
		c.r += n
		if typ == 'Z' {
			x.pass(c.rbuf[run:c.r])
			run = c.r
			c.finish(x, frame[headerBytes])
			x = nil
		}
	}
	if x != nil {
		x.pass(c.rbuf[run:c.r])
		if x.drained > maxDrainedBytes {
			return x.sinkErr
		}
	}
	c.compact(x != nil && (c.large != nil || c.w == len(c.rbuf)))
	return nil
}

// skipPassed moves past the bytes of a passed message. It reports false if
// some are still to come.
func (c *Conn) skipPassed() bool {
	n := min(c.remain, c.w-c.r)
	c.r += n
	c.remain -= n
	return c.remain == 0
}

// largeBuffers are read buffers for answers that fill the usual one: fewer,
// larger reads and writes make such an answer cheaper.
var largeBuffers = sync.Pool{New: func() any {
	b := make([]byte, largeBufferBytes)
	return &b
}}

// compact moves an incomplete message to the start of a read buffer that has
// room for the rest of it. long says that a long answer goes on.
func (c *Conn) compact(long bool) {
	rest := c.rbuf[c.r:c.w]
	need := readBufferBytes
	if long {
		need = largeBufferBytes
	}
	if len(rest) >= headerBytes {
		need = max(need, frameSize(rest))
	}
	unused := c.large
	switch {
	case need <= readBufferBytes:
		c.rbuf, c.large = c.small, nil
	case need <= largeBufferBytes:
		if c.large == nil {
			c.large = largeBuffers.Get().(*[]byte)
		}
		c.rbuf, unused = *c.large, nil
	case len(c.rbuf) < need:
		c.rbuf, c.large = make([]byte, need), nil
	default:
		unused = nil
	}
	c.r, c.w = 0, copy(c.rbuf, rest)
	if unused != nil {
		largeBuffers.Put(unused)
	}
}

// passed reports whether messages of the type are passed on without a look at
// their content, possibly in parts.
func passed(typ byte) bool {
	switch typ {
	case 'D', 'T', 't', 'n', '2', 'I', 's', 'H', 'd', 'c', 'V':
		return true
	}
	return false
}

// inspect handles one whole message. A hidden message is not passed on.
func (c *Conn) inspect(x *exchange, frame []byte) (hide bool, err error) {
	body := frame[headerBytes:]
	switch frame[0] {
	case 'S':
		return c.parameterStatus(x, body), nil
	case 'N':
		return false, nil
	case 'A': // notifications are not supported on shared connections
		return true, nil
	case 'E':
		return c.errorResponse(x, body)
	}
	if x == nil {
		return false, errors.Wrapf(ErrProtocol, "message %q without a request", frame[0])
	}
	switch frame[0] {
	case 'Z':
		if len(body) != 1 {
			return false, errors.Wrap(ErrProtocol, "ReadyForQuery")
		}
		return false, nil
	case 'C':
		tag, _, _ := cutString(body)
		x.res.CommandTags = append(x.res.CommandTags, internTag(tag))
		return false, nil
	case '1':
		return c.parseComplete(x)
	case '3':
		return c.closeComplete(x, frame)
	case 'G', 'W':
		return true, c.refuseCopy(x)
	}
	return false, errors.Wrapf(ErrProtocol, "unexpected message %q", frame[0])
}

func (c *Conn) parameterStatus(x *exchange, body []byte) (hide bool) {
	name, rest, _ := cutString(body)
	if string(name) != positionParameter {
		return false
	}
	value, _, _ := cutString(rest)
	p, err := gwsession.ParsePosition(string(value))
	if err != nil {
		return true
	}
	if x != nil {
		x.res.Position = p
	}
	if c.o.OnPosition != nil {
		c.o.OnPosition(p)
	}
	return true
}

func (c *Conn) errorResponse(x *exchange, body []byte) (hide bool, err error) {
	e, err := parseError(body)
	if err != nil {
		return false, errors.Wrapf(ErrProtocol, "ErrorResponse: %v", err)
	}
	if x == nil {
		return true, e
	}
	if x.copying {
		x.copying = false
		e = copyRefusal
		b, err := (&pgproto3.ErrorResponse{
			Severity: e.Severity, SeverityUnlocalized: e.Severity, Code: e.Code, Message: e.Message,
		}).Encode(nil)
		if err != nil {
			return false, err
		}
		x.res.ServerError = e
		x.pass(b)
		return true, nil
	}
	x.res.ServerError = e
	return fatal(e), nil
}

func (c *Conn) parseComplete(x *exchange) (hide bool, err error) {
	if x.parsed >= len(x.parses) {
		return false, errors.Wrap(ErrProtocol, "ParseComplete without Parse")
	}
	op := &x.parses[x.parsed]
	x.parsed++
	if op.statement.Name != "" {
		c.statements.add(op.statement)
	}
	return op.hidden, nil
}

func (c *Conn) closeComplete(x *exchange, frame []byte) (hide bool, err error) {
	if x.closeDone >= len(x.closes) {
		return false, errors.Wrap(ErrProtocol, "CloseComplete without Close")
	}
	op := x.closes[x.closeDone]
	x.closeDone++
	if op == closeAsParse {
		frame[0] = '1'
	}
	return op == closeHide, nil
}

// finish ends the exchange after ReadyForQuery.
func (c *Conn) finish(x *exchange, status byte) {
	x.res.TxStatus = status
	x.res.Complete = true
	c.mu.Lock()
	c.cur = nil
	c.mu.Unlock()
	c.finished <- struct{}{}
}

// pass gives bytes of the answer to the sink. After the sink failed the rest
// of the answer is dropped.
func (x *exchange) pass(b []byte) {
	if len(b) == 0 || x == nil || x.sink == nil {
		return
	}
	if x.sinkErr != nil {
		x.drained += int64(len(b))
		return
	}
	x.res.Delivered = true
	x.res.AnswerBytes += int64(len(b))
	_, x.sinkErr = x.sink.Write(b)
}

// refuseCopy ends a COPY FROM STDIN, which the server starts with
// CopyInResponse and which callers cannot serve through this connection.
func (c *Conn) refuseCopy(x *exchange) error {
	x.copying = true
	b := []byte{'f'}
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(copyRefusal.Message)+1))
	b = append(append(b, copyRefusal.Message...), 0)
	if !x.simple {
		// The server ignored the batch's Sync as part of the copy.
		b = append(b, 'S', 0, 0, 0, 4)
	}
	_, err := c.nc.Write(b)
	return err
}
