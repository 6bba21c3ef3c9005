package gwlimit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// lossyServer simulates reads at a server with two slots that loses answers.
type lossyServer struct {
	rng *rand.Rand
	// lost is the share of answers that are lost, slow the share of requests that take
	// ten times as long as usual.
	lost, slow float64
	// detectLoss applies the SlotTimeout and the LossDetector.
	detectLoss  bool
	slotTimeout SlotTimeout

	queue    *FairQueue
	detector LossDetector
	events   simEvents
	answered int
	// falseLosses counts the requests that counted as lost but were not.
	falseLosses int
}

// simRequest is a request at the server; at is when the owner learns of its end.
type simRequest struct {
	at        time.Time
	sentAt    time.Time
	item      *Item
	tracked   *SentRequest
	answered  bool
	ended     bool
	slotFreed bool
	// timedOut is set only in the event of a slot timeout: the request that timed out.
	timedOut *simRequest
}

type simEvents []*simRequest

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(*simRequest)) }
func (e *simEvents) Pop() any {
	old := *e
	f := old[len(old)-1]
	*e = old[:len(old)-1]
	return f
}

const (
	// requestTimeout is the time after which a request whose answer was lost is given up.
	requestTimeout = 800 * time.Millisecond
	lossyDuration  = 20 * time.Second
)

// start sends waiting requests while slots are free.
func (s *lossyServer) start(now time.Time) {
	for it := s.queue.Pop(now); it != nil; it = s.queue.Pop(now) {
		took := time.Duration(float64(loadServiceTime) * (0.5 + s.rng.Float64()))
		if s.rng.Float64() < s.slow {
			took *= 10
		}
		f := &simRequest{at: now.Add(took), sentAt: now, item: it, answered: s.rng.Float64() >= s.lost}
		if !f.answered {
			f.at = now.Add(requestTimeout)
		}
		f.tracked = s.detector.Sent(f)
		heap.Push(&s.events, f)
		if s.detectLoss {
			heap.Push(&s.events, &simRequest{at: now.Add(s.slotTimeout.Current()), timedOut: f})
		}
	}
}

// free frees the slot of a request once.
func (s *lossyServer) free(f *simRequest) {
	if !f.slotFreed {
		f.slotFreed = true
		s.queue.Done(f.item)
	}
}

// end ends a request and the requests that count as lost because of it.
func (s *lossyServer) end(f *simRequest) {
	f.ended = true
	s.free(f)
	for _, g := range s.detector.Ended(f.tracked, f.answered) {
		if lost := g.Ref.(*simRequest); s.detectLoss && !lost.ended {
			if lost.answered {
				s.falseLosses++
			}
			lost.answered = false
			s.end(lost)
		}
	}
}

// run keeps the server busy for lossyDuration and returns the answered requests a second.
func (s *lossyServer) run() float64 {
	s.queue = NewFairQueue(loadSlots)
	for now := testNow; now.Before(testNow.Add(lossyDuration)); {
		for waiting, _ := s.queue.Len(); waiting < 4; waiting++ {
			_ = s.queue.Push(&Item{Class: "c"}, now)
		}
		s.start(now)
		f := heap.Pop(&s.events).(*simRequest)
		now = f.at
		if f.timedOut != nil {
			s.free(f.timedOut)
			continue
		}
		if f.ended {
			continue
		}
		if f.answered {
			s.answered++
			s.slotTimeout.Record(now.Sub(f.sentAt))
		}
		s.end(f)
	}
	return float64(s.answered) / lossyDuration.Seconds()
}

// Guards against slots that wait for lost answers: a primary that lost one answer in five
// served a fifth of its capacity meanwhile.
func TestLossDetectorKeepsSlotsBusy(t *testing.T) {
	for seed := range uint64(5) {
		server := func(lost, slow float64, detectLoss bool) *lossyServer {
			return &lossyServer{rng: rand.New(rand.NewPCG(seed, 7)), lost: lost, slow: slow, detectLoss: detectLoss}
		}
		lossless := server(0, 0, true)
		maxRate := lossless.run()
		assert.Greater(t, maxRate, 0.95*capacity)
		assert.Zero(t, lossless.falseLosses)

		without := server(0.2, 0, false).run()
		assert.Less(t, without, 0.2*maxRate, "the load pattern without loss detection")
		// A lost answer costs a slot for a slot timeout, three service times: of 100 requests
		// with 20 lost, 80 are answered in the time of 140. A tenth is left to chance.
		assert.Greater(t, server(0.2, 0, true).run(), 0.9*80/140*maxRate)
		assert.Greater(t, server(0.05, 0, true).run(), 0.9*95/110*maxRate)

		slow := server(0, 0.01, true)
		_ = slow.run()
		assert.Less(t, float64(slow.falseLosses), 0.005*float64(slow.answered), "slow requests that counted as lost")
	}
}

// Guards against a request that counts as lost because requests sent before it end.
func TestLossDetectorCountsOnlyLaterRequests(t *testing.T) {
	var d LossDetector
	var earlier []*SentRequest
	for range 2 * LossThreshold {
		earlier = append(earlier, d.Sent(nil))
	}
	f := d.Sent("watched")
	for _, e := range earlier {
		assert.Empty(t, d.Ended(e, true))
	}
	for i := range LossThreshold {
		later := d.Sent(nil)
		assert.Empty(t, d.Ended(d.Sent(nil), false), "a later request that is given up does not count")
		if lost := d.Ended(later, true); i+1 == LossThreshold {
			assert.Equal(t, []*SentRequest{f}, lost)
		} else {
			assert.Empty(t, lost)
		}
	}
	assert.Empty(t, d.Ended(f, false))
	assert.Empty(t, d.unanswered)
}
