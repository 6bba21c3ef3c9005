package gwsoak

import (
	"net/netip"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/platform"
)

// Guards against a vote that is taken from the identity that the instance had before its disk was
// lost, and against one that is missed as the process was killed with part of the log.
func TestEmptyStarts(t *testing.T) {
	const own, old, fresh = "127.0.0.1", "127.0.0.1#a", "127.0.0.1#b"
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	started := func(ms int, last uint64, voters ...string) voterLine {
		return voterLine{Time: at(ms), Msg: "voter started", Last: last, Voters: voters}
	}
	changed := func(ms int, voters ...string) voterLine {
		return voterLine{Time: at(ms), Msg: "voter changed", Last: 9, Voters: voters}
	}
	has := func(ms int) voterLine { return voterLine{Time: at(ms), Msg: "member has its vote", Last: 9} }
	for _, test := range []struct {
		name   string
		lines  []voterLine
		starts []time.Time
		want   []emptyStart
	}{
		{"first start of a deployment", []voterLine{started(10, 0, own, "127.0.0.2"), changed(20, own, "127.0.0.2")}, []time.Time{at(0)}, nil},
		{"a new one", []voterLine{started(10, 0), changed(500, "127.0.0.2", "127.0.0.10#c"), has(700)}, []time.Time{at(0)}, []emptyStart{{at(0), at(700)}}},
		{"no vote", []voterLine{started(10, 0), changed(20, "127.0.0.2")}, []time.Time{at(0)}, []emptyStart{{started: at(0)}}},
		{
			"wiped, and its old identity votes",
			[]voterLine{started(10, 9, old), started(1010, 0), changed(1500, old), started(2010, 5, old), has(2100)},
			[]time.Time{at(0), at(1000), at(2000)},
			[]emptyStart{{at(1000), at(2100)}},
		},
		{
			"killed with part of the log",
			[]voterLine{started(10, 0), started(1010, 5), changed(1500, fresh), has(1600)},
			[]time.Time{at(0), at(1000)},
			[]emptyStart{{at(0), at(1500)}},
		},
		{
			"killed before it had any",
			[]voterLine{started(10, 0), started(1010, 0), has(1500)},
			[]time.Time{at(0), at(1000)},
			[]emptyStart{{started: at(0)}, {at(1000), at(1500)}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.want, emptyStarts(test.lines, own, test.starts))
		})
	}
}

// Guards against a newcomer that is judged before the pages let the next disk be lost, such as one
// whose leader was paused meanwhile, and against one without a vote that passes beside a
// predecessor which does not count any more.
func TestDueVote(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	in := func(dataCentre string) *process {
		return &process{settings: platform.Settings{DataCentre: dataCentre}}
	}
	a, b, c, n := in("x"), in("y"), in("z"), in("x")
	n.joined = 1
	for _, test := range []struct {
		name  string
		begin func(d *redundancy)
		since map[*process]time.Time
		want  []dueVote // at the fourth second and the tenth
	}{
		{"none is new", func(*redundancy) {}, map[*process]time.Time{a: at(0), b: at(0), c: at(0)}, nil},
		{
			"one was wiped", func(d *redundancy) { d.restoring[a] = true },
			map[*process]time.Time{a: at(0), b: at(0), c: at(0)},
			[]dueVote{{p: a, at: at(4)}},
		},
		{
			"another one was disturbed meanwhile", func(d *redundancy) { d.restoring[a] = true },
			map[*process]time.Time{a: at(0), b: at(2), c: at(0)},
			[]dueVote{{p: a, at: at(10)}},
		},
		{
			"a successor, while another one is disturbed", func(d *redundancy) { d.successors[a], d.restoring[n] = n, false },
			map[*process]time.Time{a: at(0), b: at(2), c: at(0), n: at(0)},
			[]dueVote{{p: n, at: at(10)}},
		},
		{
			"an added one takes the seat of its data centre", func(d *redundancy) { d.restoring[n] = false },
			map[*process]time.Time{a: at(0), b: at(0), c: at(0), n: at(0)},
			[]dueVote{{p: n, at: at(4)}},
		},
		{
			"the older one of its data centre was wiped beside an added one", func(d *redundancy) { d.restoring[a] = true },
			map[*process]time.Time{a: at(0), b: at(0), c: at(0), n: at(0)},
			[]dueVote{{p: a, at: at(4), spare: true}},
		},
		{
			"one of another data centre was wiped beside an added one", func(d *redundancy) { d.restoring[b] = true },
			map[*process]time.Time{a: at(0), b: at(0), c: at(0), n: at(0)},
			[]dueVote{{p: b, at: at(4)}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newRedundancy()
			test.begin(&d)
			d.advance(test.since, at(4))
			d.advance(test.since, at(10))
			assert.Equal(t, test.want, d.due)
		})
	}
}

// Guards against a loss of power that spares a predecessor which still runs, as it is not among
// the present control instances once it is asked to stop.
func TestPowerLossTakesEveryProcess(t *testing.T) {
	for _, countingOnly := range []bool{false, true} {
		r := &Run{check: newChecker()}
		for _, all := range []*[]*process{&r.control, &r.gone, &r.entries} {
			p := &process{cmd: exec.Command("sleep", "60"), done: make(chan struct{}), gone: true}
			require.NoError(t, p.cmd.Start())
			go p.wait(p.cmd, p.done)
			t.Cleanup(p.kill)
			*all = []*process{p}
		}
		nothing := func() {}
		r.losePower(t.Context(), 0, &loss{lost: r.control[0], begin: nothing, end: nothing, countingOnly: countingOnly})
		assert.False(t, r.control[0].active())
		assert.Equal(t, countingOnly, r.gone[0].active())
		assert.Equal(t, countingOnly, r.entries[0].active())
	}
}

// Guards against links between regions that deliver more than their rate, or earlier than they
// are long.
func TestLinkBetweenRegions(t *testing.T) {
	n, a, b, c := newNetwork(), netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2"), netip.MustParseAddr("127.0.0.3")
	n.locate(a, "one")
	n.locate(b, "two")
	n.locate(c, "two")
	now := time.Now()
	far, near := n.path(a, b), n.path(b, c)
	assert.Equal(t, time.Second/2+regionDelay, far.due(now, regionRate/2).Sub(now))
	assert.Equal(t, time.Second+regionDelay, far.due(now, regionRate/2).Sub(now), "after the ones before")
	assert.Equal(t, now, near.due(now, regionRate))
	assert.True(t, n.undisturbed(a, b))
	far.setDelay(time.Second)
	assert.Equal(t, 2*time.Second+regionDelay, far.due(now, 0).Sub(now))
	assert.False(t, n.undisturbed(a, b))
}
