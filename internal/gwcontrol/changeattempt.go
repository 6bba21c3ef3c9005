package gwcontrol

import (
	"context"

	"gentianward.example/gentianward/internal/gwstate"
)

// beginAttempt returns the group in the attempt to repeat, once a quorum has confirmed that this
// voter still leads, or in a new one if there is none or another has replaced it. The error is
// of kind Refused if the change has ended.
func (l *Leader) beginAttempt(ctx context.Context, lead Leadership, repeat gwstate.Group, begin gwstate.BeginChange) (gwstate.Group, error) {
	const op = "begin change of primary"
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	if repeat.Attempt != 0 {
		if err := l.consensus.ConfirmLeadership(ctx); err != nil {
			return gwstate.Group{}, err
		}
		if g, ok := l.state.Group(begin.Group); ok && g.Phase == gwstate.Changing && g.Attempt == repeat.Attempt {
			return g, nil
		}
	}
	res, err := l.consensus.ProposeInTerm(ctx, lead.Term, begin)
	if err != nil {
		return gwstate.Group{}, err
	}
	gr, ok := res.(gwstate.GroupResult)
	switch {
	case !ok:
		return gwstate.Group{}, &Error{Op: op, Kind: Unavailable}
	case gr.Refusal != gwstate.Accepted:
		return gwstate.Group{}, &Error{Op: op, Kind: Refused, Detail: gr.Refusal.String()}
	default:
		return gr.Group, nil
	}
}
