package gwtrace

import (
	"sync"
	"time"
)

// Row is one record of an answer.
type Row struct{ ID, Subject, Body string }

// Event is one step as its session saw it. Times count from the start of the
// replay.
type Event struct {
	Step    Step    `json:"step"`
	Caller  string  `json:"caller"`
	Group   string  `json:"group"`
	Outcome Outcome `json:"outcome"`
	// FirstAttempt is when the first attempt began, LastAttempt when the last one did, and
	// End when the session knew the outcome.
	FirstAttempt time.Duration `json:"first"`
	LastAttempt  time.Duration `json:"sent"`
	End          time.Duration `json:"end"`
	// Attempts counts the attempts, NotRuns those that were rejected as not run,
	// and Unknowns those with an unknown outcome.
	Attempts int    `json:"attempts"`
	NotRuns  int    `json:"notRuns"`
	Unknowns int    `json:"unknowns"`
	Error    string `json:"error,omitempty"`
	Instance string `json:"instance"`
	// Nonce is the mark that a read sent, Echo the one in its answer.
	Nonce string `json:"-"`
	Echo  string `json:"-"`
	Rows  []Row  `json:"-"`
}

// History collects what all sessions saw.
type History struct {
	mu     sync.Mutex
	events []Event
	slots  []slotOp
}

func (h *History) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *History) addSlot(o slotOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slots = append(h.slots, o)
}
