package gwtrace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
)

func writeEvent(id string, o Outcome, end time.Duration) Event {
	return Event{
		Step:  Step{Session: "s", Op: OpWrite, Table: "visit", ID: id, Subject: "home-1", Expect: Expected{AtMostOnce: true, MayBeUnknown: true}},
		Group: "g", Outcome: o, End: end,
	}
}

func readEvent(sent time.Duration, rows ...Row) Event {
	stale := gwmanifest.NewDuration(time.Second)
	return Event{
		Step:  Step{Session: "s", Op: OpRead, Table: "visit", ID: "r", Subject: "home-1", Expect: Expected{Staleness: &stale, ReadYourWrites: true}},
		Group: "g", Outcome: Done, LastAttempt: sent, Nonce: "n", Echo: "n", Rows: rows,
	}
}

func row(id string) Row { return Row{ID: id, Subject: "home-1", Body: recordBody(id)} }

// Guards against a checker that misses a difference or reports a false one.
func TestCheck(t *testing.T) {
	foreign := readEvent(0)
	foreign.Echo = "other"
	other := readEvent(3 * time.Second)
	other.Step.Session = "t"
	tests := []struct {
		name   string
		events []Event
		rows   []Row
		want   []string
	}{
		{"done", []Event{writeEvent("a", Done, 1)}, []Row{row("a")}, nil},
		{"unknown and absent", []Event{writeEvent("a", Unknown, 1)}, nil, nil},
		{"unknown and present", []Event{writeEvent("a", Unknown, 1)}, []Row{row("a")}, nil},
		{"lost", []Event{writeEvent("a", Done, 1)}, nil, []string{Lost}},
		{"doubled", []Event{writeEvent("a", Unknown, 1)}, []Row{row("a"), row("a")}, []string{Doubled}},
		{"not run", []Event{writeEvent("a", NotRun, 1)}, []Row{row("a")}, []string{NotRunPresent}},
		{"phantom", nil, []Row{row("a")}, []string{Phantom}},
		{"torn", []Event{writeEvent("a", Done, 1)}, []Row{{ID: "a", Subject: "home-1", Body: "a"}}, []string{Torn}},
		{"foreign", []Event{foreign}, nil, []string{ForeignAnswer}},
		{"own write", []Event{writeEvent("a", Done, 1), readEvent(2)}, []Row{row("a")}, []string{OwnWriteMissing}},
		{"read before the write ended", []Event{writeEvent("a", Done, 3), readEvent(2)}, []Row{row("a")}, nil},
		{"stale", []Event{writeEvent("a", Done, 1), other}, []Row{row("a")}, []string{Stale}},
		{"read what was not run", []Event{writeEvent("a", NotRun, 1), readEvent(2, row("a"))}, nil, []string{NotRunPresent}},
		{"failed", []Event{writeEvent("a", Failed, 1)}, nil, []string{SQLError}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, d := range Check(tt.events, nil, Content{"g": {"visit": tt.rows}}) {
				got = append(got, d.Kind)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against a slot check that accepts the loss of an acknowledged hold, or
// that reports a hold with an unknown outcome, which may or may not take effect.
func TestCheckSlots(t *testing.T) {
	hold := slotOp{group: "g", slot: "s", write: true, old: "", value: "a", swapped: true, call: 1, end: 2}
	unknown := hold
	unknown.unknown = true
	read := func(v string) slotOp { return slotOp{group: "g", slot: "s", value: v, call: 3, end: 4, client: 1} }
	tests := []struct {
		name string
		ops  []slotOp
		want int
	}{
		{"seen", []slotOp{hold, read("a")}, 0},
		{"lost", []slotOp{hold, read("")}, 1},
		{"unknown and seen", []slotOp{unknown, read("a")}, 0},
		{"unknown and not seen", []slotOp{unknown, read("")}, 0},
		{"never held", []slotOp{hold, read("b")}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Len(t, checkSlots(tt.ops), tt.want) })
	}
}
