package gwcontrol

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Guards against a wait that nothing can end and that looks like one which a server ends by
// its return, and against the opposite, which refuses requests for a group that will be served.
func TestWait(t *testing.T) {
	at := func(offset uint64) gwsession.Position { return gwsession.Position{Term: 1, Offset: offset} }
	leaving := func(copies []gwstate.CopyRef, i int) []gwstate.CopyRef {
		copies[i].Leaving = true
		return copies
	}
	tests := []struct {
		name     string
		recorded []gwstate.CopyRef
		servers  []ServerFacts
		answers  []Copy
		want     Wait
	}{
		{
			name: "nobody is back", recorded: at10("a", "b", "c"), servers: returnedAt(at10("a", "b", "c")), answers: []Copy{copyAt("b", at(5))},
			want: Wait{
				Missing: []string{"a at a:1 does not answer", "c at c:1 does not answer"},
				EndedBy: "the return of a with its log, or answers of c",
			},
		},
		{
			name: "one copy has left, the old primary may come back", recorded: leaving(at10("a", "b", "c"), 2), servers: returnedAt(at10("a", "b")), answers: []Copy{copyAt("b", at(5))},
			want: Wait{
				Missing: []string{"a at a:1 does not answer", "c at c:1 has left with its data"},
				EndedBy: "the return of a with its log",
			},
		},
		{
			name: "one copy has left, the old primary came back without its log", recorded: leaving(at10("a", "b", "c"), 2), servers: returnedAt(at10("b"), "a"),
			answers: []Copy{copyAt("b", at(5)), {Server: "a2"}},
			want: Wait{
				Missing: []string{"a at a:1 has come back as a2, whose answer does not show the log", "c at c:1 has left with its data"},
				EndedBy: "an operator who allows loss (allowLoss)", Final: true,
			},
		},
		{
			name: "both started again under their ids", recorded: at10("a", "b", "c"),
			servers: []ServerFacts{{Server: "a", Born: 20, Address: "a:1"}, {Server: "b", Born: 10, Address: "b:1"}, {Server: "c", Born: 20, Address: "c:1"}},
			answers: []Copy{{Server: "a"}, copyAt("b", at(5)), {Server: "c"}},
			want: Wait{
				Missing: []string{"a at a:1 has started again without its data", "c at c:1 has started again without its data"},
				EndedBy: "an operator who allows loss (allowLoss)", Final: true,
			},
		},
		{
			name: "the old primary is back and does not answer yet", recorded: leaving(at10("a", "b", "c"), 2), servers: returnedAt(at10("b"), "a"), answers: []Copy{copyAt("b", at(5))},
			want: Wait{
				Missing: []string{"a at a:1 has come back as a2, which does not answer", "a2 at a:1 does not answer", "c at c:1 has left with its data"},
				EndedBy: "the return of a with its log",
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := NewEvidence(gwstate.Group{Name: "g", Primary: "a", Term: 1, NextTerm: 2, Start: at(3), Copies: tt.recorded})
			e.AddServers(tt.servers)
			for _, c := range tt.answers {
				e.Add(c)
			}
			_, err := e.Candidates(tt.answers, gwmanifest.DefaultCopies, false, false)
			assert.Error(t, err)
			assert.Equal(t, tt.want, e.Wait(gwmanifest.DefaultCopies))
		})
	}
}

// Guards against a wait for the best copy, which has left, that is told as one that can end.
func TestWaitForBestCopy(t *testing.T) {
	at := func(offset uint64) gwsession.Position { return gwsession.Position{Term: 1, Offset: offset} }
	e := NewEvidence(gwstate.Group{Name: "g", Primary: "a", Term: 1, NextTerm: 2, Start: at(3), Copies: at10("a", "b", "c")})
	all := returnedAt(at10("b", "c"), "a")
	all[1].Leaving = true
	e.AddServers(all)
	for _, c := range []Copy{copyAt("b", at(5)), copyAt("c", at(9)), {Server: "a2"}} {
		e.Add(c)
	}
	assert.Equal(t, Wait{
		Missing: []string{"c at c:1 has answered, but is leaving"}, EndedBy: "an operator who allows loss (allowLoss)", Final: true,
	}, e.Wait(gwmanifest.DefaultCopies))
}
