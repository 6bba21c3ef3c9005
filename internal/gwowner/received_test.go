package gwowner

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Guards against the answer of a server that started again without data, taken for that of
// its earlier run, and against the refusal of one that followed a later primary.
func TestLostData(t *testing.T) {
	report := func(held, term, offset uint64) gwbackend.Report {
		return gwbackend.Report{Term: held, Position: gwsession.Position{Term: term, Offset: offset}}
	}
	tests := []struct {
		name    string
		earlier []gwbackend.Report
		answer  gwbackend.Report
		want    bool
	}{
		{name: "first answer", answer: report(2, 2, 7)},
		{name: "same position", earlier: []gwbackend.Report{report(2, 2, 7)}, answer: report(2, 2, 7)},
		{name: "empty", earlier: []gwbackend.Report{report(2, 2, 7)}, answer: report(0, 0, 0), want: true},
		{name: "empty, and polled before it was asked", earlier: []gwbackend.Report{report(2, 2, 7), report(0, 0, 0)}, answer: report(0, 0, 0), want: true},
		{name: "has received a part again", earlier: []gwbackend.Report{report(2, 2, 7)}, answer: report(2, 1, 5), want: true},
		{name: "rolled back by a later primary", earlier: []gwbackend.Report{report(1, 1, 7)}, answer: report(2, 1, 5)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r received
			for _, e := range tt.earlier {
				r.record(e)
			}
			assert.Equal(t, tt.want, lostData(r.latest(), tt.answer))
		})
	}
}
