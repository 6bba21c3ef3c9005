package gwquotas

import (
	"context"
	"maps"
	"sync"
	"time"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/pkg/gwmember"
	"gentianward.example/gentianward/pkg/gwquota"
)

const (
	// answerTimeout is how long an answer of an agent may take. A later one is discarded, and its
	// operation counts as spent.
	answerTimeout = 300 * time.Millisecond
	// maxAskTime bounds the time for all agents together, so that a refusal is soon: two that do
	// not answer, and a round trip to another region.
	maxAskTime = 700 * time.Millisecond
	// failureTime is how long an agent that did not answer is not asked. Membership notices a
	// dead instance after about 2 s.
	failureTime = time.Second
	// uncheckedWait is when a caller is told to return if no agent that can be reached holds a
	// share, and how long an operation waits for one at most. The leader assigns shares in about
	// this time. uncheckedRetry is the time between two checks.
	uncheckedWait  = time.Second
	uncheckedRetry = 50 * time.Millisecond
)

// admitRequest asks for one operation of a customer, or takes one back.
type admitRequest struct {
	Customer string `cbor:"1,keyasint"`
	// Overflow means that another agent, whose demand it is, has no capacity.
	Overflow bool `cbor:"2,keyasint,omitempty"`
	// At is the time of the admission to take back, from the agent's answer.
	At uint64 `cbor:"3,keyasint,omitempty"`
}

// admitAnswer answers an admitRequest.
type admitAnswer struct {
	Outcome gwquota.Outcome `cbor:"1,keyasint"`
	// WaitMillis is the time until there is capacity, in milliseconds.
	WaitMillis uint32 `cbor:"2,keyasint,omitempty"`
	// At is when the agent admitted the operation, in milliseconds since the agent's run began. It
	// comes back with a return, which may be late by any time.
	At uint64 `cbor:"3,keyasint,omitempty"`
}

func answerOf(d gwquota.Decision) admitAnswer {
	return admitAnswer{Outcome: d.Outcome, WaitMillis: uint32((d.Wait + time.Millisecond - 1) / time.Millisecond)}
}

// Admit implements gwfilter.Quota. While no agent holds a share, as after a loss of power
// everywhere, it waits for part of the time to the deadline of ctx: callers use up their attempts
// within the second in which the leader assigns shares.
func (s *Service) Admit(ctx context.Context, customer string) error {
	if _, limited := s.currentLimits().byCustomer[customer]; !limited {
		return nil
	}
	until := s.Clock.Now()
	if deadline, ok := ctx.Deadline(); ok {
		until = until.Add(min(uncheckedWait, time.Until(deadline)/2))
	}
	for {
		err := s.askAgents(ctx, customer)
		switch {
		case err == nil:
			return nil
		case !err.Unchecked || ctx.Err() != nil || !s.Clock.Now().Add(uncheckedRetry).Before(until):
			return err
		}
		<-s.Clock.After(uncheckedRetry)
	}
}

// askAgents asks the agents in turn for one operation.
//
// An agent whose share is used up does not decide alone: its share follows the demand only after
// a second, and the demand of a small customer is mostly noise. The agents of the other data
// centres of the region are asked before the operation is refused; those of other regions only if
// no share was found.
func (s *Service) askAgents(ctx context.Context, customer string) *gwfilter.QuotaError {
	ctx, cancel := context.WithTimeout(ctx, maxAskTime)
	defer cancel()
	order := s.currentAgents().of(customer)
	granted, over := s.askEach(ctx, customer, order.near, order.next)
	if !granted && over == nil && ctx.Err() == nil {
		granted, over = s.askEach(ctx, customer, order.far, gwmember.Member{})
	}
	switch {
	case granted:
		return nil
	case over != nil:
		return over
	default:
		return &gwfilter.QuotaError{RetryAfter: uncheckedWait, Unchecked: true}
	}
}

// askEach asks agents until one grants the operation, and next if the first does not answer. over
// is set if the share of one is used up.
func (s *Service) askEach(ctx context.Context, customer string, agents []gwmember.Member, next gwmember.Member) (granted bool, over *gwfilter.QuotaError) {
	overflow := false
	for i, m := range agents {
		if overflow && s.exhausted.has(m.Instance, customer, s.Clock.Now()) {
			continue
		}
		asked := m
		answer, ok := s.ask(ctx, m, admitRequest{Customer: customer, Overflow: overflow})
		if !ok && i == 0 && next.Instance != "" {
			asked = next
			answer, ok = s.ask(ctx, next, admitRequest{Customer: customer})
		}
		if ctx.Err() != nil && !ok {
			return false, over
		}
		if ok && answer.Outcome == gwquota.Granted {
			s.grants.add(customer, grant{agent: asked, at: answer.At, taken: s.Clock.Now()})
			return true, nil
		}
		if ok && answer.Outcome == gwquota.Over {
			over = sooner(over, answer)
			if overflow {
				s.exhausted.note(m.Instance, customer, s.Clock.Now(), over.RetryAfter)
			}
		}
		overflow = overflow || ok
	}
	return false, over
}

// sooner returns the refusal with the earlier time to return at.
func sooner(over *gwfilter.QuotaError, answer admitAnswer) *gwfilter.QuotaError {
	wait := time.Duration(answer.WaitMillis) * time.Millisecond
	if over != nil && over.RetryAfter <= wait {
		return over
	}
	return &gwfilter.QuotaError{RetryAfter: wait}
}

// ask asks an agent for one operation. It returns false without an answer in time.
func (s *Service) ask(ctx context.Context, m gwmember.Member, r admitRequest) (admitAnswer, bool) {
	began := s.Clock.Now()
	if m.Instance == s.Topology().Self.Instance {
		answer := s.admitHere(r)
		// A process that stood still in between may have been granted an operation of long ago.
		return answer, s.Clock.Since(began) <= answerTimeout
	}
	if s.failures.failed(m.Instance, began) {
		return admitAnswer{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answer, err := gwpeer.Call[admitRequest, admitAnswer](callCtx, s.Node, m.Address, gwcontrol.KindQuotaAdmit, r)
	if err == nil && s.Clock.Since(began) <= answerTimeout {
		return answer, true
	}
	if ctx.Err() == nil { // not the caller's end
		s.failures.note(m.Instance, s.Clock.Now().Add(failureTime))
		s.Metrics.QuotaDecision(r.Customer, "noAnswer")
	}
	return admitAnswer{}, false
}

// Return implements gwfilter.Quota. The agent that admitted an operation of the customer last takes
// it back: it knows how old that admission is, however long the message takes.
func (s *Service) Return(customer string) {
	g, ok := s.grants.takeLatest(customer, s.Clock.Now())
	if !ok {
		return
	}
	r := admitRequest{Customer: customer, At: g.at}
	if g.agent.Instance == s.Topology().Self.Instance {
		s.returnHere(r)
		return
	}
	if s.failures.failed(g.agent.Instance, s.Clock.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		// A lost return counts as spent.
		_, _ = gwpeer.Call[admitRequest, gwcontrol.Empty](ctx, s.Node, g.agent.Address, gwcontrol.KindQuotaReturn, r)
	}()
}

// admitHere decides about an operation as the agent.
func (s *Service) admitHere(r admitRequest) admitAnswer {
	s.currentLimits()
	s.mu.Lock()
	now := s.Clock.Now()
	d := gwquota.Decision{Outcome: gwquota.NoShare}
	if s.agent != nil && !s.leaving.Load() {
		d = s.agent.Admit(now, r.Customer, r.Overflow)
	}
	s.mu.Unlock()
	s.Metrics.QuotaDecision(r.Customer, d.Outcome.String())
	a := answerOf(d)
	if d.Outcome == gwquota.Granted {
		a.At = uint64(now.Sub(s.began).Milliseconds())
	}
	return a
}

// returnHere takes an operation back as the agent.
func (s *Service) returnHere(r admitRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	age := now.Sub(s.began.Add(time.Duration(r.At) * time.Millisecond))
	if s.agent != nil && age >= 0 && s.agent.Return(now, r.Customer, age) {
		s.Metrics.QuotaDecision(r.Customer, "returned")
	}
}

// grant is an admission of an agent.
type grant struct {
	agent gwmember.Member
	at    uint64    // see admitAnswer.At
	taken time.Time // when the answer arrived
}

// grants holds the latest admissions of customers, which may be returned.
type grants struct {
	mu         sync.Mutex
	byCustomer map[string][]grant
}

// maxGrants bounds the admissions that are kept for a customer.
const maxGrants = 256

func (g *grants) add(customer string, n grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byCustomer == nil {
		g.byCustomer = make(map[string][]grant)
	}
	list := g.byCustomer[customer]
	if len(list) >= maxGrants {
		list = append(list[:0], list[maxGrants/2:]...)
	}
	g.byCustomer[customer] = append(list, n)
}

// takeLatest removes and returns the latest admission that may still be returned. All admissions
// of a customer are alike.
func (g *grants) takeLatest(customer string, now time.Time) (grant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.byCustomer[customer]
	if len(list) == 0 || now.Sub(list[len(list)-1].taken) > gwquota.ReturnLimit {
		delete(g.byCustomer, customer)
		return grant{}, false
	}
	n := list[len(list)-1]
	g.byCustomer[customer] = list[:len(list)-1]
	return n, true
}

// failures holds the instances that did not answer.
type failures struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (f *failures) failed(instance string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.until[instance])
}

func (f *failures) note(instance string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, t := range f.until {
		if until.Sub(t) > 2*failureTime {
			delete(f.until, name)
		}
	}
	f.until[instance] = until
}

// maxExhausted bounds how long such an agent is not asked after it had no capacity: callers above
// their limit must not double the calls, and a share may grow.
const maxExhausted = 100 * time.Millisecond

// exhausted holds agents that had no capacity for a customer whose demand is not theirs.
type exhausted struct {
	mu      sync.Mutex
	until   map[exhaustedKey]time.Time
	sweptAt time.Time
}

type exhaustedKey struct{ instance, customer string }

func (e *exhausted) has(instance, customer string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.until[exhaustedKey{instance, customer}])
}

func (e *exhausted) note(instance, customer string, now time.Time, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.sweptAt) > maxExhausted {
		e.sweptAt = now
		maps.DeleteFunc(e.until, func(_ exhaustedKey, until time.Time) bool { return !now.Before(until) })
	}
	if e.until == nil {
		e.until = make(map[exhaustedKey]time.Time)
	}
	e.until[exhaustedKey{instance, customer}] = now.Add(min(wait, maxExhausted))
}
