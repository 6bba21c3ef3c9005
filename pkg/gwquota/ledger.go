package gwquota

import (
	"maps"
	"slices"
	"time"
)

// Ledger holds the shares that agents may use, for one term of a leader. It is the leader's
// memory only; the ledger of a new term learns the shares from the agents' reports.
type Ledger struct {
	// unknownUntil is when the last share that an earlier leader assigned has ended. Until then,
	// what no agent has reported is not free.
	unknownUntil time.Time
	// fresh means that no shares were ever assigned.
	fresh bool
	// missing holds the instances that may hold shares of an earlier leader and have not reported
	// since; nil if they are not known. Once all have reported, nothing is unknown.
	missing map[string]bool
	// unusedSince is since when no share of an earlier leader has been used: all instances that
	// may have held some have reported, and were restarted before. Zero if that is not so.
	unusedSince time.Time
	// restartedAt is the latest of these restarts so far, not before the term: an instance that
	// the log no longer names may have used a share in an earlier one.
	restartedAt time.Time
	survivors   bool // an instance has reported that was not restarted
	exclusive   bool
	// places is the number of data centres, each of which will have an agent for each customer.
	places   int
	limits   map[string]Limit
	accounts map[string]*account
	agents   map[run]*record
}

// run is one run of an agent's instance.
type run struct {
	instance string
	epoch    uint64
}

// record is what the ledger knows about one agent.
type record struct {
	run
	sequence uint64
	expires  time.Time
	lines    []*entry // by ID
	// began is when the run began, if no leader had answered it before its last complete report;
	// else zero.
	began time.Time
	// confirmed means that the agent has applied an answer of this leader. Until then, the report
	// may be an old one, and what it claims may belong to others by now.
	confirmed bool
}

// entry is the share of one customer at one agent.
type entry struct {
	account *account
	claim   claim
	// counted is the greatest share that the agent may use; granted is what it was told last.
	counted, granted Parts
	claimed          Parts // of account.claimed
}

// account holds the shares of one customer.
type account struct {
	name    string
	entries map[run]*entry
	// created is when the first agent reported the customer.
	created time.Time
	// claimed is the part of what an earlier leader assigned that agents have reported.
	claimed Parts
	// pool accumulates operations for the free part.
	pool bucket
}

// Earlier is what a leader knows about the shares that earlier leaders have assigned.
type Earlier struct {
	// None means that none were ever assigned.
	None bool
	// Holders are all instances that may hold some; nil if they are not known.
	Holders []string
}

// NewLedger returns the ledger of a term that began at the given time. exclusive means that two
// runs of an instance never overlap, so that a later one ends the shares of an earlier one.
func NewLedger(began time.Time, e Earlier, exclusive bool) *Ledger {
	l := &Ledger{fresh: e.None, exclusive: exclusive, accounts: make(map[string]*account), agents: make(map[run]*record)}
	if e.None {
		return l
	}
	l.unknownUntil, l.restartedAt = began.Add(CountedValidity), began
	if e.Holders != nil && exclusive {
		l.missing = make(map[string]bool, len(e.Holders))
		for _, name := range e.Holders {
			l.missing[name] = true
		}
	}
	return l
}

// Holders returns the instances that may hold shares.
func (l *Ledger) Holders(now time.Time) []string {
	l.sweep(now)
	names := make(map[string]bool, len(l.agents))
	for key, rec := range l.agents {
		if len(rec.lines) > 0 {
			names[key.instance] = true
		}
	}
	if now.Before(l.unknownUntil) {
		maps.Copy(names, l.missing)
	}
	return slices.Sorted(maps.Keys(names))
}

// Settled reports whether all shares that earlier leaders assigned have ended or been reported.
func (l *Ledger) Settled(now time.Time) bool { return !now.Before(l.unknownUntil) }

// noteReported records that an agent has reported all its shares, and has applied this leader's
// answer to that. A complete report alone does not show what the agent holds: it may have been sent
// long ago, and another leader may have answered a later one.
func (l *Ledger) noteReported(rec *record, now time.Time) {
	if l.missing == nil || !now.Before(l.unknownUntil) {
		return
	}
	if l.missing[rec.instance] {
		l.survivors = l.survivors || rec.began.IsZero()
		if rec.began.After(l.restartedAt) {
			l.restartedAt = rec.began
		}
	}
	delete(l.missing, rec.instance)
	if len(l.missing) > 0 {
		return
	}
	l.unknownUntil = now
	if l.survivors {
		return
	}
	l.unusedSince = l.restartedAt
	for _, a := range l.accounts {
		l.fillUnused(a, now)
	}
}

// fillUnused adds the operations that the free part of an account has accumulated while nobody
// could use it. After a loss of power everywhere, callers return all at once, and without these
// most are refused although nothing was admitted for seconds.
func (l *Ledger) fillUnused(a *account, now time.Time) {
	if l.unusedSince.IsZero() || now.Before(l.unknownUntil) {
		return
	}
	limit, free := l.limits[a.name], l.free(a, now)
	a.pool.set(now, free.of(limit.Rate), free.of(limit.Capacity), free.of(limit.Rate)*now.Sub(l.unusedSince).Seconds())
}

// SetLimits sets the limits of all customers that have one, and the number of data centres.
func (l *Ledger) SetLimits(limits map[string]Limit, places int) { l.limits, l.places = limits, places }

// account returns the account of a customer.
func (l *Ledger) account(name string, now time.Time) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, created: now, entries: make(map[run]*entry)}
		l.accounts[name] = a
		if l.fresh { // nothing has been used
			limit := l.limits[name]
			a.pool.set(now, limit.Rate, limit.Capacity, limit.Capacity)
		} else {
			l.fillUnused(a, now)
		}
	}
	return a
}

// unknown returns the part of an account that agents which have not reported may use.
func (l *Ledger) unknown(a *account, now time.Time) Parts {
	if !now.Before(l.unknownUntil) || a.claimed >= Whole {
		return 0
	}
	return Whole - a.claimed
}

// free returns the part of an account that nobody may use.
func (l *Ledger) free(a *account, now time.Time) Parts {
	used := l.unknown(a, now)
	for _, e := range a.entries {
		used += e.counted
	}
	if used >= Whole {
		return 0
	}
	return Whole - used
}

// refillPool sets the size of an account's pool to its free part.
func (l *Ledger) refillPool(a *account, now time.Time) {
	free, limit := l.free(a, now), l.limits[a.name]
	a.pool.set(now, free.of(limit.Rate), free.of(limit.Capacity), 0)
}

// Handle answers a report of an instance. The leader must have confirmed its leadership with a
// quorum after it received the report. It returns false if the report is older than another.
func (l *Ledger) Handle(now time.Time, instance string, r Report) (answer Answer, ok bool, err error) {
	l.sweep(now)
	key := run{instance, r.Epoch}
	if l.superseded(key) {
		return Answer{}, false, nil
	}
	rec := l.agents[key]
	if rec != nil && r.Sequence <= rec.sequence {
		return Answer{}, false, nil
	}
	answer.Sequence = r.Sequence
	if r.Base != 0 && (rec == nil || rec.sequence != r.Base) {
		answer.Incomplete = true
		return answer, true, nil
	}
	lines, err := readLines(r.Lines)
	if err != nil {
		return Answer{}, false, err
	}
	if r.Base == 0 {
		rec, err = l.replace(now, key, rec, lines)
	} else {
		err = l.update(now, rec, lines)
	}
	if err != nil {
		return Answer{}, false, err
	}
	rec.sequence, rec.expires = r.Sequence, now.Add(CountedValidity)
	if r.Base == 0 {
		rec.began = time.Time{}
		if r.RunningMillis > 0 {
			rec.began = now.Add(-time.Duration(r.RunningMillis) * time.Millisecond)
		}
	} else {
		rec.confirmed = true
		l.noteReported(rec, now)
	}
	answer.Shares = l.grant(now, rec, r.Base == 0, lines)
	answer.Next = l.next(now, rec)
	return answer, true, nil
}

// soon is when an agent that lacks shares reports again: by then another has reduced its own, or
// reported what it holds.
const soon = 400 * time.Millisecond

// soonAtStart is soon while the leader waits for the first reports of other instances.
const soonAtStart = 150 * time.Millisecond

// next returns the milliseconds until the agent should report outside of its intervals, or 0.
func (l *Ledger) next(now time.Time, rec *record) uint32 {
	if wait := l.unknownUntil.Sub(now); wait > 0 {
		if l.missing != nil {
			wait = min(wait, soonAtStart)
		}
		return uint32(wait.Milliseconds()) + 1
	}
	for _, e := range rec.lines {
		if a := l.allot(now, e); a.enough > e.granted && (a.enough-e.granted).of(l.limits[e.account.name].Rate) >= urgentRate {
			return uint32(soon.Milliseconds())
		}
	}
	return 0
}

// superseded reports whether a later run of the instance is known, and ends earlier ones.
func (l *Ledger) superseded(key run) bool {
	for other, rec := range l.agents {
		switch {
		case other.instance != key.instance:
		case other.epoch > key.epoch:
			return true
		case other.epoch < key.epoch && l.exclusive:
			l.remove(rec)
		}
	}
	return false
}

// sweep removes the agents whose shares have ended, and accounts that hold nothing.
func (l *Ledger) sweep(now time.Time) {
	for _, rec := range l.agents {
		if !now.Before(rec.expires) {
			l.remove(rec)
		}
	}
	for name, a := range l.accounts {
		if _, ok := l.limits[name]; ok || len(a.entries) > 0 || now.Before(l.unknownUntil) {
			continue
		}
		delete(l.accounts, name)
		// The account of a customer of this name may not begin full again.
		l.fresh, l.unusedSince = false, time.Time{}
	}
}

func (l *Ledger) remove(rec *record) {
	for _, e := range rec.lines {
		if !rec.confirmed {
			e.account.claimed -= e.claimed
		}
		delete(e.account.entries, rec.run)
	}
	delete(l.agents, rec.run)
}

// checkLines returns an error unless new IDs follow the known ones and have new names.
func checkLines(known []*entry, lines []Line) error {
	names := make(map[string]bool, len(known))
	for _, e := range known {
		names[e.account.name] = true
	}
	for _, line := range lines {
		switch {
		case line.Name != "" && line.ID == uint64(len(names)) && !names[line.Name]:
			names[line.Name] = true
		case line.Name != "" || line.ID >= uint64(len(names)):
			return errMalformed
		}
	}
	return nil
}

// replace replaces all that is known about an agent by a complete report. A share counts as far
// as the ledger has counted it, or as it may be one that an earlier leader assigned: any other
// has ended at the agent by now.
func (l *Ledger) replace(now time.Time, key run, old *record, lines []Line) (*record, error) {
	if err := checkLines(nil, lines); err != nil {
		return nil, err
	}
	counted := make(map[string]Parts)
	if old != nil {
		for _, e := range old.lines {
			counted[e.account.name] = e.counted
		}
		l.remove(old)
	}
	rec := &record{run: key, confirmed: old != nil && old.confirmed}
	l.agents[key] = rec
	for _, line := range lines {
		a := l.account(line.Name, now)
		e := l.addEntry(rec, a, line)
		e.counted = min(line.Held, counted[line.Name])
		if !rec.confirmed {
			e.claimed = min(line.Held, l.unknown(a, now))
			e.counted = max(e.counted, e.claimed)
			a.claimed += e.claimed
		}
		e.granted = e.counted
	}
	return rec, nil
}

func (l *Ledger) addEntry(rec *record, a *account, line Line) *entry {
	e := &entry{account: a, claim: claim{wanted: line.Wanted, demand: line.Demand.perSecond(), name: rec.instance}}
	rec.lines = append(rec.lines, e)
	a.entries[rec.run] = e
	return e
}

// update applies the changes since the last answer, which the agent has applied.
func (l *Ledger) update(now time.Time, rec *record, lines []Line) error {
	if err := checkLines(rec.lines, lines); err != nil {
		return err
	}
	for _, e := range rec.lines {
		e.counted = e.granted
	}
	for _, line := range lines {
		if line.Name != "" {
			l.addEntry(rec, l.account(line.Name, now), line)
			continue
		}
		e := rec.lines[line.ID]
		e.claim.wanted, e.claim.demand = line.Wanted, line.Demand.perSecond()
		if line.Returned > 0 {
			l.refillPool(e.account, now)
			e.account.pool.set(now, e.account.pool.rate, e.account.pool.capacity, float64(line.Returned))
		}
	}
	return nil
}

// leastMove is the least number of parts that are moved at once.
const leastMove = Whole / 256

// grant decides the shares of one agent and returns those that differ from what it holds.
func (l *Ledger) grant(now time.Time, rec *record, complete bool, lines []Line) []byte {
	var out []byte
	for id, e := range rec.lines {
		held := e.granted
		if complete {
			held = lines[id].Held
		}
		l.refillPool(e.account, now)
		target := l.allot(now, e).target
		share := Share{ID: uint64(id), Parts: e.granted}
		switch free := l.free(e.account, now); {
		case target >= e.granted+min(leastMove, target) && free >= min(leastMove, target):
			share.Parts, share.Tokens = l.take(e.account, free, min(free, target-e.granted), e.granted)
			e.counted = max(e.counted, share.Parts)
		case target == 0, e.granted > target+leastMove && l.lacking(now, e.account):
			share.Parts = target
		}
		e.granted = share.Parts
		l.refillPool(e.account, now)
		if share.Parts != held {
			out = appendShare(out, share)
		}
	}
	return out
}

// settleTime is how long after the first report about a customer the ledger expects one of an
// agent in each data centre. Without it the first agent got everything, and the tokens that it
// had to give up were lost.
const settleTime = 2 * time.Second

// take moves parts from the free ones of an account to a share of the given size, with the
// operations that these have accumulated.
func (l *Ledger) take(a *account, free, parts, share Parts) (Parts, uint64) {
	if parts == 0 {
		return share, 0
	}
	tokens := uint64(a.pool.tokens * float64(parts) / float64(free))
	a.pool.tokens -= float64(tokens)
	return share + parts, tokens
}

// allot returns what an agent should have of a customer's limit.
func (l *Ledger) allot(now time.Time, e *entry) allotment {
	entries := slices.Collect(maps.Values(e.account.entries))
	claims := make([]claim, len(entries))
	own := 0
	for i, other := range entries {
		claims[i] = other.claim
		claims[i].holds = other.granted > 0
		if other == e {
			own = i
		}
	}
	for now.Before(e.account.created.Add(settleTime)) && len(claims) < l.places {
		claims = append(claims, claim{wanted: true})
	}
	return allocate(l.limits[e.account.name], claims)[own]
}

// lacking reports whether an agent has much less of an account than it should have.
func (l *Ledger) lacking(now time.Time, a *account) bool {
	for _, e := range a.entries {
		if l.lacks(now, e) {
			return true
		}
	}
	return false
}

func (l *Ledger) lacks(now time.Time, e *entry) bool {
	a := l.allot(now, e)
	return a.target > 0 && e.granted == 0 || e.granted < a.enough
}

// Shares returns the sum of the shares of each customer that agents may use.
func (l *Ledger) Shares(now time.Time) map[string]Parts {
	out := make(map[string]Parts, len(l.accounts))
	for name, a := range l.accounts {
		out[name] = Whole - l.free(a, now)
	}
	return out
}
