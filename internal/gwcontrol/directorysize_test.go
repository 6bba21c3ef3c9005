package gwcontrol

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwpeer"
)

// replacedServers returns the facts of servers that replace each other at a number of addresses.
func replacedServers(addresses, from, to int) []ServerFacts {
	var out []ServerFacts
	for i := from; i < to; i++ {
		at := i % addresses
		born := 1_796_565_000_000 + uint64(i)
		out = append(out, ServerFacts{
			Server: fmt.Sprintf("i-%08x", i*77_777), Group: fmt.Sprintf("booking-core-%04d", at/3), DataCentre: "busan-haeundae",
			Address: fmt.Sprintf("10.%d.%d.%d:8080", at>>14, at>>8&63, at&255), Slots: 2, Born: born, Version: born << 20,
		})
	}
	return out
}

// Guards against a directory, its file and what an instance that joins is sent which grow with the
// number of servers that there ever were, and against a server that left and is used again because
// it was dropped and an instance that was away tells of it.
func TestDirectoryDropsReplacedServers(t *testing.T) {
	const addresses, shortDay, longDay = 9, 18, 3000
	size := func(d *Directory) int {
		b, err := gwpeer.Marshal(directoryFacts{Facts: d.All()})
		require.NoError(t, err)
		return len(b)
	}
	d := NewDirectory()
	all := replacedServers(addresses, 0, longDay)
	for _, f := range all[:shortDay] {
		d.Record(f)
	}
	short := size(d)
	for _, f := range all[shortDay:] {
		d.Record(f)
	}
	assert.LessOrEqual(t, size(d), short+short/10, "bytes after a long day")
	assert.LessOrEqual(t, len(d.All()), 2*addresses)

	moved := all[longDay-1]
	moved.Born, moved.Version, moved.Address = moved.Born+addresses, moved.Version+addresses<<20, "10.9.9.9:8080"
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"nothing", func() {}},
		{"a late heartbeat of each", func() {
			for _, f := range all {
				f.Version += 5
				d.Record(f)
			}
		}},
		{"a peer that was away", func() { d.Merge(all) }},
		{"the last one moves, and a peer that was away", func() { d.Record(moved); d.Merge(all) }},
	} {
		step.do()
		for _, f := range all[:longDay-addresses] {
			got, known := d.Server(f.Server)
			assert.True(t, !known || got.Gone, "%s: %s is used again", step.name, f.Server)
		}
		assert.LessOrEqual(t, len(d.All()), 2*addresses+1, step.name)
		assert.Len(t, d.current.Load().inDataCentre("busan-haeundae"), addresses, step.name)
	}
	other := NewDirectory()
	other.Merge(all)
	other.Record(moved)
	other.Merge(d.All())
	d.Merge(other.All())
	assert.Equal(t, d.Digest(), other.Digest(), "in any order")
}

// Guards against a directory that no longer fits into one message, so that an instance which joins
// learns of no backend server and directories that differ stay so, and against all facts that are
// sent to one that lacks a single one. 9,900 servers is the size to design for.
func TestDirectoryIsExchangedInParts(t *testing.T) {
	const servers = 9900
	source := NewDirectory()
	source.Merge(replacedServers(servers, 0, 2*servers)) // each has replaced another one
	total, err := gwpeer.Marshal(directoryFacts{Facts: source.All()})
	require.NoError(t, err)
	require.Greater(t, len(total), gwpeer.MaxMessageBytes)
	tests := []struct {
		name   string
		lacks  func(int) bool // of the source
		has    []ServerFacts
		rounds int
		bytes  int
	}{
		{"equal", func(int) bool { return false }, nil, 1, 100},
		{"joins", func(int) bool { return true }, nil, 24, len(total) + 24*3000},
		{"lacks one", func(i int) bool { return i == 7 }, nil, 2, 20_000},
		{"has one more", func(int) bool { return false }, []ServerFacts{{Server: "more", Group: "g", Address: "10.8.8.8:1"}}, 2, 40_000},
		{"has others", func(int) bool { return true }, replacedServers(20, 3*servers, 3*servers+5000), 30, 3 * len(total)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			peer, own := NewDirectory(), NewDirectory()
			peer.Merge(source.All())
			var has []ServerFacts
			for i, f := range source.All() {
				if !tt.lacks(i) {
					has = append(has, f)
				}
			}
			own.Merge(has)
			own.Merge(tt.has)
			bytes := 0
			measure := func(v any) {
				b, err := gwpeer.Marshal(v)
				require.NoError(t, err)
				require.LessOrEqual(t, len(b), gwpeer.MaxMessageBytes)
				bytes += len(b)
			}
			rounds := 0
			for changed := true; changed; {
				rounds++
				changed, err = own.compare(func(msg pullDirectory) (directoryFacts, error) {
					measure(msg)
					peer.Merge(msg.Facts)
					a := peer.answer(msg)
					measure(a)
					own.Merge(a.Facts)
					return a, nil
				})
				require.NoError(t, err)
			}
			assert.Equal(t, peer.Digest(), own.Digest())
			assert.LessOrEqual(t, rounds, tt.rounds)
			assert.LessOrEqual(t, bytes, tt.bytes)
			t.Logf("%d comparisons, %d bytes", rounds, bytes)
		})
	}
}

// Guards against instances of an earlier release that get no facts, or none of this one's, while
// both releases run.
func TestDirectoryIsExchangedWithEarlierRelease(t *testing.T) {
	peer, own := NewDirectory(), NewDirectory()
	peer.Merge(replacedServers(9, 0, 9))
	own.Merge(replacedServers(9, 20, 25))
	assert.Len(t, peer.answer(pullDirectory{Digest: own.Digest()}).Facts, 9, "to an earlier release")
	for range 3 {
		_, err := own.compare(func(msg pullDirectory) (directoryFacts, error) {
			peer.Merge(msg.Facts)
			a := peer.answer(pullDirectory{Digest: msg.Digest, Facts: msg.Facts}) // an earlier release
			own.Merge(a.Facts)
			return a, nil
		})
		require.NoError(t, err)
	}
	assert.Equal(t, peer.Digest(), own.Digest())
}

// Guards against a directory whose indexes, which each change updates in part, differ from what
// its facts amount to.
func TestDirectoryIndexesFollowItsFacts(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 5))
		d := NewDirectory()
		for range 60 {
			var batch []ServerFacts
			for range 1 + r.IntN(4) {
				batch = append(batch, ServerFacts{
					Server: fmt.Sprint("s", r.IntN(12)), Group: fmt.Sprint("g", r.IntN(3)), DataCentre: "d", Address: fmt.Sprint("a:", 1+r.IntN(4)),
					Born: r.Uint64N(6), Version: r.Uint64N(40), Gone: r.IntN(5) == 0,
				})
			}
			if r.IntN(2) == 0 {
				d.Merge(batch)
			} else {
				d.Record(batch[0])
			}
		}
		got, whole := d.current.Load(), NewDirectory()
		whole.store(d.All())
		want := whole.current.Load()
		require.Equal(t, want.facts, got.facts, seed)
		require.Equal(t, want.servers, got.servers, seed)
		require.Equal(t, want.groups, got.groups, seed)
		require.Equal(t, want.digest, got.digest, seed)
		require.Equal(t, want.buckets, got.buckets, seed)
		require.Len(t, got.byAddress, len(want.byAddress), seed)
		for address, names := range want.byAddress {
			require.ElementsMatch(t, names, got.byAddress[address], seed)
		}
	}
}
