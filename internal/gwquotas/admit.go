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
}

// admitAnswer answers an admitRequest.
type admitAnswer struct {
	Outcome gwquota.Outcome `cbor:"1,keyasint"`
	// WaitMillis is the time until there is capacity, in milliseconds.
	WaitMillis uint32 `cbor:"2,keyasint,omitempty"`
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
		answer, ok := s.ask(ctx, m, admitRequest{Customer: customer, Overflow: overflow})
		if !ok && i == 0 && next.Instance != "" {
			answer, ok = s.ask(ctx, next, admitRequest{Customer: customer})
		}
		if ctx.Err() != nil && !ok {
			return false, over
		}
		if ok && answer.Outcome == gwquota.Granted {
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
		d := s.admitHere(r)
		// A process that stood still in between may have been granted an operation of long ago.
		return answerOf(d), s.Clock.Since(began) <= answerTimeout
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

// Return implements gwfilter.Quota. The agent of the data centre takes the operation back, also if
// another one admitted it: the sum of what agents may admit is the same.
func (s *Service) Return(customer string) {
	if _, limited := s.currentLimits().byCustomer[customer]; !limited {
		return
	}
	order := s.currentAgents().of(customer).near
	if len(order) == 0 {
		return
	}
	if order[0].Instance == s.Topology().Self.Instance {
		s.returnHere(customer)
		return
	}
	if s.failures.failed(order[0].Instance, s.Clock.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		// A lost return counts as spent.
		_, _ = gwpeer.Call[admitRequest, gwcontrol.Empty](ctx, s.Node, order[0].Address, gwcontrol.KindQuotaReturn, admitRequest{Customer: customer})
	}()
}

// admitHere decides about an operation as the agent.
func (s *Service) admitHere(r admitRequest) gwquota.Decision {
	s.currentLimits()
	s.mu.Lock()
	d := gwquota.Decision{Outcome: gwquota.NoShare}
	if s.agent != nil && !s.leaving.Load() {
		d = s.agent.Admit(s.Clock.Now(), r.Customer, r.Overflow)
	}
	s.mu.Unlock()
	s.Metrics.QuotaDecision(r.Customer, d.Outcome.String())
	return d
}

// returnHere takes an operation back as the agent.
func (s *Service) returnHere(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.agent != nil && s.agent.Return(s.Clock.Now(), customer, gwquota.ReturnLimit) {
		s.Metrics.QuotaDecision(customer, "returned")
	}
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

// maxExhausted bounds how long such an agent is not asked after it had no capacity: callers above their limit must not double the calls, and a share may grow.
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
