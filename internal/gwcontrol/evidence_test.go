package gwcontrol

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Guards against a choice that takes the first two answers as proof while a group has more
// members, that drops the old primary's position, or that forgets in one attempt what a
// server has answered in an earlier one.
func TestEvidence(t *testing.T) {
	at := func(offset uint64) gwsession.Position { return gwsession.Position{Term: 1, Offset: offset} }
	g := gwstate.Group{Name: "g", Primary: "a", Term: 1, NextTerm: 2, Start: at(3)}
	type attempt struct {
		servers []ServerFacts
		copies  []Copy
	}
	tests := []struct {
		name     string
		recorded []gwstate.CopyRef
		start    gwsession.Position // zero: 1/3
		attempts []attempt
		want     string
	}{
		{
			name:     "two of three others are behind the old primary",
			attempts: []attempt{{servers(nil, "a", "b", "c", "d"), []Copy{copyAt("a", at(9)), copyAt("b", at(5)), copyAt("c", at(5))}}},
			want:     "a",
		},
		{
			name:     "the same, while the old primary is leaving",
			attempts: []attempt{{servers(map[string]bool{"a": true}, "a", "b", "c", "d"), []Copy{copyAt("a", at(9)), copyAt("b", at(5)), copyAt("c", at(5))}}},
		},
		{
			name:     "the third one has caught up",
			attempts: []attempt{{servers(map[string]bool{"a": true}, "a", "b", "c", "d"), []Copy{copyAt("a", at(9)), copyAt("b", at(5)), copyAt("d", at(9))}}},
			want:     "d",
		},
		{
			name:     "two of three others, without the old primary",
			attempts: []attempt{{servers(nil, "a", "b", "c", "d"), []Copy{copyAt("b", at(5)), copyAt("c", at(6))}}},
		},
		{
			name:     "all of three others, without the old primary",
			attempts: []attempt{{servers(nil, "a", "b", "c", "d"), []Copy{copyAt("b", at(5)), copyAt("c", at(6)), copyAt("d", at(6))}}},
			want:     "c",
		},
		{
			name:     "no replica has what the old primary had when it was promoted",
			attempts: []attempt{{servers(nil, "a", "b", "c"), []Copy{copyAt("b", at(2)), copyAt("c", at(2))}}},
		},
		{
			name:     "a replica has received nothing since the term began",
			attempts: []attempt{{servers(nil, "a", "b", "c"), []Copy{copyAt("b", gwsession.Position{Offset: 3}), copyAt("c", at(2))}}},
			want:     "b",
		},
		{
			name: "the best copy was leaving and has ended",
			attempts: []attempt{
				{servers(map[string]bool{"c": true}, "a", "b", "c", "d"), []Copy{copyAt("b", at(5)), copyAt("c", at(9)), copyAt("d", at(5))}},
				{servers(nil, "a", "b", "d"), []Copy{copyAt("b", at(5)), copyAt("d", at(5))}},
			},
		},
		{
			name: "the old primary comes back after that",
			attempts: []attempt{
				{servers(map[string]bool{"c": true}, "a", "b", "c", "d"), []Copy{copyAt("b", at(5)), copyAt("c", at(9)), copyAt("d", at(5))}},
				{servers(nil, "a", "b", "d"), []Copy{copyAt("a", at(9)), copyAt("b", at(5)), copyAt("d", at(5))}},
			},
			want: "a",
		},
		{
			name:     "a copy of the term has ended before the change, or another leader asked it",
			recorded: []gwstate.CopyRef{{Server: "a"}, {Server: "b"}, {Server: "c"}},
			attempts: []attempt{{servers(nil, "a", "b", "d"), []Copy{copyAt("b", at(5)), copyAt("d", at(5))}}},
		},
		{
			name:     "a copy came back without its data",
			recorded: []gwstate.CopyRef{{Server: "a"}, {Server: "b"}, {Server: "c", Born: 7}},
			attempts: []attempt{{[]ServerFacts{{Server: "a"}, {Server: "b"}, {Server: "c", Born: 8}}, []Copy{copyAt("b", at(5)), copyAt("c", at(0))}}},
		},
		{
			name: "a copy was promoted in an earlier attempt and has ended",
			attempts: []attempt{
				{servers(nil, "a", "b", "c"), []Copy{copyAt("b", at(5)), copyAt("c", at(5))}},
				{servers(nil, "a", "b", "c"), []Copy{copyAt("b", gwsession.Position{Term: 2, Offset: 6})}},
				{servers(nil, "a", "c"), []Copy{copyAt("c", at(5))}},
			},
			want: "c",
		},
		{
			name:     "the old primary crashed and came back with its log",
			recorded: at10("a", "b", "c"),
			attempts: []attempt{{returnedAt(at10("b"), "a"), []Copy{copyAt("b", at(5)), copyAt("a2", at(9))}}},
			want:     "a2",
		},
		{
			name:     "the same, and the leader knows it as leaving",
			recorded: []gwstate.CopyRef{{Server: "a", Born: 10, Address: "a:1", Leaving: true}, {Server: "b", Born: 10}, {Server: "c", Born: 10}},
			attempts: []attempt{{returnedAt(at10("b"), "a"), []Copy{copyAt("b", at(5)), copyAt("a2", at(9))}}},
		},
		{
			name:     "the old primary came back without its log",
			recorded: at10("a", "b", "c"),
			attempts: []attempt{{returnedAt(at10("b"), "a"), []Copy{copyAt("b", at(5)), {Server: "a2"}}}},
		},
		{
			name:     "the old primary came back without its log and received from a server that an earlier attempt promoted",
			recorded: at10("a", "b", "c"),
			attempts: []attempt{{returnedAt(at10("b"), "a"), []Copy{copyAt("b", at(5)), {Server: "a2", Position: at(7), Held: 2}}}},
		},
		{
			name:     "the old primary came back behind a replica",
			recorded: at10("a", "b", "c"),
			attempts: []attempt{{returnedAt(at10("b"), "a"), []Copy{copyAt("b", at(5)), copyAt("a2", at(4))}}},
		},
		{
			name:     "a server that was started before the old primary has its address",
			recorded: at10("a", "b", "c"),
			attempts: []attempt{{
				[]ServerFacts{{Server: "a2", Born: 9, Address: "a:1"}, {Server: "b", Born: 10, Address: "b:1"}},
				[]Copy{copyAt("b", at(5)), copyAt("a2", at(9))},
			}},
		},
		{
			name:     "the address of the old primary was not recorded",
			recorded: []gwstate.CopyRef{{Server: "a", Born: 10}, {Server: "b", Born: 10}, {Server: "c", Born: 10}},
			attempts: []attempt{{returnedAt(at10("b"), "a"), []Copy{copyAt("b", at(5)), copyAt("a2", at(9))}}},
		},
		{
			name:     "the starts of servers are not announced",
			recorded: []gwstate.CopyRef{{Server: "a", Address: "a:1"}, {Server: "b"}, {Server: "c"}},
			attempts: []attempt{{
				[]ServerFacts{{Server: "a2", Address: "a:1"}, {Server: "b"}},
				[]Copy{copyAt("b", at(5)), copyAt("a2", at(9))},
			}},
		},
		{
			name:     "the old primary started again under its id, without data, in a term without writes before it",
			recorded: at10("a", "b", "c"),
			start:    gwsession.Position{Term: 1},
			attempts: []attempt{{[]ServerFacts{{Server: "a", Born: 20, Address: "a:1"}, {Server: "b", Born: 10}}, []Copy{{Server: "a"}}}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			group := g
			group.Copies = tt.recorded
			if tt.start.Term > 0 {
				group.Start = tt.start
			}
			e := NewEvidence(group)
			var got []Copy
			var err error
			for _, a := range tt.attempts {
				e.AddServers(a.servers)
				for _, c := range a.copies {
					e.Add(c)
				}
				got, err = e.Candidates(a.copies, gwmanifest.DefaultCopies, false, false)
			}
			if tt.want == "" {
				assert.Error(t, err, "candidates %v", got)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, tt.want, got[0].Server)
		})
	}
}

// at10 returns the runs of servers that were all started at 10, each at an address of its own.
func at10(names ...string) []gwstate.CopyRef {
	var out []gwstate.CopyRef
	for _, name := range names {
		out = append(out, gwstate.CopyRef{Server: name, Born: 10, Address: name + ":1"})
	}
	return out
}

// returnedAt returns the facts of the runs and of later runs at the addresses of those that
// are named crashed.
func returnedAt(runs []gwstate.CopyRef, crashed ...string) []ServerFacts {
	var out []ServerFacts
	for _, c := range runs {
		out = append(out, ServerFacts{Server: c.Server, Born: c.Born, Address: c.Address})
	}
	for _, name := range crashed {
		out = append(out, ServerFacts{Server: name + "2", Born: 20, Address: name + ":1"})
	}
	return out
}

// Guards against a change of primary that waits for a run of a server which crashed before it
// held the term, and against proof by a run that lost its log.
func TestEvidenceOfReturnedReplica(t *testing.T) {
	g := gwstate.Group{
		Name: "g", Primary: "b", Term: 2, NextTerm: 3, Start: gwsession.Position{Term: 2, Offset: 40}, Copies: at10("a", "b", "c"),
	}
	best := Copy{Server: "c", Position: gwsession.Position{Term: 2, Offset: 47}, Held: 2}
	tests := []struct {
		name     string
		returned Copy
		want     string
	}{
		{name: "with the log of the earlier term", returned: Copy{Position: gwsession.Position{Term: 1, Offset: 40}, Held: 1}, want: "c"},
		{name: "with writes of the earlier term that were dropped", returned: Copy{Position: gwsession.Position{Term: 1, Offset: 43}, Held: 1}, want: "c"},
		{name: "without its log", returned: Copy{}},
		{name: "with a part of the log of the earlier term", returned: Copy{Position: gwsession.Position{Term: 1, Offset: 39}, Held: 1}},
		{name: "receives from the old primary and has no write of the term", returned: Copy{Position: gwsession.Position{Term: 1, Offset: 40}, Held: 2}},
		{name: "has received from the old primary", returned: Copy{Position: gwsession.Position{Term: 2, Offset: 45}, Held: 2}},
		{name: "has received from a server of a later term", returned: Copy{Position: gwsession.Position{Term: 2, Offset: 47}, Held: 3}},
		{name: "its owner runs an earlier release", returned: Copy{Position: gwsession.Position{Term: 1, Offset: 40}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEvidence(g)
			e.AddServers(returnedAt(at10("c"), "a"))
			tt.returned.Server = "a2"
			copies := []Copy{best, tt.returned}
			for _, c := range copies {
				e.Add(c)
			}
			got, err := e.Candidates(copies, gwmanifest.DefaultCopies, false, false)
			if tt.want == "" {
				assert.Error(t, err, "candidates %v", got)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, tt.want, got[0].Server)
		})
	}
}
