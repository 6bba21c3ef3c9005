package gwbudget

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Limits of HTTP servers.
const (
	// headerTimeout bounds the time for the header of a request, of a few hundred bytes.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time for a whole request: a configuration of 8 MiB takes 34 s on a
	// link of 2 Mbit/s.
	bodyTimeout = 90 * time.Second
	// idleTimeout is how long a connection is kept for another request. Backend servers send
	// heartbeats more often.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the header of a request. net/http reads up to 4 KiB more.
	maxHeaderBytes = 8 << 10
	// bodyFactor is how many times the memory of a body is needed while it is read and decoded.
	bodyFactor = 3
	// bodyStep is the size of the steps in which the memory of a body is taken.
	bodyStep = 64 << 10
	// bodyWait is how long a body may wait for memory.
	bodyWait = 30 * time.Second
)

// HTTPServer returns a server for a handler with the limits of this package.
func HTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

var errNoMemory = errors.New("no memory for the body of the request")

// LimitBodies returns a handler that takes the memory of bodies from the pool of messages.
func (b *Budget) LimitBodies(h http.Handler) http.Handler {
	if b == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hold := b.Messages.Open("", func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) })
		defer hold.Release()
		r.Body = &limitedBody{ReadCloser: r.Body, ctx: r.Context(), hold: hold}
		h.ServeHTTP(w, r)
	})
}

// limitedBody takes memory before it reads.
type limitedBody struct {
	io.ReadCloser
	ctx  context.Context
	hold *Hold
	room int
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	if l.room <= 0 {
		ctx, cancel := context.WithTimeout(l.ctx, bodyWait)
		defer cancel()
		if !l.hold.Acquire(ctx, bodyFactor*bodyStep) {
			return 0, errNoMemory
		}
		l.room = bodyStep
	}
	l.hold.AwaitClient()
	n, err := l.ReadCloser.Read(p[:min(len(p), l.room)])
	l.hold.ClientMoved(n)
	l.room -= n
	return n, err
}
