package gwlimit

// LostAfter is the number of requests that were sent later and answered earlier after
// which an answer is taken for lost: half more than the 16 that pass by a request of
// ten times the average at a server of two slots, one of which it holds for a Hold.
const LossThreshold = 24

// Flight is a request that was sent to a server and is not answered.
type SentRequest struct {
	// Ref is the caller's reference to the request.
	Ref any

	overtaken int
}

// Overtaking counts, for each unanswered request of a server, the requests that were
// sent later and have been answered. An answer that was lost shows in it within a
// few service times, without a time limit that would have to fit slow servers too:
// at those, no request is overtaken.
//
// Load pattern: a server that loses one answer in five. While each of them kept its
// connection for 800 ms, the server had none left for the others.
//
// It is not safe for concurrent use.
type LossDetector struct {
	unanswered []*SentRequest // in the order of sending
}

// Send records a request.
func (d *LossDetector) Sent(ref any) *SentRequest {
	f := &SentRequest{Ref: ref}
	d.unanswered = append(d.unanswered, f)
	return f
}

// End records that a request was answered or given up. It returns the requests that
// are now taken for lost because this one was answered before them.
func (d *LossDetector) Ended(f *SentRequest, answered bool) []*SentRequest {
	var lost []*SentRequest
	kept := d.unanswered[:0]
	earlier := true
	for _, g := range d.unanswered {
		if g == f {
			earlier = false
			continue
		}
		kept = append(kept, g)
		if answered && earlier {
			g.overtaken++
			if g.overtaken == LossThreshold {
				lost = append(lost, g)
			}
		}
	}
	clear(d.unanswered[len(kept):])
	d.unanswered = kept
	return lost
}
