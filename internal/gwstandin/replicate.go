package gwstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/jackc/pgx/v5/pgproto3"
)

// A replica connects to the address on which the primary serves clients. Its
// startup message carries this parameter and value; a Query message with the hello
// follows.
const (
	replicationParameter = "replication"
	replicationValue     = "gentianward"
)

const (
	// replicationRetry is the pause between attempts to reach the primary.
	replicationRetry = 50 * time.Millisecond
	dialTimeout      = time.Second
	maxFrameEntries  = 256 // bounds the memory of one frame
)

// hello is sent by a replica and describes its log in JSON.
type hello struct {
	Server  string      `json:"server"`
	Address string      `json:"address"`
	Length  uint64      `json:"length"`
	Terms   []termStart `json:"terms"`
}

// frame is sent by a primary in CBOR. Its entries follow offset From. The first
// frame of a connection has no entries; its From is the offset up to which the logs
// of primary and replica are equal.
type frame struct {
	Refused string      `cbor:"1,keyasint,omitempty"`
	From    uint64      `cbor:"2,keyasint,omitempty"`
	Entries []*entry    `cbor:"3,keyasint,omitempty"`
	Terms   []termStart `cbor:"4,keyasint,omitempty"`
}

func (f *frame) term() uint64 { return (&view{terms: f.Terms}).term() }

// decMode decodes integer arguments as int64, the type with which they were bound.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{IntDec: cbor.IntDecConvertSignedOrFail, MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// replicateTo serves a replica on the primary's side of a replication connection.
func (s *Server) replicateTo(r *serverRun, conn net.Conn, backend *pgproto3.Backend) {
	msg, err := backend.Receive()
	if err != nil {
		return
	}
	query, ok := msg.(*pgproto3.Query)
	if !ok {
		return
	}
	var h hello
	if err := json.Unmarshal([]byte(query.String), &h); err != nil {
		return
	}
	enc := cbor.NewEncoder(conn)
	v := s.log.view()
	fault, _ := s.faults.get()
	if refused := s.refusalReason(fault, h); refused != "" {
		if err := enc.Encode(&frame{Refused: refused}); err != nil {
			s.o.Logger.Debug("sending a refusal to a replica failed", "error", err)
		}
		return
	}
	sent := commonPrefixLength(h.Terms, h.Length, v.terms, uint64(len(v.entries)))
	if err := enc.Encode(&frame{From: sent, Terms: v.terms}); err != nil {
		return
	}
	// The replica sends nothing more; a failed read means that it disconnected.
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.wg.Go(func() {
		defer cancel()
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			s.o.Logger.Debug("replica disconnected", "peer", h.Server, "error", err)
		}
	})
	s.sendEntries(ctx, enc, h.Address, v.terms, sent)
}

// refusalReason returns why a replica is refused, empty if it is not.
func (s *Server) refusalReason(fault *Fault, h hello) string {
	switch {
	case fault.cutsPeer(h.Address):
		return "isolated"
	case s.Role() != RolePrimary:
		return fmt.Sprintf("server %q is not a primary", s.o.Name)
	}
	return ""
}

// sendEntries sends the log entries after offset sent until the connection ends, the
// server is no longer primary or a fault cuts the peer.
func (s *Server) sendEntries(ctx context.Context, enc *cbor.Encoder, peer string, terms []termStart, sent uint64) {
	for {
		v := s.log.view()
		fault, faultChanged := s.faults.get()
		if fault.cutsPeer(peer) || s.Role() != RolePrimary || sent > uint64(len(v.entries)) {
			return
		}
		if !fault.Frozen && (sent < uint64(len(v.entries)) || len(v.terms) != len(terms)) {
			end := min(uint64(len(v.entries)), sent+maxFrameEntries)
			if err := enc.Encode(&frame{From: sent, Entries: v.entries[sent:end], Terms: v.terms}); err != nil {
				return
			}
			sent, terms = end, v.terms
			continue
		}
		select {
		case <-v.changed:
		case <-faultChanged:
		case <-ctx.Done():
			return
		}
	}
}

// following is the state of a replica that follows a primary, from FOLLOW or its
// start until it is promoted, follows another primary, or crashes or stops.
type following struct {
	term    uint64
	address string
	ctx     context.Context
	cancel  context.CancelFunc

	mu   sync.Mutex
	conn net.Conn

	reconciled chan struct{} // closed once the log has been truncated to the common prefix
	dropped    uint64        // guarded by Server.mu
}

func newFollowing(term uint64, address string) *following {
	f := &following{term: term, address: address, reconciled: make(chan struct{})}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// reconnect closes the connection; the next one checks the primary's term again.
func (f *following) reconnect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		f.conn.Close()
	}
}

// startReplication starts the goroutine that follows the primary until f.ctx ends.
// The caller holds mu.
func (s *Server) startReplication(r *serverRun, f *following) {
	f.cancel()
	f.ctx, f.cancel = context.WithCancel(r.ctx)
	s.following = f
	r.wg.Go(func() {
		for f.ctx.Err() == nil {
			err := s.replicateFrom(r, f)
			s.o.Logger.Debug("replication from the primary ended", "primary", f.address, "error", err)
			if err := s.sleep(f.ctx, replicationRetry); err != nil {
				return
			}
		}
	})
}

// replicateFrom follows the primary over one connection.
func (s *Server) replicateFrom(r *serverRun, f *following) error {
	fault, _ := s.faults.get()
	if fault.cutsPeer(f.address) {
		return newError("replicate from primary", KindConnection, "", "isolated from %s", f.address)
	}
	if err := s.faults.waitUnfrozen(f.ctx); err != nil {
		return err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(f.ctx, "tcp", f.address)
	if err != nil {
		return &Error{Op: "replicate from primary", Kind: KindConnection, Err: err}
	}
	defer r.untrack(conn)
	if !r.track(conn) {
		return f.ctx.Err()
	}
	stop := context.AfterFunc(f.ctx, func() { conn.Close() })
	defer stop()
	f.mu.Lock()
	f.conn = conn
	f.mu.Unlock()
	if err := s.sendHello(conn); err != nil {
		return err
	}
	dec := decMode.NewDecoder(conn)
	var first frame
	if err := dec.Decode(&first); err != nil {
		return &Error{Op: "replicate from primary", Kind: KindConnection, Err: err}
	}
	if err := s.reconcile(f, &first); err != nil {
		return err
	}
	return s.applyFrames(f, conn, dec)
}

func (s *Server) sendHello(conn net.Conn) error {
	v := s.log.view()
	text, err := json.Marshal(hello{Server: s.o.Name, Address: s.Address(), Length: uint64(len(v.entries)), Terms: v.terms})
	if err != nil {
		return &Error{Op: "replicate from primary", Kind: KindConnection, Err: err}
	}
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": s.o.Name, replicationParameter: replicationValue},
	}
	buf, err := startup.Encode(nil)
	if err != nil {
		return &Error{Op: "replicate from primary", Kind: KindConnection, Err: err}
	}
	if buf, err = (&pgproto3.Query{String: string(text)}).Encode(buf); err != nil {
		return &Error{Op: "replicate from primary", Kind: KindConnection, Err: err}
	}
	_, err = conn.Write(buf)
	return err
}

// reconcile drops the entries that the primary does not have: those after the offset in
// the first frame.
func (s *Server) reconcile(f *following, first *frame) error {
	if first.Refused != "" {
		return newError("replicate from primary", KindConnection, "", "refused: %s", first.Refused)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFrame(f, first); err != nil {
		return err
	}
	if first.From > uint64(len(s.log.view().entries)) {
		return newError("replicate from primary", KindConnection, "", "primary continues at offset %d, past the end of this log", first.From)
	}
	if dropped := s.log.truncate(first.From, first.Terms); dropped > 0 {
		f.dropped += dropped
		s.o.Logger.Warn("dropped unreplicated write transactions", "dropped", dropped, "offset", first.From, "term", first.term())
	}
	select {
	case <-f.reconciled:
	default:
		close(f.reconciled)
	}
	return nil
}

// checkFrame checks that the server still follows f and that the primary's term is
// not fenced. The caller holds mu.
func (s *Server) checkFrame(f *following, fr *frame) error {
	if s.following != f || f.ctx.Err() != nil {
		return newError("replicate from primary", KindRole, "", "the server no longer follows %s", f.address)
	}
	if fr.term() < s.fence {
		return newError("replicate from primary", KindRole, "", "primary %s has term %d, fenced by term %d", f.address, fr.term(), s.fence)
	}
	return nil
}

// queuedFrame is a received frame that takes effect after the replication delay.
type queuedFrame struct {
	frame      frame
	receivedAt time.Time
}

// frameQueue holds frames from their arrival until they take effect. It is
// unbounded, because a long replica lag must not slow the primary.
type frameQueue struct {
	mu     sync.Mutex
	frames []queuedFrame
	err    error         // why no more frames follow
	ready  chan struct{} // signals a push; has a buffer of one
}

func (q *frameQueue) push(a queuedFrame, err error) {
	q.mu.Lock()
	if err != nil {
		q.err = err
	} else {
		q.frames = append(q.frames, a)
	}
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// head returns the oldest frame, or the error once all frames are taken.
func (q *frameQueue) head() (*queuedFrame, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) > 0 {
		return &q.frames[0], nil
	}
	return nil, q.err
}

func (q *frameQueue) pop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.frames = q.frames[1:]
}

// applyFrames receives frames and applies each after the replication delay. Frames
// that arrived before the connection ended still take effect.
func (s *Server) applyFrames(f *following, conn net.Conn, dec *cbor.Decoder) error {
	q := &frameQueue{ready: make(chan struct{}, 1)}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer conn.Close()
	wg.Go(func() {
		for {
			var fr frame
			if err := dec.Decode(&fr); err != nil {
				q.push(queuedFrame{}, err)
				return
			}
			q.push(queuedFrame{frame: fr, receivedAt: s.o.Clock.Now()}, nil)
		}
	})
	for {
		a, err := q.head()
		if err != nil {
			return &Error{Op: "replicate from primary", Kind: KindConnection, Err: err}
		}
		if a == nil {
			err = s.waitFrame(f, q)
		} else if err = s.waitDelay(f, a); err == nil {
			err = s.applyFrame(f, &a.frame)
			q.pop()
		}
		if err != nil {
			return err
		}
	}
}

var errIsolated = errors.New("isolated from the primary")

// waitFrame waits until the queue or the faults may have changed.
func (s *Server) waitFrame(f *following, q *frameQueue) error {
	fault, changed := s.faults.get()
	if fault.cutsPeer(f.address) {
		return errIsolated
	}
	select {
	case <-q.ready:
	case <-changed:
	case <-f.ctx.Done():
		return f.ctx.Err()
	}
	return nil
}

// waitDelay waits until a frame is to take effect; the lag can change meanwhile.
func (s *Server) waitDelay(f *following, a *queuedFrame) error {
	for {
		fault, changed := s.faults.get()
		if fault.cutsPeer(f.address) {
			return errIsolated
		}
		wait := s.o.ReplicationDelay + fault.ReplicaLag - s.o.Clock.Since(a.receivedAt)
		if !fault.Frozen && wait <= 0 {
			return nil
		}
		var due <-chan time.Time
		if !fault.Frozen {
			due = s.o.Clock.After(wait)
		}
		select {
		case <-due:
		case <-changed:
		case <-f.ctx.Done():
			return f.ctx.Err()
		}
	}
}

// applyFrame adds the entries of a frame to the log.
func (s *Server) applyFrame(f *following, fr *frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFrame(f, fr); err != nil {
		return err
	}
	if !s.log.appendReceived(fr.From, fr.Entries, fr.Terms) {
		return newError("replicate from primary", KindConnection, "", "entries before offset %d are missing", fr.From)
	}
	return nil
}
