package gwfilter

import (
	"time"

	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// holdKey identifies the requests for which a refusal holds. class is empty if it holds for
// all classes, and customer if it holds for all customers: a full queue refuses the one that
// is above its share.
type holdKey struct {
	event    gwoutcome.Event
	class    string
	customer string
}

// heldRefusal is a refusal by the owner of a server that holds for further requests.
type heldRefusal struct {
	gwoutcome.Hold
	owner  string
	result gwowner.Result
}

// holdKeys returns the keys of the refusals that apply to a request.
func holdKeys(req *gwowner.Request) []holdKey {
	keys := []holdKey{{event: gwoutcome.NotOwner}, {event: gwoutcome.QueueFull, class: req.Class, customer: req.Customer}}
	switch {
	case req.Access == gwowner.Write || req.RequireLease:
		keys = append(keys, holdKey{event: gwoutcome.NoLease})
	case req.Staleness > 0:
		keys = append(keys, holdKey{event: gwoutcome.FreshnessUnknown, class: req.Class})
	}
	return keys
}

// held returns the refusal of a request that the server's owner would refuse as it has refused
// others of its kind a moment before, and false if the request is to be sent.
func (t *serverTable) held(server, owner string, req *gwowner.Request, now time.Time) (gwowner.Result, bool) {
	sh := t.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st, ok := sh.servers[server]
	if !ok || len(st.held) == 0 {
		return gwowner.Result{}, false
	}
	for _, k := range holdKeys(req) {
		if h := st.held[k]; h != nil && h.owner == owner && h.Active(now) {
			return h.result, true
		}
	}
	return gwowner.Result{}, false
}

// recordRefusal records how an attempt at a server of another instance ended, for held.
func (t *serverTable) recordRefusal(server, owner string, req *gwowner.Request, res gwowner.Result, now time.Time, random float64) {
	if res.Event != gwoutcome.Answered && !gwoutcome.Holds(res.Event) {
		return
	}
	sh := t.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := sh.stat(server)
	for _, k := range holdKeys(req) {
		switch {
		case res.Event == gwoutcome.Answered:
			delete(st.held, k)
		case k.event == res.Event:
			st.refuse(k, owner, res, now, random)
		}
	}
}

// refuse records a refusal that applies to k.
func (st *serverStat) refuse(k holdKey, owner string, res gwowner.Result, now time.Time, random float64) {
	h := st.held[k]
	if h == nil || h.owner != owner {
		if st.held == nil {
			st.held = make(map[holdKey]*heldRefusal)
		}
		h = &heldRefusal{owner: owner}
		st.held[k] = h
	}
	h.Refused(now, random)
	// The report was valid when it arrived and says nothing later.
	res.Report = gwowner.Report{}
	h.result = res
}
