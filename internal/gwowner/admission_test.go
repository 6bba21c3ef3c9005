package gwowner

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/internal/gwbackend"
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
