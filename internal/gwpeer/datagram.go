package gwpeer

import (
	"context"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// HandleDatagram registers fn as the handler of datagrams of a kind. The handler runs
// on the receiving goroutine of the link and must not block.
func HandleDatagram[Msg any](n *Node, kind Kind, fn func(from string, msg Msg)) {
	add(&n.handlers, n.handlers.datagrams, kind, func(from string, payload []byte) error {
		var msg Msg
		if err := Unmarshal(payload, &msg); err != nil {
			return err
		}
		fn(from, msg)
		return nil
	})
}

// SendDatagram sends a datagram of at most MaxDatagramBytes without any guarantee of
// delivery. Without a link it starts a dial and keeps up to maxPendingDatagrams
// datagrams until the dial ends. During the back-off after a failed dial it returns an
// error at once.
func (n *Node) SendDatagram(address string, kind Kind, msg any) error {
	op := "send " + kind.String()
	addr, err := parseAddress(address)
	if err != nil {
		return newError(op, KindInvalid, address, err)
	}
	buf := getBuf()
	defer putBuf(buf)
	buf.Write(binary.AppendUvarint(buf.AvailableBuffer(), uint64(kind.ID)))
	if err := encode(buf, msg, MaxDatagramBytes); err != nil {
		return newError(op, KindInvalid, address, err)
	}
	data := append([]byte(nil), buf.Bytes()...)
	p := n.peer(addr)
	if l := p.current.Load(); l != nil && l.alive() {
		err = l.queueDatagram(data)
	} else {
		err = p.holdUntilDialed(data)
	}
	if err != nil {
		return newError(op, KindNotSent, address, err)
	}
	n.traffic.add(kind.ID, len(data))
	return nil
}

// maxQueuedDatagrams bounds the datagrams that wait to be sent on a link. The queue is
// needed because the QUIC library blocks a sender while its own short queue is full,
// for example while the peer is cut off.
const maxQueuedDatagrams = 128

// queueDatagram queues a datagram without blocking; a full queue is an error.
func (l *link) queueDatagram(data []byte) error {
	l.markUsed()
	select {
	case l.datagrams <- data:
		return nil
	default:
		return errors.Newf("datagram queue is full (%d datagrams)", maxQueuedDatagrams)
	}
}

func (l *link) sendDatagrams() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case data := <-l.datagrams:
			if err := l.conn.SendDatagram(data); err != nil {
				l.node.log.Warn("peer datagram not sent", "peer", l.instance, "cause", err.Error())
			}
		}
	}
}

// holdUntilDialed starts a dial if none runs and keeps a datagram until it ends.
func (p *peer) holdUntilDialed(data []byte) error {
	if _, _, err := p.dial(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.current.Load(); l != nil && l.alive() {
		return l.queueDatagram(data)
	}
	if p.dialing == nil {
		return errors.New("the peer is down")
	}
	if len(p.pending) < maxPendingDatagrams {
		p.pending = append(p.pending, data)
	}
	return nil
}

func (l *link) receiveDatagrams() {
	for {
		data, err := l.conn.ReceiveDatagram(context.Background())
		if err != nil {
			return
		}
		l.markUsed()
		if err := l.dispatch(data); err != nil {
			l.node.log.Warn("peer datagram refused", "peer", l.instance, "cause", err.Error())
		}
	}
}

func (l *link) dispatch(data []byte) error {
	defer l.recoverPanic("datagram")
	id, size := binary.Uvarint(data)
	if size <= 0 || id > 0xffff {
		return errors.New("datagram without a kind")
	}
	fn, ok := find(&l.node.handlers, l.node.handlers.datagrams, uint16(id))
	if !ok {
		return errors.Newf("%s has no handler", Kind{ID: uint16(id)})
	}
	if err := l.authorize(uint16(id)); err != nil {
		return err
	}
	return fn(l.instance, data[size:])
}
