package gwbudget

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"

	"golang.org/x/time/rate"

	"gentianward.example/gentianward/internal/gwtelemetry"
)

// Parts of a process's memory limit.
const (
	// heapPart is the limit of the Go runtime (debug.SetMemoryLimit). Beside it, the program's
	// own pages take about 15 MiB of the 128 to 280 MiB of an instance. Goroutines that allocate
	// large buffers during a collection exceed the limit by up to 40 MiB.
	heapPart = 0.55
	// dataPart is what all pools together have. An idle instance uses about 25 MiB, and the
	// garbage collector needs room for what has been released.
	dataPart = 0.45

	// Parts of the data by pool. State has the largest part of its own, as it stays.
	statePart     = 0.35
	messagePart   = 0.20
	statementPart = 0.10
	answerPart    = 0.25
	peerPart      = 0.10

	// maxState bounds the state of sessions where the memory limit is large or not known.
	maxState = 64 << 20

	// connectionBytes is about what an idle caller connection takes, and connectionPart the part
	// of the memory that all of them may take.
	connectionBytes = 16 << 10
	connectionPart  = 0.15
)

// Budget has the pools of one process.
type Budget struct {
	// Memory is the memory at which the process is killed; 0 if it is not known.
	Memory int64
	// Messages has what was read from callers and operators and not yet answered.
	Messages *Pool
	// Statements has copies of statements with the state of their sessions for other instances.
	Statements *Pool
	// Answers has what was read from servers and other instances and not yet written.
	Answers *Pool
	// Peers has the statements of other instances.
	Peers *Pool
	// State has the values and prepared statements of sessions.
	State *Pool

	log     *slog.Logger
	limiter *rate.Limiter
	skipped atomic.Int64
}

// Lines about closed clients are bounded, as a crowd must not displace the other lines of the log.
const (
	linesPerSecond = 2
	lineBurst      = 10
)

// New returns the budget of a process with the given memory limit in bytes. With 0 only the state
// of sessions is bounded.
func New(memory int64, log *slog.Logger) *Budget {
	b := &Budget{Memory: memory, log: log, limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
	part := func(name string, p float64) *Pool {
		limit := int64(float64(memory) * dataPart * p)
		if memory <= 0 {
			limit = math.MaxInt64 / 2
		}
		return newPool(name, limit, b.logClosed)
	}
	b.Messages, b.Statements, b.Answers = part("messages", messagePart), part("statements", statementPart), part("answers", answerPart)
	b.Peers, b.State = part("peers", peerPart), part("state", statePart)
	b.State.limit = min(b.State.limit, maxState)
	b.State.hostLimit = b.State.limit / 4 * 3
	return b
}

// HeapLimit returns the limit of the Go runtime in bytes, or math.MaxInt64 for none.
func (b *Budget) HeapLimit() int64 {
	if b.Memory <= 0 {
		return math.MaxInt64
	}
	return int64(float64(b.Memory) * heapPart)
}

// MaxConnections returns how many caller connections the memory suffices for, at most files.
func (b *Budget) MaxConnections(files int) int {
	if b.Memory <= 0 {
		return files
	}
	return min(files, int(float64(b.Memory)*connectionPart)/connectionBytes)
}

func (b *Budget) logClosed(pool, host string, held int64) {
	b.warn("connection of a slow client closed, as others wait for its memory", "pool", pool, "remote", host, "bytes", held)
}

func (b *Budget) warn(msg string, args ...any) {
	if b.log == nil {
		return
	}
	if !b.limiter.Allow() {
		b.skipped.Add(1)
		return
	}
	b.log.Warn(msg, append(args, "skipped", b.skipped.Swap(0))...)
}

// Expose adds the gauges of all pools.
func (b *Budget) Expose(gauge func(name string, f func() float64, labels ...gwtelemetry.Label)) {
	for _, p := range []*Pool{b.Messages, b.Statements, b.Answers, b.Peers, b.State} {
		label := gwtelemetry.Label{Name: "pool", Value: p.name}
		gauge("gentianward_budget_used_bytes", func() float64 { return float64(p.Used()) }, label)
		gauge("gentianward_budget_limit_bytes", func() float64 { return float64(p.limit) }, label)
		gauge("gentianward_budget_waits", func() float64 { return float64(p.waits.Load()) }, label)
		gauge("gentianward_budget_refused", func() float64 { return float64(p.refused.Load()) }, label)
		gauge("gentianward_budget_closed", func() float64 { return float64(p.closed.Load()) }, label)
	}
}

type hostKey struct{}

// WithHost returns a context that carries the host of a client.
func WithHost(ctx context.Context, host string) context.Context {
	return context.WithValue(ctx, hostKey{}, host)
}

// HostFrom returns the host of a client that the context carries, or "".
func HostFrom(ctx context.Context) string {
	host, _ := ctx.Value(hostKey{}).(string)
	return host
}

// PeerPool returns Peers, or nil without a budget.
func (b *Budget) PeerPool() *Pool {
	if b == nil {
		return nil
	}
	return b.Peers
}

// AnswerPool returns Answers, or nil without a budget.
func (b *Budget) AnswerPool() *Pool {
	if b == nil {
		return nil
	}
	return b.Answers
}
