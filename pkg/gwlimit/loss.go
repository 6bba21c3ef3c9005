package gwlimit

// LossThreshold is the number of requests sent later and answered earlier at which an
// answer counts as lost. It is one and a half times the 16 requests that overtake a
// request of ten times the average duration at a server with two slots, where that
// request occupies one slot until its SlotTimeout.
const LossThreshold = 24

// SentRequest is a request that was sent to a server and has not been answered.
type SentRequest struct {
	// Ref is the argument of Sent.
	Ref any

	overtaken int // requests sent later and answered
}

// LossDetector detects lost answers of one server. For each unanswered request it counts
// the requests that were sent later and have been answered, as the packet threshold of
// a transport protocol does. It finds a lost answer within a few service times and needs
// no timeout that also fits slow servers: at a slow server no request is overtaken.
//
// Load pattern: a server loses one answer in five. When each lost answer occupies its
// connection for 800 ms, the server has no connection left for other requests.
//
// It is not safe for concurrent use.
type LossDetector struct {
	unanswered []*SentRequest // in the order in which they were sent
}

// Sent records that a request was sent; ref becomes its Ref.
func (d *LossDetector) Sent(ref any) *SentRequest {
	f := &SentRequest{Ref: ref}
	d.unanswered = append(d.unanswered, f)
	return f
}

// Ended records that a request was answered or given up. It returns the earlier requests
// whose answers now count as lost because this one was answered before them.
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
