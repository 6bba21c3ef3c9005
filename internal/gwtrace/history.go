package gwtrace

import (
	"sync"
	"time"
)

// Row is one record as stored or returned by a read.
type Row struct{ ID, Subject, Body string }

// Event is the result of one step as observed by its session. Times are offsets from
// the start of the replay.
type Event struct {
	Step    Step    `json:"step"`
	Caller  string  `json:"caller"`
	Group   string  `json:"group"`
	Outcome Outcome `json:"outcome"`
	// FirstAttempt and LastAttempt are the start times of the first and the last
	// attempt. End is when the session learned the outcome.
	FirstAttempt time.Duration `json:"first"`
	LastAttempt  time.Duration `json:"sent"`
	End          time.Duration `json:"end"`
	// Attempts is the number of attempts, NotRuns the number rejected as not run,
	// and Unknowns the number with an unknown outcome.
	Attempts int    `json:"attempts"`
	NotRuns  int    `json:"notRuns"`
	Unknowns int    `json:"unknowns"`
	Error    string `json:"error,omitempty"`
	Instance string `json:"instance"`
	// Nonce is the value that a read sent, Echo the one that its response returned.
	Nonce string `json:"-"`
	Echo  string `json:"-"`
	Rows  []Row  `json:"-"`
}

// History collects the events and slot operations of all sessions.
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
