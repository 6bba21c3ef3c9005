package gwowner

import (
	"context"
	"errors"
	"slices"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwbudget"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Frames of a stream of kind gwcontrol.KindExec. The entry instance sends a frameRequest;
// the owner answers with any number of frameData and one frameEnd.
const (
	frameRequest byte = iota + 1
	frameData
	frameEnd
)

// Codes of the errors that handlers return to peers.
const (
	codeNotOwner = "notOwner"
	codeNoLease  = "noLease"
	codeServer   = "server"
)

// awaitRequest asks the owner of a server to wait until it has reached Position.
type awaitRequest struct {
	Server   string             `cbor:"1,keyasint"`
	Position gwsession.Position `cbor:"2,keyasint"`
}

// barrierRequest asks the owner of a group's primary for a position that covers every
// acknowledged write.
type barrierRequest struct {
	Group string `cbor:"1,keyasint"`
	// Earlier is how far the earlier positions in the response go back; 0 for none.
	Earlier time.Duration `cbor:"2,keyasint,omitempty"`
	// Witness asks for a position that covers the writes acknowledged before the witness
	// was asked, if the owner holds no lease. Earlier releases ignore it.
	Witness *witness `cbor:"3,keyasint,omitempty"`
}

// barrierResponse holds the primary's position and earlier positions with their ages.
type barrierResponse struct {
	Position gwsession.Position `cbor:"1,keyasint"`
	Earlier  []gwsession.Sample `cbor:"2,keyasint,omitempty"`
}

// answerBarrier returns the primary's position and its earlier positions in the same
// lease period.
func (s *server) answerBarrier(ctx context.Context, r barrierRequest) (barrierResponse, error) {
	p, err := s.barrier(ctx)
	if errors.Is(err, errNoLease) && r.Witness != nil && s.owner.freshWithoutLease {
		p, err = s.provenPosition(ctx, *r.Witness)
		return barrierResponse{Position: p}, err
	}
	if err != nil {
		return barrierResponse{}, err
	}
	now := s.owner.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return barrierResponse{Position: p, Earlier: s.ackHistory.Since(now, r.Earlier)}, nil
}

// register registers the handlers of messages from other instances.
func (o *Owner) register() {
	gwpeer.Handle(o.node, gwcontrol.KindAwait, func(ctx context.Context, _ string, r awaitRequest) (gwsession.Position, error) {
		s := o.server(r.Server)
		if s == nil {
			return gwsession.Position{}, gwpeer.Codef(codeNotOwner, "backend server %s is not owned here", r.Server)
		}
		rep, err := s.backend.WaitPosition(ctx, r.Position)
		if err != nil {
			return gwsession.Position{}, gwpeer.Codef(codeServer, "%v", err)
		}
		return rep.Position, nil
	})
	gwpeer.Handle(o.node, gwcontrol.KindBarrier, o.serveBarrier)
	gwpeer.Handle(o.node, gwcontrol.KindFence, func(ctx context.Context, _ string, r gwcontrol.FenceRequest) (gwcontrol.Copy, error) {
		return o.fence(ctx, r)
	})
	gwpeer.Handle(o.node, gwcontrol.KindAskCopy, func(ctx context.Context, _ string, r gwcontrol.FenceRequest) (gwcontrol.Copy, error) {
		return o.askCopy(ctx, r)
	})
	gwpeer.Handle(o.node, gwcontrol.KindPromote, func(ctx context.Context, _ string, r gwcontrol.PromoteRequest) (gwsession.Position, error) {
		return o.promote(ctx, r)
	})
	o.node.HandleStream(gwcontrol.KindExec, o.serveExec)
}

func (o *Owner) serveBarrier(ctx context.Context, _ string, r barrierRequest) (barrierResponse, error) {
	g := o.views.Current().Groups[r.Group]
	s := o.server(g.Primary)
	if s == nil {
		return barrierResponse{}, gwpeer.Codef(codeNotOwner, "the primary of group %s is not owned here", r.Group)
	}
	a, err := s.answerBarrier(ctx, r)
	if err != nil {
		return a, gwpeer.Codef(codeNoLease, "%v", err)
	}
	return a, nil
}

// FenceAt fences a server through its owner.
func (o *Owner) FenceAt(ctx context.Context, r gwcontrol.FenceRequest) (gwcontrol.Copy, error) {
	return callOwner(ctx, o, r.Server, gwcontrol.KindFence, r, o.fence)
}

// AskAt returns the copy of a server through its owner.
func (o *Owner) AskAt(ctx context.Context, r gwcontrol.FenceRequest) (gwcontrol.Copy, error) {
	return callOwner(ctx, o, r.Server, gwcontrol.KindAskCopy, r, o.askCopy)
}

// PromoteAt promotes a server through its owner.
func (o *Owner) PromoteAt(ctx context.Context, r gwcontrol.PromoteRequest) (gwsession.Position, error) {
	return callOwner(ctx, o, r.Server, gwcontrol.KindPromote, r, o.promote)
}

// Servers returns the known servers of a group.
func (o *Owner) Servers(group string) []gwcontrol.ServerFacts {
	return slices.DeleteFunc(slices.Clone(o.directory.Group(group)), func(f gwcontrol.ServerFacts) bool { return f.Gone })
}

// DurabilityRules returns the number of copies of a group and whether a promotion may
// lose acknowledged writes.
func (o *Owner) DurabilityRules(group string) (copies int, allowLoss bool) {
	m := o.views.Current().Manifest
	if m == nil {
		return gwmanifest.DefaultCopies, false
	}
	g, ok := m.GroupByName(group)
	if !ok {
		return gwmanifest.DefaultCopies, false
	}
	return g.Copies, g.AllowLoss
}

// callOwner calls f if this instance owns the server, and sends r to the owner otherwise.
func callOwner[Req, Resp any](ctx context.Context, o *Owner, server string, kind gwpeer.Kind, r Req, f func(context.Context, Req) (Resp, error)) (Resp, error) {
	if o.server(server) != nil {
		return f(ctx, r)
	}
	address, err := o.ownerAddress(server)
	if err != nil {
		var zero Resp
		return zero, err
	}
	return gwpeer.Call[Req, Resp](ctx, o.node, address, kind, r)
}

// serveExec runs the requests that another instance sends over a stream, one after
// another. An open transaction is rolled back at the end of the stream.
func (o *Owner) serveExec(ctx context.Context, from string, st *gwpeer.Stream) {
	s := o.NewSession()
	defer s.Close()
	answers := o.answerMemory.Open("", nil)
	release := admitRequests(ctx, o.peerMemory, from, st)
	defer release()
	for {
		release()
		kind, payload, err := st.ReadFrame()
		if errors.Is(err, gwpeer.ErrFrameSkipped) {
			// The other instance takes its transaction for ended and may reuse the stream.
			s.Close()
			if end, err := gwpeer.Marshal(failed(gwoutcome.Expired, "the owner has no memory for the request").toWire()); err != nil || st.WriteFrame(frameEnd, end) != nil {
				return
			}
			continue
		}
		if err != nil || kind != frameRequest {
			return
		}
		var req Request
		var res Result
		if err := gwpeer.Unmarshal(payload, &req); err != nil {
			o.unreadable.Record(gwtelemetry.FromInstance, from, "decode", len(payload), err)
			// The other instance takes its transaction for ended and may reuse the stream.
			s.Close()
			res = failed(gwoutcome.NotEncodable, "the owner cannot decode the request: "+err.Error())
		} else {
			res = s.Exec(ctx, &req, frameWriter{st, answers})
		}
		end, err := gwpeer.Marshal(res.toWire())
		if err != nil || st.WriteFrame(frameEnd, end) != nil {
			return
		}
	}
}

// frameWriter sends each part of an answer as a frameData.
type frameWriter struct {
	stream *gwpeer.Stream
	// memory has the memory of large parts until they are sent; nil for no bound.
	memory *gwbudget.Hold
}

func (w frameWriter) Write(b []byte) (int, error) {
	if len(b) > readBufferBytes {
		w.memory.Force(int64(len(b)))
		defer w.memory.Release()
	}
	if err := w.stream.WriteFrame(frameData, b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// RemoteSession runs the requests of one caller on servers that another instance owns.
// It has the methods of Session.
type RemoteSession struct {
	stream *gwpeer.Stream
	broken bool
}

// NewRemoteSession returns a session over a stream of kind gwcontrol.KindExec.
func NewRemoteSession(st *gwpeer.Stream) *RemoteSession { return &RemoteSession{stream: st} }

// Broken reports whether the stream has failed, so that it can carry no further request.
func (r *RemoteSession) Broken() bool { return r.broken }

// Stream returns the session's stream.
func (r *RemoteSession) Stream() *gwpeer.Stream { return r.stream }

// Exec sends one request to the owner and writes its answer to out.
func (r *RemoteSession) Exec(ctx context.Context, req *Request, out gwbackend.Sink) Result {
	limit := time.Now().Add(req.Timeout + answerGrace)
	if end, ok := ctx.Deadline(); !ok || end.After(limit) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, limit)
		defer cancel()
	}
	stop := r.stream.CancelOn(ctx)
	defer stop()
	payload, err := gwpeer.Marshal(req)
	if err != nil {
		r.broken = true // a transaction may be open on the stream, which must not be reused
		return failed(gwoutcome.NotEncodable, err.Error())
	}
	if err := r.stream.WriteFrame(frameRequest, payload); err != nil {
		r.broken = true
		res := failed(gwoutcome.PeerBroken, err.Error())
		if gwpeer.IsNotSent(err) {
			res = failed(gwoutcome.PeerUnreachable, err.Error())
		}
		res.OwnerSilent = true
		return res
	}
	return r.readAnswer(ctx, out)
}

// answerGrace is how long an answer may arrive after the request's own timeout.
const answerGrace = 500 * time.Millisecond

// readAnswer reads the frames of one answer.
func (r *RemoteSession) readAnswer(ctx context.Context, out gwbackend.Sink) Result {
	relayed := false
	for {
		kind, payload, err := r.stream.ReadFrame()
		if err != nil {
			r.broken = true
			return r.lostAnswer(ctx, err, relayed)
		}
		switch kind {
		case frameData:
			relayed = true
			if err := passOn(out, payload); err != nil {
				r.broken = true
				return r.lostAnswer(ctx, err, relayed)
			}
		case frameEnd:
			var res Result
			if err := gwpeer.Unmarshal(payload, &res); err != nil {
				r.broken = true
				return r.lostAnswer(ctx, err, relayed)
			}
			return res.fromWire()
		}
	}
}

// lostAnswer returns the result of a request whose answer did not arrive completely.
func (r *RemoteSession) lostAnswer(ctx context.Context, err error, relayed bool) Result {
	e := gwoutcome.PeerBroken
	switch {
	case ctx.Err() != nil:
		e = gwoutcome.TimedOut
	case gwpeer.IsNotSent(err):
		e = gwoutcome.PeerUnreachable
	}
	res := failed(e, err.Error())
	res.Relayed, res.OwnerSilent = relayed, true
	return res
}

// Close ends the session. The owner rolls back an open transaction.
func (r *RemoteSession) Close() { r.stream.Cancel() }
