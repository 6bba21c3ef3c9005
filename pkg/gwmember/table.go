package gwmember

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	buckets    = 128 // of the table digest; 3,000 members make 23 rows each
	digestSize = 4 * buckets
)

// digest has the exclusive or of the row sums in each bucket.
type digest [buckets]uint32

// entry is one row of the member table.
type entry struct {
	Member
	status Status
	// since is when the row was last changed.
	since time.Time
	// place orders members on the ring and chooses relays.
	place uint64
	// sum is the row's share of the digest, zero if it has none.
	sum uint32

	view        uint64
	viewAt      time.Time
	unreachable []string

	watch *watch
}

// update returns the row as it is sent.
func (e *entry) update() Update {
	u := Update{Member: e.Member, Status: e.status, ViewVersion: e.view, Unreachable: e.unreachable}
	if u.Status == StatusSuspect {
		u.Status = StatusAlive
	}
	return u
}

// dataCentre holds what is derived from the live members of one data centre.
type dataCentre struct {
	name string
	// ring holds the live members ordered by place.
	ring  []*entry
	stale bool
	// digest has a value for each bucket of rows of the data centre.
	digest digest

	// The rest is used by relays only.
	heard    time.Time // last message from the data centre
	nextPing time.Time
	pings    int
	down     bool      // as this relay sees it
	differs  time.Time // since when the sums differ, zero if they do not
	// unreachable is the merged view that was reported to the caller.
	unreachable bool
	flipped     time.Time // when the merged view last agreed with the report
}

// table holds all known members.
type table struct {
	rows    map[string]*entry
	centres map[string]*dataCentre
	names   []string // of centres, ordered
	digest  digest
	live    []Member // cache of Live, nil when stale
	interns map[string]string
}

func newTable() *table {
	return &table{
		rows:    make(map[string]*entry),
		centres: make(map[string]*dataCentre),
		interns: make(map[string]string),
	}
}

// intern returns one shared copy of names that many rows repeat.
func (t *table) intern(s string) string {
	if shared, ok := t.interns[s]; ok {
		return shared
	}
	t.interns[s] = s
	return s
}

// centre returns the data centre, which it creates if needed.
func (t *table) centre(name string) *dataCentre {
	dc, ok := t.centres[name]
	if !ok {
		dc = &dataCentre{name: name}
		t.centres[name] = dc
		at, _ := slices.BinarySearch(t.names, name)
		t.names = slices.Insert(t.names, at, name)
	}
	return dc
}

// put stores a row and brings everything derived up to date.
func (t *table) put(m Member, status Status, now time.Time) *entry {
	m.DataCentre = t.intern(m.DataCentre)
	m.Region = t.intern(m.Region)
	e, ok := t.rows[m.Instance]
	if !ok {
		e = &entry{place: xxhash.Sum64String(m.Instance)}
		t.rows[m.Instance] = e
	}
	if ok && e.DataCentre != m.DataCentre {
		t.centre(e.DataCentre).stale = true
		t.resum(e, false)
	}
	if !ok || e.status.Live() != status.Live() || e.DataCentre != m.DataCentre {
		t.centre(m.DataCentre).stale = true
	}
	t.live = nil
	e.Member, e.status, e.since = m, status, now
	t.resum(e, true)
	return e
}

// resum updates the digest after a change of the row.
func (t *table) resum(e *entry, counted bool) {
	b := bucketOf(e)
	change := e.sum
	e.sum = 0
	if counted {
		e.sum = rowSum(e)
	}
	change ^= e.sum
	t.digest[b] ^= change
	t.centre(e.DataCentre).digest[b] ^= change
}

// scoped returns the digest of one data centre, or of the table.
func (t *table) scoped(scope string) *digest {
	if scope == "" {
		return &t.digest
	}
	if dc, ok := t.centres[scope]; ok {
		return &dc.digest
	}
	return &digest{}
}

// remove forgets a row.
func (t *table) remove(e *entry) {
	t.resum(e, false)
	t.centre(e.DataCentre).stale = true
	delete(t.rows, e.Instance)
	t.live = nil
}

// bucketOf returns the bucket of a row.
func bucketOf(e *entry) int { return int(e.place % buckets) }

// rowSum hashes what two tables must agree on.
func rowSum(e *entry) uint32 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:8], e.place)
	binary.LittleEndian.PutUint64(b[8:16], e.Incarnation)
	b[16] = byte(e.update().Status)
	return uint32(xxhash.Sum64(b[:])) | 1
}

// ring returns the live members of a data centre ordered by place.
func (t *table) ring(name string) []*entry {
	dc, ok := t.centres[name]
	if !ok {
		return nil
	}
	if dc.stale {
		dc.ring = dc.ring[:0:0]
		for _, e := range t.rows {
			if e.DataCentre == name && e.status.Live() {
				dc.ring = append(dc.ring, e)
			}
		}
		slices.SortFunc(dc.ring, byPlace)
		dc.stale = false
	}
	return dc.ring
}

// byPlace orders rows on the ring.
func byPlace(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.Instance, b.Instance))
}

// relays returns the first n live members of a data centre, which are its
// relays. The order is that of hashes, so a departure moves one relay at most.
func (t *table) relays(name string, n int) []*entry {
	ring := t.ring(name)
	return ring[:min(n, len(ring))]
}

// around returns the n members before and after e on the ring of its data
// centre, the nearest first.
func (t *table) around(e *entry, n int) (before, after []*entry) {
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

// bytes returns the digest as it is sent.
func (d *digest) bytes() []byte {
	b := make([]byte, 0, digestSize)
	for _, sum := range d {
		b = binary.LittleEndian.AppendUint32(b, sum)
	}
	return b
}

// sum folds the digest into one number other than zero.
func (d *digest) sum() uint32 {
	var sum uint32
	for _, s := range d {
		sum ^= s
	}
	return max(sum, 1)
}

// centresSum hashes the names of the data centres with live members.
func (t *table) centresSum() uint32 {
	var sum uint32
	for _, name := range t.names {
		if len(t.ring(name)) > 0 {
			sum ^= uint32(xxhash.Sum64String(name))
		}
	}
	return sum
}

// differing returns which buckets from first on differ from a sent digest.
func (d *digest) differing(sent []byte, first int) (diff [buckets]bool, any bool) {
	for i := first; i < buckets; i++ {
		if binary.LittleEndian.Uint32(sent[4*i:]) != d[i] {
			diff[i], any = true, true
		}
	}
	return diff, any
}
