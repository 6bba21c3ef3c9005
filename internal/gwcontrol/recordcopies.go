package gwcontrol

import (
	"context"
	"slices"

	"gentianward.example/gentianward/internal/gwstate"
)

// RecordCopiesRequest asks the leader to record servers of a group that may confirm writes of a
// term. Until it has answered, the owner of the primary acknowledges no write of the term.
type RecordCopiesRequest struct {
	Group   string        `cbor:"1,keyasint"`
	Term    uint64        `cbor:"2,keyasint"`
	Servers []ServerFacts `cbor:"3,keyasint"`
}

const opRecordCopies = "record copies"

// UseDirectory lets the leader learn of servers from the owners of primaries, and tell servers that
// have ended from those that it does not know yet. It must be called before Run.
func (l *Leader) UseDirectory(d *Directory) { l.directory = d }

// RecordCopies adds servers to the recorded copies of a group. Without an error, the log has them.
func (l *Leader) RecordCopies(ctx context.Context, r RecordCopiesRequest) (Empty, error) {
	unlock, err := l.copies.lock(ctx, r.Group)
	if err != nil {
		return Empty{}, &Error{Op: opRecordCopies, Kind: Unavailable, Err: err}
	}
	defer unlock()
	lead, leading := l.consensus.Leadership()
	if !leading {
		return Empty{}, &Error{Op: opRecordCopies, Kind: NotLeader, Detail: voterName(l.consensus.Status().Leader)}
	}
	g, known := l.state.Group(r.Group)
	if !known || g.Term != r.Term || g.Phase == gwstate.Changing {
		return Empty{}, &Error{Op: opRecordCopies, Kind: Refused, Detail: "group " + r.Group + " does not serve at this term"}
	}
	servers := Usable(r.Servers, func(ServerFacts, error) {})
	if l.directory != nil {
		l.directory.Merge(slices.Clone(servers)) // else the upkeep would take them for servers that have ended
	}
	next := slices.Clone(g.Copies)
	for _, f := range servers {
		if !slices.ContainsFunc(next, copyRef(f).SameRun) {
			next = append(next, copyRef(f))
		}
	}
	if len(next) == len(g.Copies) {
		return Empty{}, nil
	}
	return Empty{}, l.setCopies(ctx, lead, g, next)
}

// RecordCopies asks the leader to record servers of a group that may confirm writes of a term.
func (c *Client) RecordCopies(ctx context.Context, r RecordCopiesRequest) error {
	_, err := callLeader(ctx, c, kindRecordCopies, r, func(ctx context.Context, r RecordCopiesRequest) (Empty, error) {
		return c.local.RecordCopies(ctx, r)
	})
	if hasNoHandler(err) {
		return nil // a voter of an earlier release, whose leader follows the directory
	}
	return err
}
