package gwcontrol

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// Timing and limits of a voter.
const (
	consensusTick  = 20 * time.Millisecond
	compactEntries = 1000
	// compactBytes limits the size of the log that a restarted voter has to read:
	// manifests are large, and a voter with 200 of them in its log took 0.4 s to start.
	compactBytes    = 512 << 10
	callQueueLength = 1024
	sendQueueLength = 256
	// voterRetryInterval is the time between an error that stops a voter and the next attempt
	// to continue.
	voterRetryInterval = 500 * time.Millisecond
	// reloadSaves is how many saves of entries a reload of the store takes at least as long as.
	reloadSaves = 2
)

// Store persists the state of a voter. Save returns once the data is synced to disk.
type Store interface {
	// Size returns the number of bytes of log that a restart reads.
	Size() int64
	// Reload makes the state that Load returns durable, and saves possible after a failed one.
	Reload() error
	Load() (gwquorum.HardState, gwquorum.Snapshot, []gwquorum.Entry, error)
	Save(gwquorum.HardState, []gwquorum.Entry, *gwquorum.Snapshot) error
}

// ConsensusOptions configures a Consensus.
type ConsensusOptions struct {
	Instance string
	Node     *gwpeer.Node
	Clock    clockwork.Clock
	Log      *slog.Logger
	Store    Store
	State    *gwstate.State
	// Identity returns the identity of this voter and, on the initial start of the
	// deployment, the initial voters. It may wait for other voters.
	Identity func(ctx context.Context) (Identity, error)
	// Address returns the peer address of a voter.
	Address func(instance string) (string, bool)
	// Heartbeat is the time between the leader's messages to an idle follower; 0
	// selects the default.
	Heartbeat time.Duration
	// OnApplied is called on the goroutine of Run after entries or a snapshot were applied.
	OnApplied func()
}

// Consensus runs the replicated log of one voter.
//
// The goroutine of Run owns the node; other goroutines pass functions to it
// through calls.
type Consensus struct {
	ConsensusOptions
	identity Identity
	node     *gwquorum.Node
	calls    chan func()
	// running is set while a node takes part.
	running atomic.Bool

	proposals      map[uint64]proposal
	reads          map[uint64]chan error
	lastReadID     uint64
	compactedIndex uint64
	ready          bool
	readyTerm      uint64
	peers          map[string]*sender
	voterLog       *voterLog
	saving         *pendingSave // nil if none runs
	traffic        voterTraffic
	terms          termTimes

	mu             sync.RWMutex
	status         gwquorum.Status
	statusAt       time.Time
	uncommittedAge time.Duration
	slowestSave    time.Duration
	// leadingSince is when the voter was first seen to lead in readyTerm.
	leadingSince time.Time
	// noManifest means that there was no manifest at that time.
	noManifest bool
}

// proposal is a call of Propose that waits until the entry at its index is applied.
type proposal struct {
	term uint64
	done chan applied
}

type applied struct {
	result gwstate.Result
	err    error
}

// NewConsensus returns a voter that takes part once Run has obtained its identity.
func NewConsensus(o ConsensusOptions) *Consensus {
	c := &Consensus{
		ConsensusOptions: o, calls: make(chan func(), callQueueLength),
		proposals: make(map[uint64]proposal), reads: make(map[uint64]chan error), peers: make(map[string]*sender),
		voterLog: newVoterLog(o.Log),
	}
	o.Node.HandleStream(kindQuorum, c.receive)
	return c
}

// identify returns the identity of this voter. It is kept, as the initial voters are known
// only to the call that chose it, and may have to be saved again.
func (c *Consensus) identify(ctx context.Context) (Identity, error) {
	if c.identity.ID != "" {
		return c.identity, nil
	}
	identity, err := c.Identity(ctx)
	if err == nil {
		c.identity = identity
	}
	return identity, err
}

// start loads the voter's state and creates its node.
func (c *Consensus) start(ctx context.Context) error {
	identity, err := c.identify(ctx)
	if err != nil {
		return err
	}
	began := c.Clock.Now()
	if err := c.Store.Reload(); err != nil {
		return err
	}
	saveTime := c.Clock.Since(began) / reloadSaves
	hs, snap, entries, err := c.Store.Load()
	if err != nil {
		return err
	}
	if len(identity.InitialVoters) > 0 && snap.Index == 0 && len(entries) == 0 && len(snap.Members.Voters) == 0 {
		// The initial voters are saved, as the manifest may list others by the next restart.
		snap.Members.Voters = identity.InitialVoters
		if err := c.Store.Save(hs, nil, &snap); err != nil {
			return err
		}
	}
	if snap.Index > c.State.Index() {
		if err := c.State.Restore(snap.Data, c.Clock.Now()); err != nil {
			return err
		}
	}
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	cfg := gwquorum.Config{ID: identity.ID, HeartbeatInterval: c.Heartbeat, SaveTime: saveTime, Rand: mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:]), 0)}
	if c.node, err = gwquorum.NewNode(cfg, hs, snap, entries); err != nil {
		return err
	}
	c.compactedIndex = snap.Index
	c.voterLog.started(c.node.Status(), c.Clock.Now())
	c.updateStatus()
	c.running.Store(true)
	return nil
}

// Run takes part in the replicated log until ctx ends. After an error, for example of the
// disk, it discards the node and continues from the saved state as a restarted process would.
// Meanwhile the voter neither votes nor acknowledges entries.
func (c *Consensus) Run(ctx context.Context) error {
	for failures := 1; ; failures++ {
		err := c.start(ctx)
		if err == nil {
			if failures > 1 {
				c.Log.Info("voter continues after an error", "attempts", failures)
			}
			failures = 0
			err = c.drive(ctx)
		}
		c.stop()
		if ctx.Err() != nil {
			return nil
		}
		if logsAttempt(failures) {
			c.Log.Error("voter stopped because of an error; it will continue from its saved state", "error", err.Error(), "failedStarts", failures)
		}
		if !c.pause(ctx) {
			return nil
		}
	}
}

// logsAttempt reports whether a number of failed starts is a power of two or 0, which bounds
// the log lines of a fault that lasts.
func logsAttempt(failures int) bool { return failures&(failures-1) == 0 }

// drive drives the node until ctx ends or an error occurs. A failing store is such an error:
// a voter that cannot sync must not take part. So is a panic, for example over a malformed
// message of a peer: the process goes on, and the voter continues from its saved state.
func (c *Consensus) drive(ctx context.Context) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			c.Log.Error("voter ended by a panic", "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			err = &Error{Op: "drive voter", Kind: Unavailable, Detail: fmt.Sprint(cause)}
		}
	}()
	defer c.abandonSave()
	ticker := c.Clock.NewTicker(consensusTick)
	defer ticker.Stop()
	for {
		idle := c.Clock.Now()
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.calls:
			c.noticePause()
			f()
			c.runQueuedCalls()
		case <-ticker.Chan():
			c.node.Tick(c.Clock.Now())
		case err := <-c.saving.result():
			if err := c.endSave(ctx, err); err != nil {
				return err
			}
		}
		c.voterLog.stoodStill(c.Clock.Since(idle), c.Clock.Now())
		if err := c.processReady(ctx); err != nil {
			return err
		}
		if err := c.node.Status().Fault; err != nil {
			return err
		}
	}
}

// pause waits for voterRetryInterval and answers the calls that were queued before the voter
// stopped. It returns false if ctx has ended.
func (c *Consensus) pause(ctx context.Context) bool {
	wait := c.Clock.After(voterRetryInterval)
	for {
		select {
		case <-ctx.Done():
			return false
		case f := <-c.calls:
			f() // on the discarded node, which sends nothing
		case <-wait:
			return true
		}
	}
}

// runQueuedCalls runs the queued calls, so that a single sync covers all of them.
func (c *Consensus) runQueuedCalls() {
	for range callQueueLength {
		select {
		case f := <-c.calls:
			f()
		default:
			return
		}
	}
}

func (c *Consensus) apply(entries []gwquorum.Entry) {
	now := c.Clock.Now()
	for _, e := range entries {
		c.terms.note(e.Term, now)
		var res gwstate.Result
		if e.Kind == gwquorum.EntryData {
			res = c.State.Apply(e.Index, e.Data, now)
		}
		if u, ok := res.(gwstate.Unreadable); ok {
			c.Log.Error("command of the replicated log not understood", "index", e.Index, "error", u.Err.Error())
		}
		p, ok := c.proposals[e.Index]
		if !ok {
			continue
		}
		delete(c.proposals, e.Index)
		if p.term != e.Term {
			p.done <- applied{err: errLostLeadership}
			continue
		}
		p.done <- applied{result: res}
	}
}

var errLostLeadership = &Error{Op: "propose command", Kind: Unavailable, Detail: "leadership was lost before the entry was committed"}

func (c *Consensus) answerReads(reads []gwquorum.ReadState) {
	for _, r := range reads {
		done, ok := c.reads[r.ID]
		if !ok {
			continue
		}
		delete(c.reads, r.ID)
		if r.Failed {
			done <- &Error{Op: "read index", Kind: NotLeader}
			continue
		}
		done <- nil
	}
}

func (c *Consensus) updateStatus() {
	st := c.node.Status()
	since, noManifest := c.leadingSince, c.noManifest
	if st.LeaderReady && st.Term != c.readyTerm {
		c.readyTerm, since = st.Term, c.Clock.Now()
		noManifest = c.State.Manifest().Number == 0
		c.State.Clock().RestartAll(since)
		c.Log.Info("leading the replicated log", "term", st.Term)
	}
	c.ready = st.LeaderReady
	now := c.Clock.Now()
	age := c.voterLog.observe(st, now, c.droppedMessages)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status, c.statusAt, c.uncommittedAge, c.leadingSince = st, now, age, since
	c.noManifest = noManifest
}

// Status returns the state of the voter after the last pass of Run's loop.
func (c *Consensus) Status() gwquorum.Status {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.status
}

// Running reports whether this voter takes part: it has loaded its state and its disk takes
// writes.
func (c *Consensus) Running() bool { return c.running.Load() }

// Propose commits cmd and returns the result of applying it. After an error of kind
// Unavailable, the command may or may not have been committed.
func (c *Consensus) Propose(ctx context.Context, cmd gwstate.Command) (gwstate.Result, error) {
	return c.ProposeInTerm(ctx, 0, cmd)
}

// ProposeInTerm is Propose, except that it fails with an error of kind NotLeader unless the
// entry is appended in the given term. Term 0 means any.
func (c *Consensus) ProposeInTerm(ctx context.Context, term uint64, cmd gwstate.Command) (gwstate.Result, error) {
	data, err := gwstate.Encode(cmd, c.Clock.Now())
	if err != nil {
		return nil, err
	}
	done := make(chan applied, 1)
	err = c.do(ctx, func() {
		if !c.ready || term != 0 && c.node.Status().Term != term {
			done <- applied{err: c.notLeader("propose command")}
			return
		}
		index, term, err := c.node.Propose(data)
		if err != nil {
			done <- applied{err: &Error{Op: "propose command", Kind: NotLeader, Err: err}}
			return
		}
		c.proposals[index] = proposal{term: term, done: done}
	})
	if err != nil {
		return nil, err
	}
	select {
	case a := <-done:
		if gwquorum.KindOf(a.err) == gwquorum.KindBusy && c.awaitRoom(ctx) {
			return c.ProposeInTerm(ctx, term, cmd)
		}
		return a.result, a.err
	case <-ctx.Done():
		return nil, &Error{Op: "propose command", Kind: Unavailable, Err: ctx.Err()}
	}
}

func (c *Consensus) notLeader(op string) error {
	return &Error{Op: op, Kind: NotLeader, Detail: voterName(c.node.Status().Leader)}
}

// ConfirmLeadership returns nil once a quorum has confirmed, after the start of the
// call, that this voter leads.
func (c *Consensus) ConfirmLeadership(ctx context.Context) error {
	done := make(chan error, 1)
	err := c.do(ctx, func() {
		if !c.ready {
			done <- c.notLeader("confirm leadership")
			return
		}
		c.lastReadID++
		if err := c.node.ReadIndex(c.lastReadID); err != nil {
			done <- &Error{Op: "confirm leadership", Kind: NotLeader, Err: err}
			return
		}
		c.reads[c.lastReadID] = done
	})
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &Error{Op: "confirm leadership", Kind: Unavailable, Err: ctx.Err()}
	}
}

// ChangeMembership proposes to add, promote or remove one voter or learner.
func (c *Consensus) ChangeMembership(ctx context.Context, change gwquorum.Change) error {
	done := make(chan error, 1)
	if err := c.do(ctx, func() { done <- c.node.ProposeChange(change) }); err != nil {
		return err
	}
	return <-done
}

// do queues f for the goroutine of Run and does not wait for it to run.
func (c *Consensus) do(ctx context.Context, f func()) error {
	if !c.running.Load() {
		return &Error{Op: "call voter", Kind: NotLeader}
	}
	select {
	case c.calls <- f:
		return nil
	case <-ctx.Done():
		return &Error{Op: "call voter", Kind: Unavailable, Err: ctx.Err()}
	}
}

// stop fails all pending proposals and reads.
func (c *Consensus) stop() {
	if c.running.Swap(false) {
		c.voterLog.stopped(c.node.Status(), c.Clock.Now())
	}
	c.ready = false
	for index, p := range c.proposals {
		p.done <- applied{err: &Error{Op: "propose command", Kind: Unavailable, Detail: "the voter has stopped"}}
		delete(c.proposals, index)
	}
	for id, done := range c.reads {
		done <- &Error{Op: "read index", Kind: Unavailable, Detail: "the voter has stopped"}
		delete(c.reads, id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status.LeaderReady, c.status.Role, c.status.Leader = false, gwquorum.Follower, ""
	c.uncommittedAge = 0
}
