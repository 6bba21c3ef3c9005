package gwlease

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultDuration = 2 * time.Second
	DefaultDrift    = 0.01
)

// Config is shared by holders and granters, which must agree on it.
type Config struct {
	// Duration of a lease, default DefaultDuration.
	Duration time.Duration
	// Drift is the greatest rate error of any clock as a fraction, default
	// DefaultDrift. A negative value means perfect clocks.
	Drift float64
}

// withDefaults replaces zero values.
func (c Config) withDefaults() Config {
	if c.Duration <= 0 {
		c.Duration = DefaultDuration
	}
	if c.Drift == 0 {
		c.Drift = DefaultDrift
	}
	c.Drift = max(c.Drift, 0)
	return c
}

// held is how long a holder may rely on a lease.
func (c Config) holderDuration() time.Duration {
	return time.Duration(float64(c.Duration) * (1 - c.Drift))
}

// blocked is how long a granter keeps a lease from others.
func (c Config) granterDuration() time.Duration {
	return time.Duration(float64(c.Duration)*(1+c.Drift)) + 1
}

const (
	renewFraction  = 3  // renew at a third of the duration: two more attempts fit into the lease
	resendFraction = 6  // a request without an answer is repeated after a sixth
	retryFraction  = 12 // a refused or failed request is repeated after a twelfth
)

// Holder keeps the write leases of one instance. It is not safe for concurrent
// use.
type Holder struct {
	cfg      Config
	instance string
	epoch    uint64
	sequence uint64
	groups   map[string]*wantedLease
	sent     map[uint64]time.Time
	next     time.Time
}

// holding is the state of one wanted group.
type wantedLease struct {
	term uint64
	// first is the sequence of the first request that counts for this term.
	firstSequence uint64
	until         time.Time
	refusal       Refusal
}

// NewHolder returns a holder without leases. The epoch must differ from that
// of every earlier run of the same instance.
func NewHolder(instance string, epoch uint64, cfg Config) *Holder {
	return &Holder{
		cfg:      cfg.withDefaults(),
		instance: instance,
		epoch:    epoch,
		groups:   make(map[string]*wantedLease),
		sent:     make(map[uint64]time.Time),
	}
}

// Want adds a group at a term to the leases to obtain and keep. A newer term
// replaces an older one, whose lease ends at once; an older term is ignored.
func (h *Holder) Want(group string, term uint64) {
	if old, ok := h.groups[group]; ok && old.term >= term {
		return
	}
	h.groups[group] = &wantedLease{term: term, firstSequence: h.sequence + 1}
	h.next = time.Time{}
}

// Return stops the use of leases at once and returns the message that frees
// them at the granter. It returns false if none of the groups is wanted.
func (h *Holder) Return(groups ...string) (Return, bool) {
	var terms []GroupTerm
	for _, g := range groups {
		if held, ok := h.groups[g]; ok {
			terms = append(terms, GroupTerm{Group: g, Term: held.term})
			delete(h.groups, g)
		}
	}
	if len(terms) == 0 {
		return Return{}, false
	}
	h.sequence++
	return Return{Holder: h.instance, Epoch: h.epoch, Sequence: h.sequence, Groups: terms}, true
}

// ReturnAll returns every lease.
func (h *Holder) ReturnAll() (Return, bool) {
	return h.Return(h.Groups()...)
}

// Groups returns the names of the wanted groups in order.
func (h *Holder) Groups() []string {
	names := make([]string, 0, len(h.groups))
	for g := range h.groups {
		names = append(names, g)
	}
	slices.Sort(names)
	return names
}

// Next returns the time of the next request, which may be past, and false if
// no group is wanted.
func (h *Holder) Next() (time.Time, bool) {
	return h.next, len(h.groups) > 0
}

// Request returns the next request if it is due. The caller sends it at once.
func (h *Holder) Request(now time.Time) (Request, bool) {
	if len(h.groups) == 0 || now.Before(h.next) {
		return Request{}, false
	}
	h.dropStaleRequests(now)
	h.sequence++
	h.sent[h.sequence] = now
	h.next = now.Add(h.cfg.Duration / resendFraction)
	req := Request{
		Holder:   h.instance,
		Epoch:    h.epoch,
		Sequence: h.sequence,
		Groups:   make([]GroupTerm, 0, len(h.groups)),
	}
	for g, held := range h.groups {
		req.Groups = append(req.Groups, GroupTerm{Group: g, Term: held.term})
	}
	slices.SortFunc(req.Groups, func(a, b GroupTerm) int { return cmp.Compare(a.Group, b.Group) })
	return req, true
}

// forget drops requests whose answers could not extend a lease any more.
func (h *Holder) dropStaleRequests(now time.Time) {
	for seq, at := range h.sent {
		if now.Sub(at) >= h.cfg.holderDuration() {
			delete(h.sent, seq)
		}
	}
}

// Answer records the granter's answer. Late, repeated and foreign answers are
// harmless: a lease counts from the time its own request was sent.
func (h *Holder) Answer(a Answer, now time.Time) {
	at, ok := h.sent[a.Sequence]
	if !ok || a.Epoch != h.epoch {
		return
	}
	refused := make(map[string]Refusal, len(a.Refused))
	for _, r := range a.Refused {
		refused[r.Group] = r
	}
	until := at.Add(h.cfg.holderDuration())
	failed := false
	for g, held := range h.groups {
		if held.firstSequence > a.Sequence {
			continue
		}
		if r, ok := refused[g]; ok {
			held.refusal = r
			failed = true
			continue
		}
		held.refusal = Refusal{}
		if until.After(held.until) {
			held.until = until
		}
	}
	if a.Sequence != h.sequence {
		return
	}
	if failed {
		h.next = now.Add(h.cfg.Duration / retryFraction)
		return
	}
	h.next = at.Add(h.cfg.Duration / renewFraction)
}

// Failed records that a request could not be delivered.
func (h *Holder) Failed(sequence uint64, now time.Time) {
	if sequence != h.sequence {
		return
	}
	if retry := now.Add(h.cfg.Duration / retryFraction); retry.Before(h.next) {
		h.next = retry
	}
}

// Valid reports whether the holder holds the lease of a group at a term.
func (h *Holder) Valid(group string, term uint64, now time.Time) bool {
	held, ok := h.groups[group]
	return ok && held.term == term && now.Before(held.until)
}

// Remaining returns how long the lease of a group remains valid, zero if it is
// not held.
func (h *Holder) Remaining(group string, now time.Time) time.Duration {
	held, ok := h.groups[group]
	if !ok {
		return 0
	}
	return max(held.until.Sub(now), 0)
}

// Refusal returns why the last request for a group was refused, and false if
// it was not.
func (h *Holder) Refusal(group string) (Refusal, bool) {
	held, ok := h.groups[group]
	if !ok || held.refusal.Reason == 0 {
		return Refusal{}, false
	}
	return held.refusal, true
}
