package gwowner

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/pkg/gwlimit"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// Guards against a queue that takes the next try of a refused caller for a new operation, or
// other operations for its next try.
func TestOperationKey(t *testing.T) {
	statement := func(class, id, text string) *Request {
		return &Request{Class: class, Request: gwbackend.Request{Statement: &gwbackend.StatementRequest{ID: id, Text: text}}}
	}
	message := func(key, text string) *Request {
		return &Request{Class: "k", Key: key, Request: gwbackend.Request{Messages: []byte(text)}}
	}
	tests := []struct {
		name string
		a, b *Request
		same bool
	}{
		{name: "new id", a: statement("k", "1", "FETCH i"), b: statement("k", "2", "FETCH i"), same: true},
		{name: "other text", a: statement("k", "1", "FETCH i"), b: statement("k", "1", "FETCH j")},
		{name: "other class", a: statement("k", "1", "FETCH i"), b: statement("m", "1", "FETCH i")},
		{name: "same messages", a: message("", "select 1"), b: message("", "select 1"), same: true},
		{name: "other messages", a: message("", "select 1"), b: message("", "select 2")},
		{name: "same request key", a: message("pay-1", "select 1"), b: message("pay-1", "select 2"), same: true},
		{name: "other request key", a: message("pay-1", "select 1"), b: message("pay-2", "select 1")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.same, operationKey(tt.a) == operationKey(tt.b))
			assert.NotZero(t, operationKey(tt.a))
		})
	}
}

// Guards against requests that a server turned slow refuses with time left, and that are not offered to
// another server, as their time seems to be over.
func TestShedRequestIsOfferedElsewhere(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newAdmission(clock, 1)
	item := func() *gwlimit.Item {
		return &gwlimit.Item{Class: "k", Deadline: clock.Now().Add(800 * time.Millisecond), MaxWait: 400 * time.Millisecond}
	}
	hold := func(took time.Duration) {
		release, err := a.acquire(t.Context(), item())
		assert.NoError(t, err)
		clock.Advance(took)
		release()
	}
	for range 100 {
		hold(10 * time.Millisecond)
	}
	running := item()
	w, err := a.push(running)
	assert.Nil(t, w)
	assert.NoError(t, err)
	var waiters []*slotWaiter
	for {
		w, err := a.push(item())
		if err != nil {
			break
		}
		waiters = append(waiters, w)
	}
	a.mu.Lock()
	for range 40 {
		a.queue.RecordServiceTime("k", 100*time.Millisecond)
	}
	a.mu.Unlock()
	clock.Advance(100 * time.Millisecond)
	a.release(running, 100*time.Millisecond)
	refused := 0
	for _, w := range waiters {
		if w.err != nil {
			assert.Equal(t, gwoutcome.QueueFull, admissionEvent(w.err))
			refused++
		}
	}
	assert.Greater(t, refused, len(waiters)/2)
}
