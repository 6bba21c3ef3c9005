package gwmember

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	buckets    = 128 // of the table digest; with 3,000 members, a bucket has 23 rows
	digestSize = 4 * buckets
)

// digest holds for each bucket the exclusive or of its rows' hashes.
type digest [buckets]uint32

// entry is one row of the member table.
type entry struct {
	Member
	status Status
	// since is when the row last changed.
	since time.Time
	// ringHash orders members on the ring and determines the relays.
	ringHash uint64
	// hash is the row's contribution to the digest, zero if it has none.
	hash uint32

	viewVersion uint64
	viewTime    time.Time
	unreachable []string

	watch *watch
}

// update returns the row as sent to others: a suspect counts as alive.
func (e *entry) update() Update {
	u := Update{Member: e.Member, Status: e.status, ViewVersion: e.viewVersion, Unreachable: e.unreachable}
	if u.Status == StatusSuspect {
		u.Status = StatusAlive
	}
	return u
}

// dataCentre holds the state that is derived for one data centre.
type dataCentre struct {
	name string
	// ring holds the live members ordered by ringHash.
	ring      []*entry
	ringStale bool
	// digest covers the rows of the data centre.
	digest digest

	// The fields from here to differsSince are for relays. Other instances use lastHeard
	// and contacts too, to choose the receiver of a sync.
	lastHeard    time.Time // when the last message from the data centre arrived
	nextPing     time.Time
	contacts     int
	down         bool      // unreachable as seen by this relay
	differsSince time.Time // since when the digests differ, zero if they are equal
	// unreachable is the merged view that was reported to the caller.
	unreachable bool
	agreedAt    time.Time // when the merged view last agreed with what was reported
}

// table is the member table, with a row for each known member.
type table struct {
	rows            map[string]*entry
	dataCentres     map[string]*dataCentre
	dataCentreNames []string // keys of dataCentres, sorted
	digest          digest
	live            []Member // cached result of Live, nil if stale
	interned        map[string]string
}

func newTable() *table {
	return &table{
		rows:        make(map[string]*entry),
		dataCentres: make(map[string]*dataCentre),
		interned:    make(map[string]string),
	}
}

// intern returns a shared copy of a name, as many rows have the same.
func (t *table) intern(s string) string {
	if shared, ok := t.interned[s]; ok {
		return shared
	}
	t.interned[s] = s
	return s
}

// dataCentre returns the data centre of that name and creates it if needed.
func (t *table) dataCentre(name string) *dataCentre {
	dc, ok := t.dataCentres[name]
	if !ok {
		dc = &dataCentre{name: name}
		t.dataCentres[name] = dc
		at, _ := slices.BinarySearch(t.dataCentreNames, name)
		t.dataCentreNames = slices.Insert(t.dataCentreNames, at, name)
	}
	return dc
}

// put stores a row and updates the derived state.
func (t *table) put(m Member, status Status, now time.Time) *entry {
	m.DataCentre = t.intern(m.DataCentre)
	m.Region = t.intern(m.Region)
	e, ok := t.rows[m.Instance]
	if !ok {
		e = &entry{ringHash: xxhash.Sum64String(m.Instance)}
		t.rows[m.Instance] = e
	}
	if ok && e.DataCentre != m.DataCentre {
		t.dataCentre(e.DataCentre).ringStale = true
		t.updateDigest(e, false)
	}
	if !ok || e.status.Live() != status.Live() || e.DataCentre != m.DataCentre {
		t.dataCentre(m.DataCentre).ringStale = true
	}
	t.live = nil
	e.Member, e.status, e.since = m, status, now
	t.updateDigest(e, true)
	return e
}

// updateDigest updates the digests after a change of the row. If counted is false, the
// row no longer counts in them.
func (t *table) updateDigest(e *entry, counted bool) {
	b := bucketOf(e)
	change := e.hash
	e.hash = 0
	if counted {
		e.hash = rowHash(e)
	}
	change ^= e.hash
	t.digest[b] ^= change
	t.dataCentre(e.DataCentre).digest[b] ^= change
}

// scopedDigest returns the digest of a data centre, or of the whole table if scope is empty.
func (t *table) scopedDigest(scope string) *digest {
	if scope == "" {
		return &t.digest
	}
	if dc, ok := t.dataCentres[scope]; ok {
		return &dc.digest
	}
	return &digest{}
}

// remove deletes a row.
func (t *table) remove(e *entry) {
	t.updateDigest(e, false)
	t.dataCentre(e.DataCentre).ringStale = true
	delete(t.rows, e.Instance)
	t.live = nil
}

// bucketOf returns the bucket of a row.
func bucketOf(e *entry) int { return int(e.ringHash % buckets) }

// rowHash hashes the parts of a row that must be equal in all tables. It is never zero.
func rowHash(e *entry) uint32 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:8], e.ringHash)
	binary.LittleEndian.PutUint64(b[8:16], e.Incarnation)
	b[16] = byte(e.update().Status)
	return uint32(xxhash.Sum64(b[:])) | 1
}

// ring returns the live members of a data centre ordered by ringHash.
func (t *table) ring(name string) []*entry {
	dc, ok := t.dataCentres[name]
	if !ok {
		return nil
	}
	if dc.ringStale {
		dc.ring = dc.ring[:0:0]
		for _, e := range t.rows {
			if e.DataCentre == name && e.status.Live() {
				dc.ring = append(dc.ring, e)
			}
		}
		slices.SortFunc(dc.ring, byRingHash)
		dc.ringStale = false
	}
	return dc.ring
}

// byRingHash orders rows on the ring.
func byRingHash(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), cmp.Compare(a.Instance, b.Instance))
}

// relays returns the relays of a data centre: its first n live members on the ring. As
// these are ordered by hash, a departure replaces at most one relay.
func (t *table) relays(name string, n int) []*entry {
	ring := t.ring(name)
	return ring[:min(n, len(ring))]
}

// neighbors returns the n members before and after e on the ring of its data
// centre, the nearest first.
func (t *table) neighbors(e *entry, n int) (before, after []*entry) {
	ring := t.ring(e.DataCentre)
	at := slices.Index(ring, e)
	if at < 0 {
		return nil, nil
	}
	n = min(n, len(ring)-1)
	for i := 1; i <= n; i++ {
		before = append(before, ring[(at-i+len(ring))%len(ring)])
		after = append(after, ring[(at+i)%len(ring)])
	}
	return before, after
}

// bytes returns the encoded digest.
func (d *digest) bytes() []byte {
	b := make([]byte, 0, digestSize)
	for _, sum := range d {
		b = binary.LittleEndian.AppendUint32(b, sum)
	}
	return b
}

// fold folds the digest into one non-zero number.
func (d *digest) fold() uint32 {
	var sum uint32
	for _, s := range d {
		sum ^= s
	}
	return max(sum, 1)
}

// dataCentreHash hashes the names of the data centres with live members.
func (t *table) dataCentreHash() uint32 {
	var sum uint32
	for _, name := range t.dataCentreNames {
		if len(t.ring(name)) > 0 {
			sum ^= uint32(xxhash.Sum64String(name))
		}
	}
	return sum
}

// differing returns which buckets from first on differ from an encoded digest.
func (d *digest) differing(sent []byte, first int) (diff [buckets]bool, any bool) {
	for i := first; i < buckets; i++ {
		if binary.LittleEndian.Uint32(sent[4*i:]) != d[i] {
			diff[i], any = true, true
		}
	}
	return diff, any
}
