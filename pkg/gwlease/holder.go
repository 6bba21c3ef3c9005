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

// Config is the configuration of holders and granters; it must be the same for all.
type Config struct {
	// Duration is the nominal duration of a lease; 0 means DefaultDuration.
	Duration time.Duration
	// Drift is the greatest rate error of any clock, as a fraction; 0 means DefaultDrift
	// and a negative value means perfect clocks.
	Drift float64
}

// withDefaults returns c with defaults in place of zero values.
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

// holderDuration returns for how long a holder may rely on a lease.
func (c Config) holderDuration() time.Duration {
	return time.Duration(float64(c.Duration) * (1 - c.Drift))
}

// granterDuration returns for how long a granter refuses a granted lease to others.
func (c Config) granterDuration() time.Duration {
	return time.Duration(float64(c.Duration)*(1+c.Drift)) + 1
}

const (
	renewDivisor  = 3  // renewal after a third of the duration leaves time for two more attempts
	resendDivisor = 6  // an unanswered request is repeated after a sixth of the duration
	retryDivisor  = 12 // a refused or failed request is repeated after a twelfth of the duration
)

// Holder obtains and renews the write leases of one instance. It is not safe for
// concurrent use.
type Holder struct {
	cfg      Config
	instance string
	epoch    uint64
	sequence uint64
	groups   map[string]*wantedLease
	sent     map[uint64]time.Time
	next     time.Time
}

// wantedLease is the state of the lease of one wanted group.
type wantedLease struct {
	term uint64
	// firstSequence is the sequence of the first request that can grant this term.
	firstSequence uint64
	until         time.Time
	refusal       Refusal
}

// NewHolder returns a holder without leases. The epoch must differ from those of all
// earlier runs of the same instance.
func NewHolder(instance string, epoch uint64, cfg Config) *Holder {
	return &Holder{
		cfg:      cfg.withDefaults(),
		instance: instance,
		epoch:    epoch,
		groups:   make(map[string]*wantedLease),
		sent:     make(map[uint64]time.Time),
	}
}

// Want adds the lease of a group at a term to those that the holder obtains and renews. A
// newer term replaces an older one, whose lease ends at once; an older term is ignored.
func (h *Holder) Want(group string, term uint64) {
	if old, ok := h.groups[group]; ok && old.term >= term {
		return
	}
	h.groups[group] = &wantedLease{term: term, firstSequence: h.sequence + 1}
	h.next = time.Time{}
}

// Return ends the leases of groups at once and returns the message that frees them at the
// granter. It returns false if none of the groups is wanted.
func (h *Holder) Return(groups ...string) (Return, bool) {
	var terms []GroupTerm
	for _, g := range groups {
		if wanted, ok := h.groups[g]; ok {
			terms = append(terms, GroupTerm{Group: g, Term: wanted.term})
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

// Groups returns the sorted names of the wanted groups.
func (h *Holder) Groups() []string {
	names := make([]string, 0, len(h.groups))
	for g := range h.groups {
		names = append(names, g)
	}
	slices.Sort(names)
	return names
}

// Next returns the time at which the next request is due, which may be in the past, and
// false if no group is wanted.
func (h *Holder) Next() (time.Time, bool) {
	return h.next, len(h.groups) > 0
}

// Request returns the next request, and false if none is due. The caller must send it at
// once.
func (h *Holder) Request(now time.Time) (Request, bool) {
	if len(h.groups) == 0 || now.Before(h.next) {
		return Request{}, false
	}
	h.dropStaleRequests(now)
	h.sequence++
	h.sent[h.sequence] = now
	h.next = now.Add(h.cfg.Duration / resendDivisor)
	req := Request{
		Holder:   h.instance,
		Epoch:    h.epoch,
		Sequence: h.sequence,
		Groups:   make([]GroupTerm, 0, len(h.groups)),
	}
	for g, wanted := range h.groups {
		req.Groups = append(req.Groups, GroupTerm{Group: g, Term: wanted.term})
	}
	slices.SortFunc(req.Groups, func(a, b GroupTerm) int { return cmp.Compare(a.Group, b.Group) })
	return req, true
}

// dropStaleRequests drops requests that are too old for their answers to extend a lease.
func (h *Holder) dropStaleRequests(now time.Time) {
	for seq, at := range h.sent {
		if now.Sub(at) >= h.cfg.holderDuration() {
			delete(h.sent, seq)
		}
	}
}

// Answer records the granter's answer. Late answers and repeated ones are harmless, because
// a lease counts from the time at which its request was sent; answers to other epochs are
// ignored.
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
	for g, wanted := range h.groups {
		if wanted.firstSequence > a.Sequence {
			continue
		}
		if r, ok := refused[g]; ok {
			wanted.refusal = r
			failed = true
			continue
		}
		wanted.refusal = Refusal{}
		if until.After(wanted.until) {
			wanted.until = until
		}
	}
	if a.Sequence != h.sequence {
		return
	}
	if failed {
		h.next = now.Add(h.cfg.Duration / retryDivisor)
		return
	}
	h.next = at.Add(h.cfg.Duration / renewDivisor)
}

// Failed records that the request with the given sequence could not be delivered.
func (h *Holder) Failed(sequence uint64, now time.Time) {
	if sequence != h.sequence {
		return
	}
	if retry := now.Add(h.cfg.Duration / retryDivisor); retry.Before(h.next) {
		h.next = retry
	}
}

// Valid reports whether the lease of a group at a term is held at now.
func (h *Holder) Valid(group string, term uint64, now time.Time) bool {
	wanted, ok := h.groups[group]
	return ok && wanted.term == term && now.Before(wanted.until)
}

// Remaining returns how long the lease of a group remains valid, or 0 if it is not held.
func (h *Holder) Remaining(group string, now time.Time) time.Duration {
	wanted, ok := h.groups[group]
	if !ok {
		return 0
	}
	return max(wanted.until.Sub(now), 0)
}

// Refusal returns the refusal in the last answer for a group, and false if that answer
// granted the lease or there is none.
func (h *Holder) Refusal(group string) (Refusal, bool) {
	wanted, ok := h.groups[group]
	if !ok || wanted.refusal.Reason == 0 {
		return Refusal{}, false
	}
	return wanted.refusal, true
}
