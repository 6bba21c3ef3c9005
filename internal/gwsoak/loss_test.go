package gwsoak

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a soak that loses a second disk before the first one can be restored, which
// no program survives, and against one that waits longer than the users' pages, which hid that
// a predecessor which still runs does not count any more (issue 39).
func TestOneDiskIsLostAtATime(t *testing.T) {
	start := time.Now()
	a, b, c, n := &process{}, &process{}, &process{}, &process{}
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	// Each case sees since when the instances are not lost at each second.
	for _, test := range []struct {
		name  string
		begin func(d *redundancy)
		since map[*process]time.Time
		want  map[*process]int // the first second at which each may lose its disk
	}{
		{"no disk is lost", func(*redundancy) {}, map[*process]time.Time{a: at(0), b: at(0), c: at(0)}, map[*process]int{a: 0, b: 0}},
		{"one is lost", func(d *redundancy) { d.take(a, nil, at(0)) }, map[*process]time.Time{a: at(1), b: at(0), c: at(0)}, map[*process]int{a: 5, b: 5}},
		{
			"another one was away meanwhile", func(d *redundancy) { d.take(a, nil, at(0)) },
			map[*process]time.Time{a: at(1), b: at(0), c: at(3)},
			map[*process]int{a: 7, b: 7, c: 7},
		},
		{
			"a successor starts beside, the predecessor is away", func(d *redundancy) { d.successors[a], d.restoring[n] = n, false },
			map[*process]time.Time{a: at(9), b: at(0), c: at(0), n: at(1)},
			map[*process]int{a: 0, b: 5, c: 5, n: 0},
		},
		{
			"a successor starts beside while another disk is lost", func(d *redundancy) { d.successors[a], d.restoring[n] = n, false; d.restoring[b] = true },
			map[*process]time.Time{a: at(0), b: at(2), c: at(0), n: at(0)},
			map[*process]int{a: 6, b: 6, c: 6},
		},
		{
			"an additional one is removed, which takes a second", func(d *redundancy) { d.remove(n, at(0), time.Second) },
			map[*process]time.Time{a: at(0), b: at(0), c: at(0)},
			map[*process]int{a: 5},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			for p, want := range test.want {
				d := newRedundancy()
				test.begin(&d)
				got := 0
				for ; got < 20; got++ {
					if d.advance(test.since, at(got)); d.take(p, nil, at(got)) {
						break
					}
				}
				assert.Equal(t, want, got)
			}
		})
	}
}

// Guards against a predecessor that counts although its successor has had its time, and
// against the loss of the disk of an instance that is gone.
func TestPredecessorStopsCounting(t *testing.T) {
	start := time.Now()
	a, n, m := &process{}, &process{}, &process{}
	r := &Run{check: newChecker(), network: newNetwork(), redundancy: newRedundancy(), control: []*process{a, n}}
	assert.Equal(t, []*process{a, n}, r.replaceable())
	r.redundancy.successors[a], r.redundancy.restoring[n] = n, false
	r.redundancy.restoring[m] = false // that another one starts does not matter
	since := map[*process]time.Time{a: start.Add(time.Hour), n: start, m: start}
	r.redundancy.advance(since, start.Add(catchUpLimit-time.Millisecond))
	assert.Equal(t, []*process{a, n}, r.counting())
	r.redundancy.advance(since, start.Add(catchUpLimit))
	assert.Equal(t, []*process{n}, r.counting())
	assert.Equal(t, []*process{n}, r.replaceable())
	assert.Empty(t, r.redundancy.restoring)
	assert.False(t, r.takeDisk(t.Context(), a, nil, 0), "it does not count")
	assert.False(t, r.takeDisk(t.Context(), &process{}, nil, 0), "it is gone")
	assert.True(t, r.redundancy.remove(a, start.Add(catchUpLimit), 0))
	r.redundancy.restoring[m] = true
	r.countBusy(1)
	r.redundancy.since[n] = start.Add(-time.Hour)
	r.observe()
	assert.WithinDuration(t, time.Now(), r.redundancy.since[n], time.Second, "busy loops slow it")
	clear(r.redundancy.restoring)
	assert.True(t, r.takeDisk(t.Context(), n, nil, 0))
	assert.False(t, r.takeDisk(t.Context(), n, nil, 0), "it is lost")
}

// Guards against an observation that began before an instance started and counts it as ready: the
// next disk was lost 1 s after that start on a busy machine.
func TestStartWhileObserving(t *testing.T) {
	a, n := &process{}, &process{}
	r := &Run{check: newChecker(), network: newNetwork(), redundancy: newRedundancy(), control: []*process{a}, seedHistory: [][]netip.Addr{nil}}
	before, since := r.counting(), map[*process]time.Time{a: time.Now().Add(-time.Hour)}
	r.changeControl(n, nil, SeedsPresent)
	r.advance(before, since)
	assert.Contains(t, r.redundancy.restoring, n)
	r.advance(r.counting(), map[*process]time.Time{a: since[a], n: since[a]})
	assert.Empty(t, r.redundancy.restoring)
}

// Guards against settings that name only control instances which are gone.
func TestSeeds(t *testing.T) {
	a := func(last byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, last}) }
	first, second, third, fourth := []netip.Addr{a(1), a(2), a(3)}, []netip.Addr{a(4), a(2), a(3)}, []netip.Addr{a(4), a(5), a(3)}, []netip.Addr{a(4), a(5), a(6)}
	for _, test := range []struct {
		name    string
		history [][]netip.Addr
		of      SeedsOf
		want    []netip.Addr
	}{
		{"present", [][]netip.Addr{first, second, third}, SeedsPresent, third},
		{"earlier", [][]netip.Addr{first, second, third}, SeedsEarlier, second},
		{"earlier without a replacement", [][]netip.Addr{first}, SeedsEarlier, first},
		{"first", [][]netip.Addr{first, second, third}, SeedsFirst, first},
		{"three of four", [][]netip.Addr{first, {a(1), a(5), a(2), a(3)}}, SeedsPresent, []netip.Addr{a(1), a(5), a(2)}},
		{"first when all are gone", [][]netip.Addr{first, second, third, fourth}, SeedsFirst, third},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &Run{seedHistory: test.history, seedsOf: test.of}
			assert.Equal(t, test.want, r.seeds())
		})
	}
}
