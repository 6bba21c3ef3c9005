package gwcontrol

import (
	"context"
	"slices"
	"sync"

	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwsession"
)

// AckRecord says up to where the holder of a group's write lease may have acknowledged writes of a
// term.
type AckRecord struct {
	Group string `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Holder and Epoch identify the run of the instance that acknowledges the writes.
	Holder   string             `cbor:"3,keyasint"`
	Epoch    uint64             `cbor:"4,keyasint"`
	Position gwsession.Position `cbor:"5,keyasint"`
	// Complete means that Position also covers what earlier holders acknowledged in the term.
	Complete bool `cbor:"6,keyasint,omitempty"`
}

func (r AckRecord) sameHolder(o AckRecord) bool {
	return r.Term == o.Term && r.Holder == o.Holder && r.Epoch == o.Epoch
}

// maxAckRecords is the number of records that are kept for a group: those of the latest holders of
// its lease in one term.
const maxAckRecords = 8

// Acks holds, for an instance, up to where it has acknowledged writes, and up to where other holders
// of leases say that they may have. It is in memory only: after a restart, an instance answers that
// it knows nothing.
type Acks struct {
	self string
	held func(group string, term uint64) bool

	mu sync.Mutex
	// records holds the records by group, the latest one last.
	records map[string][]AckRecord
}

// ackRequest asks an instance for the record of a holder.
type ackRequest struct {
	Group  string `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Holder string `cbor:"3,keyasint"`
	Epoch  uint64 `cbor:"4,keyasint"`
}

// ackResponse is the answer to an ackRequest; Known is false if the instance has no such record.
type ackResponse struct {
	Known    bool               `cbor:"1,keyasint,omitempty"`
	Position gwsession.Position `cbor:"2,keyasint,omitempty"`
	Complete bool               `cbor:"3,keyasint,omitempty"`
}

// NewAcks returns the records of the instance self, without any, and registers their handlers at its
// node. held reports whether the instance holds the lease of a group at a term.
func NewAcks(node *gwpeer.Node, self string, held func(group string, term uint64) bool) *Acks {
	a := NewAckTable(self, held)
	gwpeer.Handle(node, KindStoreAck, func(_ context.Context, _ string, r AckRecord) (Empty, error) {
		a.Store(r)
		return Empty{}, nil
	})
	gwpeer.Handle(node, kindAckRecord, func(_ context.Context, _ string, r ackRequest) (ackResponse, error) {
		return withCode(a.answer(r))
	})
	return a
}

// NewAckTable is NewAcks without handlers.
func NewAckTable(self string, held func(group string, term uint64) bool) *Acks {
	return &Acks{self: self, records: make(map[string][]AckRecord), held: held}
}

// Store adds a record, or extends that of the same holder. Records of earlier terms of the group are
// dropped, and one of an earlier term is ignored.
func (a *Acks) Store(r AckRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	records := a.records[r.Group]
	if n := len(records); n > 0 && records[n-1].Term > r.Term {
		return
	}
	records = slices.DeleteFunc(records, func(o AckRecord) bool {
		switch {
		case o.Term < r.Term:
			return true
		case !o.sameHolder(r):
			return false
		}
		if !r.Position.AtLeast(o.Position) {
			r.Position = o.Position
		}
		r.Complete = r.Complete || o.Complete
		return true
	})
	if len(records) >= maxAckRecords {
		records = records[1:]
	}
	a.records[r.Group] = append(records, r)
}

// answer returns the record that is asked for. That of this instance is final only once its lease has
// ended.
func (a *Acks) answer(r ackRequest) (ackResponse, error) {
	if r.Holder == a.self && a.held(r.Group, r.Term) {
		return ackResponse{}, &Error{Op: "tell acknowledged position", Kind: Refused, Detail: "the lease of group " + r.Group + " is still held"}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := AckRecord{Term: r.Term, Holder: r.Holder, Epoch: r.Epoch}
	i := slices.IndexFunc(a.records[r.Group], wanted.sameHolder)
	if i < 0 {
		return ackResponse{}, nil
	}
	record := a.records[r.Group][i]
	return ackResponse{Known: true, Position: record.Position, Complete: record.Complete}, nil
}

// ackAnswer is what an instance says of the acknowledged position of a term.
type ackAnswer struct {
	ackResponse
	instance string
}

// askAckFunc asks an instance for a record.
type askAckFunc func(ctx context.Context, instance string, r ackRequest) (ackResponse, error)

// UseAcks makes a change of primary ask the instances that the log names up to where writes were
// acknowledged. It must be called before Run.
func (l *Leader) UseAcks(a *Acks, node *gwpeer.Node) {
	l.askAck = func(ctx context.Context, instance string, r ackRequest) (ackResponse, error) {
		if instance == l.Instance() {
			return a.answer(r)
		}
		m, ok := l.topology().Member(instance)
		if !ok {
			return ackResponse{}, &Error{Op: "ask for acknowledged position", Kind: Unavailable, Detail: instance + " is not reachable"}
		}
		return gwpeer.Call[ackRequest, ackResponse](ctx, node, m.Address, kindAckRecord, r)
	}
}

// askAckKeepers asks the instances that keep the acknowledged position of g's term. The channel is
// closed after their answers, or after fenceTimeout.
func (l *Leader) askAckKeepers(ctx context.Context, g gwstate.Group) <-chan ackAnswer {
	keepers := []string{g.Acks.Holder}
	if g.Acks.Backup != "" {
		keepers = append(keepers, g.Acks.Backup)
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	out := make(chan ackAnswer, len(keepers))
	r := ackRequest{Group: g.Name, Term: g.Term, Holder: g.Acks.Holder, Epoch: g.Acks.Epoch}
	var wg sync.WaitGroup
	for _, instance := range keepers {
		wg.Go(func() {
			if a, err := l.askAck(ctx, instance, r); err == nil {
				out <- ackAnswer{ackResponse: a, instance: instance}
			}
		})
	}
	go func() {
		wg.Wait()
		cancel()
		close(out)
	}()
	return out
}
