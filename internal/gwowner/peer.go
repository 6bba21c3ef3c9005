package gwowner

import (
	"context"
	"slices"
	"time"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Frames of an exec stream: the entry instance sends frameRequest, the owner
// answers with any number of frameData and one frameEnd.
const (
	frameRequest byte = iota + 1
	frameData
	frameEnd
)

// Codes of errors that handlers return.
const (
	codeNotOwner = "notOwner"
	codeNoLease  = "noLease"
	codeServer   = "server"
)

type await struct {
	Server   string             `cbor:"1,keyasint"`
	Position gwsession.Position `cbor:"2,keyasint"`
}

type barrier struct {
	Group string `cbor:"1,keyasint"`
	// Earlier asks for the positions of that long before the answer, too.
	Earlier time.Duration `cbor:"2,keyasint,omitempty"`
}

type barrierAnswer struct {
	Position gwsession.Position `cbor:"1,keyasint"`
	Earlier  []gwsession.Sample `cbor:"2,keyasint,omitempty"`
}

// answerBarrier answers with the primary's position and what it was earlier under
// the same term.
func (s *server) answerBarrier(ctx context.Context, r barrier) (barrierAnswer, error) {
	p, err := s.barrier(ctx)
	if err != nil {
		return barrierAnswer{}, err
	}
	now := s.owner.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return barrierAnswer{Position: p, Earlier: s.track.Since(now, r.Earlier)}, nil
}

func (o *Owner) register() {
	gwpeer.Handle(o.node, gwcontrol.KindAwait, func(ctx context.Context, _ string, r await) (gwsession.Position, error) {
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
	gwpeer.Handle(o.node, gwcontrol.KindPromote, func(ctx context.Context, _ string, r gwcontrol.PromoteRequest) (gwsession.Position, error) {
		return o.promote(ctx, r)
	})
	o.node.HandleStream(gwcontrol.KindExec, o.serveExec)
}

func (o *Owner) serveBarrier(ctx context.Context, _ string, r barrier) (barrierAnswer, error) {
	g := o.views.Current().Groups[r.Group]
	s := o.server(g.Primary)
	if s == nil {
		return barrierAnswer{}, gwpeer.Codef(codeNotOwner, "the primary of group %s is not owned here", r.Group)
	}
	a, err := s.answerBarrier(ctx, r)
	if err != nil {
		return a, gwpeer.Codef(codeNoLease, "%v", err)
	}
	return a, nil
}

// fence makes an owned server refuse writes and replication of older terms.
func (o *Owner) fence(ctx context.Context, r gwcontrol.FenceRequest) (gwcontrol.Copy, error) {
	s := o.server(r.Server)
	if s == nil {
		return gwcontrol.Copy{}, gwpeer.Codef(codeNotOwner, "backend server %s is not owned here", r.Server)
	}
	rep, err := s.backend.Fence(ctx, r.Term)
	if err != nil {
		return gwcontrol.Copy{}, gwpeer.Codef(codeServer, "%v", err)
	}
	return gwcontrol.Copy{Server: r.Server, Position: rep.Position}, nil
}

// promote makes an owned server the primary of a term.
func (o *Owner) promote(ctx context.Context, r gwcontrol.PromoteRequest) (gwsession.Position, error) {
	s := o.server(r.Server)
	if s == nil {
		return gwsession.Position{}, gwpeer.Codef(codeNotOwner, "backend server %s is not owned here", r.Server)
	}
	p, err := s.backend.Promote(ctx, r.Term)
	if err != nil {
		return p, gwpeer.Codef(codeServer, "%v", err)
	}
	return p, nil
}

// FenceAt fences a server through its owner.
func (o *Owner) FenceAt(ctx context.Context, r gwcontrol.FenceRequest) (gwcontrol.Copy, error) {
	return atOwner(ctx, o, r.Server, gwcontrol.KindFence, r, o.fence)
}

// PromoteAt promotes a server through its owner.
func (o *Owner) PromoteAt(ctx context.Context, r gwcontrol.PromoteRequest) (gwsession.Position, error) {
	return atOwner(ctx, o, r.Server, gwcontrol.KindPromote, r, o.promote)
}

// Servers returns the known servers of a group.
func (o *Owner) Servers(group string) []gwcontrol.ServerFacts {
	return slices.DeleteFunc(slices.Clone(o.directory.Group(group)), func(f gwcontrol.ServerFacts) bool { return f.Gone })
}

// Rules returns the number of copies of a group and whether a promotion may
// lose acknowledged writes.
func (o *Owner) DurabilityRules(group string) (copies int, allowLoss bool) {
	m := o.views.Current().Manifest
	if m == nil {
		return gwmanifest.DefaultCopies, false
	}
	g, ok := m.GroupNamed(group)
	if !ok {
		return gwmanifest.DefaultCopies, false
	}
	return g.Copies, g.AllowLoss
}

// atOwner runs f here if this instance owns the server, and at its owner otherwise.
func atOwner[Req, Resp any](ctx context.Context, o *Owner, server string, kind gwpeer.Kind, r Req, f func(context.Context, Req) (Resp, error)) (Resp, error) {
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

// serveExec runs the requests of sessions that another instance sends over one
// stream, one after another. An open transaction ends with the stream.
func (o *Owner) serveExec(ctx context.Context, _ string, st *gwpeer.Stream) {
	s := o.NewSession()
	defer s.Close()
	for {
		kind, payload, err := st.ReadFrame()
		if err != nil || kind != frameRequest {
			return
		}
		var req Request
		if err := gwpeer.Unmarshal(payload, &req); err != nil {
			return
		}
		res := s.Exec(ctx, &req, frameWriter{st})
		end, err := gwpeer.Marshal(res)
		if err != nil || st.WriteFrame(frameEnd, end) != nil {
			return
		}
	}
}

// frameWriter sends the parts of an answer as frames.
type frameWriter struct{ stream *gwpeer.Stream }

func (w frameWriter) Write(b []byte) (int, error) {
	if err := w.stream.WriteFrame(frameData, b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// RemoteSession runs the requests of one caller at the owner on another instance. It
// has the methods of Session.
type RemoteSession struct {
	stream *gwpeer.Stream
	broken bool
}

// NewRemoteSession returns a session over a stream of kind gwcontrol.KindExec.
func NewRemoteSession(st *gwpeer.Stream) *RemoteSession { return &RemoteSession{stream: st} }

// Broken reports whether the stream can carry no further request.
func (r *RemoteSession) Broken() bool { return r.broken }

// Stream returns the session's stream.
func (r *RemoteSession) Stream() *gwpeer.Stream { return r.stream }

// Exec sends one request and writes its answer to out.
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
		return failed(gwoutcome.BrokenBeforeSend, err.Error())
	}
	if err := r.stream.WriteFrame(frameRequest, payload); err != nil {
		r.broken = true
		if gwpeer.IsNotSent(err) {
			return failed(gwoutcome.PeerUnreachable, err.Error())
		}
		return failed(gwoutcome.PeerBroken, err.Error())
	}
	return r.answer(ctx, out)
}

// answerGrace is how long an answer may take beyond the request's own timeout.
const answerGrace = 500 * time.Millisecond

func (r *RemoteSession) answer(ctx context.Context, out gwbackend.Sink) Result {
	relayed := false
	for {
		kind, payload, err := r.stream.ReadFrame()
		if err != nil {
			r.broken = true
			return r.lost(ctx, err, relayed)
		}
		switch kind {
		case frameData:
			relayed = true
			if _, err := out.Write(payload); err != nil {
				r.broken = true
				return r.lost(ctx, err, relayed)
			}
		case frameEnd:
			var res Result
			if err := gwpeer.Unmarshal(payload, &res); err != nil {
				r.broken = true
				return r.lost(ctx, err, relayed)
			}
			return res
		}
	}
}

// lost is the result of a request whose answer did not arrive.
func (r *RemoteSession) lost(ctx context.Context, err error, relayed bool) Result {
	e := gwoutcome.PeerBroken
	switch {
	case ctx.Err() != nil:
		e = gwoutcome.TimedOut
	case gwpeer.IsNotSent(err):
		e = gwoutcome.PeerUnreachable
	}
	res := failed(e, err.Error())
	res.Relayed = relayed
	return res
}

// Close ends the session; the owner rolls an open transaction back.
func (r *RemoteSession) Close() { r.stream.Cancel() }
