package gwbackend

import (
	"encoding/binary"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"gentianward.example/gentianward/pkg/gwsession"
)

// readLoop reads until the connection closes.
func (c *Conn) readLoop() {
	defer close(c.readerDone)
	for {
		n, err := c.nc.Read(c.rbuf[c.w:])
		c.w += n
		if n > 0 {
			c.mu.Lock()
			x := c.current
			c.mu.Unlock()
			if err := c.processRecovered(x); err != nil {
				c.closeWithError(err)
				return
			}
		}
		if err != nil {
			c.closeWithError(err)
			return
		}
	}
}

// processRecovered is process. A panic, also one of the sink, is an error that closes only
// this connection: the loop runs outside of the session whose answer it reads.
func (c *Conn) processRecovered(x *exchange) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Wrapf(ErrProtocol, "panic: %v", cause)
		}
	}()
	return c.process(x)
}

// process handles the messages in rbuf. Consecutive messages that are forwarded
// unchanged are written to the sink in one call. x is nil while no answer is expected.
func (c *Conn) process(x *exchange) error {
	forwardFrom := c.r // start of the bytes to be forwarded
	for c.skipForwarded() && c.w-c.r >= headerBytes {
		typ, n := c.rbuf[c.r], frameSize(c.rbuf[c.r:])
		if n < headerBytes {
			return errors.Wrap(ErrProtocol, "message length below 4")
		}
		if err := c.beginForward(x, n); err != nil {
			return err
		}
		if c.forwardRemaining > 0 {
			continue
		}
		if c.w-c.r < n {
			break
		}
		frame := c.rbuf[c.r : c.r+n]
		hide, err := c.inspect(x, frame)
		if err != nil {
			return err
		}
		if hide {
			x.forward(c.rbuf[forwardFrom:c.r])
			forwardFrom = c.r + n
		}
		c.r += n
		if typ == 'Z' {
			x.forward(c.rbuf[forwardFrom:c.r])
			forwardFrom = c.r
			c.finish(x, frame[headerBytes])
			x = nil
		}
	}
	if x != nil {
		x.forward(c.rbuf[forwardFrom:c.r])
		if x.discardedBytes > maxDiscardedBytes {
			return x.sinkErr
		}
	}
	c.compact(x != nil && (c.largeBuffer != nil || c.w == len(c.rbuf)))
	return nil
}

// beginForward sets forwardRemaining if the next message, of n bytes, is forwarded without
// being read as a whole. Apart from the types of forwardedUninspected, these are errors,
// notices and parameters that are too long for that, as their texts can hold anything that
// a caller has sent. Of an error, the start is inspected once it has been read.
func (c *Conn) beginForward(x *exchange, n int) error {
	typ := c.rbuf[c.r]
	switch {
	case x != nil && forwardedUninspected(typ):
	case n <= maxInspectedBytes:
		return nil
	case x == nil || typ != 'E' && typ != 'N' && typ != 'S':
		return errors.Wrapf(ErrProtocol, "message %q of %d bytes is too long", typ, n)
	case typ == 'E':
		if c.w-c.r < errorStartBytes {
			return nil
		}
		e, err := parseErrorStart(c.rbuf[c.r+headerBytes : c.r+errorStartBytes])
		if err != nil {
			return errors.Wrapf(ErrProtocol, "ErrorResponse: %v", err)
		}
		x.copyRefused = false
		x.res.ServerError = e
	}
	c.forwardRemaining = n
	return nil
}

// skipForwarded moves past the bytes of a forwarded message. It reports false if some
// of them have not been read yet.
func (c *Conn) skipForwarded() bool {
	n := min(c.forwardRemaining, c.w-c.r)
	c.r += n
	c.forwardRemaining -= n
	return c.forwardRemaining == 0
}

// largeBuffers are read buffers for answers that fill the small buffer: fewer, larger
// reads and writes make such an answer cheaper.
var largeBuffers = sync.Pool{New: func() any {
	b := make([]byte, largeBufferBytes)
	return &b
}}

// compact moves an incomplete message to the start of a read buffer that has
// room for the rest of it. long means that a long answer is still being read.
func (c *Conn) compact(long bool) {
	rest := c.rbuf[c.r:c.w]
	need := readBufferBytes
	if long {
		need = largeBufferBytes
	}
	if len(rest) >= headerBytes && frameSize(rest) <= maxInspectedBytes {
		need = max(need, frameSize(rest))
	}
	unused := c.largeBuffer
	switch {
	case need <= readBufferBytes:
		c.rbuf, c.largeBuffer = c.smallBuffer, nil
	case need <= largeBufferBytes:
		if c.largeBuffer == nil {
			c.largeBuffer = largeBuffers.Get().(*[]byte)
		}
		c.rbuf, unused = *c.largeBuffer, nil
	case len(c.rbuf) < need:
		c.rbuf, c.largeBuffer = make([]byte, need), nil
	default:
		unused = nil
	}
	c.r, c.w = 0, copy(c.rbuf, rest)
	if unused != nil {
		largeBuffers.Put(unused)
	}
}

// forwardedUninspected reports whether messages of the type are forwarded without
// inspection of their content, possibly in parts.
func forwardedUninspected(typ byte) bool {
	switch typ {
	case 'D', 'T', 't', 'n', '2', 'I', 's', 'H', 'd', 'c', 'V':
		return true
	}
	return false
}

// inspect handles one whole message. A message with hide set is not forwarded.
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
			return false, errors.Wrap(ErrProtocol, "ReadyForQuery of wrong length")
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
	if x.copyRefused {
		x.copyRefused = false
		e = copyUnsupported
		b, err := (&pgproto3.ErrorResponse{
			Severity: e.Severity, SeverityUnlocalized: e.Severity, Code: e.Code, Message: e.Message,
		}).Encode(nil)
		if err != nil {
			return false, err
		}
		x.res.ServerError = e
		x.forward(b)
		return true, nil
	}
	x.res.ServerError = e
	return isFatal(e), nil
}

func (c *Conn) parseComplete(x *exchange) (hide bool, err error) {
	if x.parseAcks >= len(x.parses) {
		return false, errors.Wrap(ErrProtocol, "ParseComplete without Parse")
	}
	op := &x.parses[x.parseAcks]
	x.parseAcks++
	if op.statement.Name != "" {
		c.statements.add(op.statement)
	}
	return op.hidden, nil
}

func (c *Conn) closeComplete(x *exchange, frame []byte) (hide bool, err error) {
	if x.closeAcks >= len(x.closes) {
		return false, errors.Wrap(ErrProtocol, "CloseComplete without Close")
	}
	op := x.closes[x.closeAcks]
	x.closeAcks++
	if op == closeAsParseComplete {
		frame[0] = '1'
	}
	return op == closeHide, nil
}

// finish ends the exchange after ReadyForQuery.
func (c *Conn) finish(x *exchange, status byte) {
	x.res.TxStatus = status
	x.res.Complete = true
	c.mu.Lock()
	c.current = nil
	c.mu.Unlock()
	c.finished <- struct{}{}
}

// forward writes bytes of the answer to the sink. After the sink has failed, the rest
// of the answer is discarded.
func (x *exchange) forward(b []byte) {
	if len(b) == 0 || x == nil || x.sink == nil {
		return
	}
	if x.sinkErr != nil {
		x.discardedBytes += int64(len(b))
		return
	}
	x.res.Delivered = true
	x.res.AnswerBytes += int64(len(b))
	_, x.sinkErr = x.sink.Write(b)
}

// refuseCopy aborts a COPY FROM STDIN, which the server starts with CopyInResponse and
// for which callers cannot send data through this connection.
func (c *Conn) refuseCopy(x *exchange) error {
	x.copyRefused = true
	b := []byte{'f'}
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(copyUnsupported.Message)+1))
	b = append(append(b, copyUnsupported.Message...), 0)
	if !x.simple {
		// In copy mode the server ignored the Sync of the batch.
		b = append(b, 'S', 0, 0, 0, 4)
	}
	_, err := c.nc.Write(b)
	return err
}
