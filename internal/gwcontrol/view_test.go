package gwcontrol

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	gwexamples "gentianward.example/gentianward/examples"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwquorum"
	"gentianward.example/gentianward/pkg/gwsession"
)

// manifestText returns the text of the example manifest with the given number.
func manifestText(t require.TestingT, number uint64) []byte {
	text, err := gwexamples.Files.ReadFile("ecodour/manifest.jsonc")
	require.NoError(t, err)
	m, err := gwmanifest.ParseManifest("example", text)
	require.NoError(t, err)
	m = m.WithDefaults()
	m.Number = number
	text, err = json.Marshal(m)
	require.NoError(t, err)
	return text
}

// Guards against a manifest number, an index or a group's term that goes back when
// deltas arrive in any order or repeatedly.
func TestViewsNeverGoBack(t *testing.T) {
	var texts [4][]byte
	for n := range texts {
		texts[n] = manifestText(t, uint64(n+1))
	}
	rapid.Check(t, func(t *rapid.T) {
		v := NewViews(ManifestFormat{})
		for range rapid.IntRange(1, 30).Draw(t, "deltas") {
			old := v.Current()
			number := rapid.Uint64Range(1, 4).Draw(t, "number")
			index := rapid.Uint64Range(0, 20).Draw(t, "index")
			d := ViewDelta{
				From: rapid.Uint64Range(0, 20).Draw(t, "from"), Index: index, Number: number, Text: texts[number-1],
				Groups: []GroupView{{Group: "g", Term: index, Index: index}},
			}
			_, err := v.Apply(d)
			var e *Error
			if d.From > old.Index && (!errors.As(err, &e) || e.Kind != Gap) {
				t.Fatalf("got %v for a delta from %d at index %d, want a gap", err, d.From, old.Index)
			}
			now := v.Current()
			if now.Index < old.Index || now.Number < old.Number || now.Groups["g"].Term < old.Groups["g"].Term {
				t.Fatalf("got %d/%d/%d after %d/%d/%d", now.Index, now.Number, now.Groups["g"].Term, old.Index, old.Number, old.Groups["g"].Term)
			}
		}
	})
}

// Guards against a manifest that is altered on its way to a peer, and against a change of a
// large manifest that is sent whole to each peer.
func TestViewsEncodeSince(t *testing.T) {
	large := func(number uint64, routes int) []byte {
		text := manifestText(t, number)
		for i := range routes {
			// Trailing comments make the text as large and as varied as many routes do.
			text = fmt.Appendf(text, "\n// %016x\n", xxhash.Sum64(fmt.Appendf(nil, "route %d", i)))
		}
		return text
	}
	tests := []struct {
		name string
		// known is the number of manifests that the peer has received.
		known int
		// maxBytes bounds the encoded text, 0 for none.
		maxBytes int
		base     uint64
	}{
		{name: "peer without a manifest", known: 0},
		{name: "peer with the previous manifest", known: 2, maxBytes: 1024, base: 2},
		{name: "peer with an older manifest", known: 1, maxBytes: 2048, base: 1},
	}
	source := NewViews(ManifestFormat{})
	var deltas []ViewDelta
	for n := uint64(1); n <= 3; n++ {
		d := ViewDelta{Index: n, Number: n, Text: large(n, 1000+int(n))}
		deltas = append(deltas, d)
		_, err := source.Apply(d)
		require.NoError(t, err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			peer := NewViews(ManifestFormat{})
			for _, d := range deltas[:tt.known] {
				_, err := peer.Apply(d)
				require.NoError(t, err)
			}
			got, err := source.EncodeSince(peer.Current().Index, peer.Current().Number, peer.Current().Number)
			require.NoError(t, err)
			assert.Equal(t, tt.base, got.Base)
			assert.Less(t, len(got.Text), len(deltas[2].Text)*2/3)
			if tt.maxBytes > 0 {
				assert.LessOrEqual(t, len(got.Text), tt.maxBytes)
			}
			_, err = peer.ApplyEncoded(got)
			require.NoError(t, err)
			assert.Equal(t, deltas[2].Text, peer.Current().Text)
			assert.Equal(t, uint64(3), peer.Current().Number)
		})
	}
}

// Guards against the use of a manifest that cannot be decoded or differs from the accepted
// one.
func TestViewsApplyEncodedRefuses(t *testing.T) {
	source, peer := NewViews(ManifestFormat{}), NewViews(ManifestFormat{})
	for n := uint64(1); n <= 2; n++ {
		d := ViewDelta{Index: n, Number: n, Text: manifestText(t, n)}
		_, err := source.Apply(d)
		require.NoError(t, err)
		if n == 1 {
			_, err = peer.Apply(d)
			require.NoError(t, err)
		}
	}
	good, err := source.EncodeSince(1, 1, 1)
	require.NoError(t, err)
	tests := []struct {
		name string
		edit func(*ViewDelta)
	}{
		{name: "not compressed", edit: func(d *ViewDelta) { d.Text = []byte("not compressed") }},
		{name: "other digest", edit: func(d *ViewDelta) { d.Digest++ }},
		{name: "unknown base", edit: func(d *ViewDelta) { d.Base = 7 }},
		{name: "no base", edit: func(d *ViewDelta) { d.Base = 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := good
			tt.edit(&d)
			_, err := peer.ApplyEncoded(d)
			require.Error(t, err)
			assert.Equal(t, uint64(1), peer.Current().Number)
		})
	}
	whole, err := source.EncodeSince(1, 1, 0)
	require.NoError(t, err)
	assert.Zero(t, whole.Base, "a peer of an earlier release names no base")
	_, err = peer.ApplyEncoded(good)
	require.NoError(t, err)
	assert.Equal(t, uint64(2), peer.Current().Number)
}

// servers returns the facts of servers of a group.
func servers(leaving map[string]bool, names ...string) []ServerFacts {
	var out []ServerFacts
	for _, name := range names {
		out = append(out, ServerFacts{Server: name, Group: "g", Leaving: leaving[name]})
	}
	return out
}

// copyAt returns the answer of a server that holds the term of its position.
func copyAt(server string, p gwsession.Position) Copy {
	return Copy{Server: server, Position: p, Held: p.Term}
}

// Guards against the promotion of a server that may lack an acknowledged write.
func TestCandidates(t *testing.T) {
	at := func(offset uint64) gwsession.Position { return gwsession.Position{Term: 1, Offset: offset} }
	g := gwstate.Group{Name: "g", Primary: "a", Term: 1, NextTerm: 2, Start: at(3)}
	tests := []struct {
		name      string
		copies    []Copy
		leaving   map[string]bool
		allowLoss bool
		want      string
	}{
		{name: "both other copies", copies: []Copy{copyAt("b", at(4)), copyAt("c", at(6))}, want: "c"},
		{name: "one other copy", copies: []Copy{copyAt("c", at(6))}, want: ""},
		{name: "one other copy and loss allowed", copies: []Copy{copyAt("c", at(6))}, allowLoss: true, want: "c"},
		{name: "old primary alone", copies: []Copy{copyAt("a", at(9))}, want: "a"},
		{name: "old primary is preferred", copies: []Copy{copyAt("b", at(9)), copyAt("a", at(9))}, want: "a"},
		{name: "old primary is leaving, a replica has caught up", copies: []Copy{copyAt("a", at(9)), copyAt("b", at(9)), copyAt("c", at(5))}, leaving: map[string]bool{"a": true}, want: "b"},
		{name: "old primary is leaving, replicas are behind", copies: []Copy{copyAt("a", at(9)), copyAt("b", at(8))}, leaving: map[string]bool{"a": true}, want: ""},
		{name: "old primary lost its data", copies: []Copy{copyAt("a", at(0))}, want: ""},
		{name: "old primary is behind the only other copy", copies: []Copy{copyAt("a", at(4)), copyAt("b", at(9))}, want: ""},
		{name: "old primary is behind both other copies", copies: []Copy{copyAt("a", at(4)), copyAt("b", at(9)), copyAt("c", at(5))}, want: "b"},
		{name: "no server answers", allowLoss: true, want: ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEvidence(g)
			e.AddServers(servers(tt.leaving, "a", "b", "c"))
			for _, c := range tt.copies {
				e.Add(c)
			}
			got, err := e.Candidates(tt.copies, gwmanifest.DefaultCopies, tt.allowLoss, true)
			if tt.want == "" {
				assert.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, tt.want, got[0].Server)
		})
	}
}

// Guards against instances that keep different facts of a server because they received
// them in different order.
func TestDirectoryMergeIsOrderIndependent(t *testing.T) {
	a := ServerFacts{Server: "s", Group: "g", Address: "127.0.0.1:1", Version: 1}
	b := ServerFacts{Server: "s", Group: "g", Address: "127.0.0.1:2", Version: 1}
	c := ServerFacts{Server: "s", Group: "g", Address: "127.0.0.1:3", Version: 2}
	first, second := NewDirectory(), NewDirectory()
	first.Merge([]ServerFacts{a, b, c})
	for _, f := range []ServerFacts{c, b, a} {
		second.Merge([]ServerFacts{f})
	}
	assert.Equal(t, first.Digest(), second.Digest())
	got, _ := second.Server("s")
	assert.Equal(t, c, got)
}

// Guards against a leader that stays in a region from which every entry needs a round trip
// to another region, and against leaders that transfer the leadership back and forth.
func TestPreferredLeader(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	region := func(id string) (string, bool) { r, ok := regions[id]; return r, ok }
	peers := func(ids ...string) []gwquorum.PeerStatus {
		var out []gwquorum.PeerStatus
		for _, id := range ids {
			out = append(out, gwquorum.PeerStatus{Instance: id, Active: true})
		}
		return out
	}
	tests := []struct {
		name string
		st   gwquorum.Status
		want string
	}{
		{name: "leader alone in its region", st: gwquorum.Status{ID: "c", Voters: []string{"a", "b", "c"}, Peers: peers("a", "b")}, want: "a"},
		{name: "leader in the region with more voters", st: gwquorum.Status{ID: "a", Voters: []string{"a", "b", "c"}, Peers: peers("b", "c")}},
		{name: "others do not answer", st: gwquorum.Status{ID: "c", Voters: []string{"a", "b", "c"}}},
		{name: "unknown region", st: gwquorum.Status{ID: "x", Voters: []string{"a", "b", "x"}, Peers: peers("a", "b")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.want, preferredLeader(tt.st, region)) })
	}
}
