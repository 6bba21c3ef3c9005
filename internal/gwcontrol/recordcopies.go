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
	// Keepers says who keeps the acknowledged position of the term; zero if nobody does.
	Keepers AckKeepersRequest `cbor:"4,keyasint,omitzero"`
}

// AckKeepersRequest is the wanted record of the keepers of an acknowledged position.
type AckKeepersRequest struct {
	Holder string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Backup string `cbor:"3,keyasint,omitempty"`
	// Grant is the sequence of the lease that the holder has, 0 if it has none yet.
	Grant uint64 `cbor:"4,keyasint,omitempty"`
	// Covered means that the holder has read, under Grant, a position that covers what earlier holders
	// acknowledged in the term.
	Covered bool `cbor:"5,keyasint,omitempty"`
	// Choice counts the backups that the holder has chosen.
	Choice uint64 `cbor:"6,keyasint,omitempty"`
}

// RecordCopiesResponse is the answer to a RecordCopiesRequest.
type RecordCopiesResponse struct {
	// OtherHolder means that the keepers are not recorded: the log names another holder, and the
	// request no lease under which the owner has read what that one may have acknowledged.
	OtherHolder bool `cbor:"1,keyasint,omitempty"`
}

const opRecordCopies = "record copies"

// UseDirectory lets the leader learn of servers from the owners of primaries, and tell servers that
// have ended from those that it does not know yet. It must be called before Run.
func (l *Leader) UseDirectory(d *Directory) { l.directory = d }

// RecordCopies adds servers to the recorded copies of a group, and records who keeps its acknowledged
// position. Without an error, the log has them.
func (l *Leader) RecordCopies(ctx context.Context, r RecordCopiesRequest) (RecordCopiesResponse, error) {
	unlock, err := l.copies.lock(ctx, r.Group)
	if err != nil {
		return RecordCopiesResponse{}, &Error{Op: opRecordCopies, Kind: Unavailable, Err: err}
	}
	defer unlock()
	lead, leading := l.consensus.Leadership()
	if !leading {
		return RecordCopiesResponse{}, &Error{Op: opRecordCopies, Kind: NotLeader, Detail: voterName(l.consensus.Status().Leader)}
	}
	g, known := l.state.Group(r.Group)
	if !known || g.Term != r.Term || g.Phase == gwstate.Changing {
		return RecordCopiesResponse{}, &Error{Op: opRecordCopies, Kind: Refused, Detail: "group " + r.Group + " does not serve at this term"}
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
	if len(next) > len(g.Copies) {
		if err := l.setCopies(ctx, lead, g, next); err != nil {
			return RecordCopiesResponse{}, err
		}
	}
	return l.recordAckKeepers(ctx, lead, g, r.Keepers)
}

// recordAckKeepers records who keeps the acknowledged position of g's term, unless the log says so
// already. No other holder can have been recorded since the lease that the request names, as that is
// still held; a leader that has not applied its grant yet may not know what was recorded before.
func (l *Leader) recordAckKeepers(ctx context.Context, lead Leadership, g gwstate.Group, k AckKeepersRequest) (RecordCopiesResponse, error) {
	if k.Holder == "" {
		return RecordCopiesResponse{}, nil
	}
	if l.state.Index() < k.Grant {
		return RecordCopiesResponse{}, &Error{Op: opRecordCopies, Kind: Unavailable, Detail: "the grant of the lease is not applied yet"}
	}
	cmd := gwstate.SetAckKeepers{Group: g.Name, Term: g.Term, Holder: k.Holder, Epoch: k.Epoch, Backup: k.Backup, Choice: k.Choice}
	if k.Covered {
		cmd.Grant = k.Grant
	}
	if g.Acks.Recorded(cmd) {
		return RecordCopiesResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	res, err := l.consensus.ProposeInTerm(ctx, lead.Term, cmd)
	if err != nil {
		return RecordCopiesResponse{}, err
	}
	switch gr, _ := res.(gwstate.GroupResult); gr.Refusal {
	case gwstate.Accepted:
		return RecordCopiesResponse{}, nil
	case gwstate.LeaseNotHeld:
		return RecordCopiesResponse{OtherHolder: true}, nil
	default:
		return RecordCopiesResponse{}, &Error{Op: opRecordCopies, Kind: Refused, Detail: gr.Refusal.String()}
	}
}

// RecordCopies asks the leader to record servers of a group that may confirm writes of a term, and who
// keeps the acknowledged position.
func (c *Client) RecordCopies(ctx context.Context, r RecordCopiesRequest) (RecordCopiesResponse, error) {
	res, err := callLeader(ctx, c, kindRecordCopies, r, func(ctx context.Context, r RecordCopiesRequest) (RecordCopiesResponse, error) {
		return c.local.RecordCopies(ctx, r)
	})
	if hasNoHandler(err) {
		return res, nil // a voter of an earlier release, whose leader follows the directory
	}
	return res, err
}
