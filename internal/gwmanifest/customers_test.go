package gwmanifest

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a key that gives access as another customer or to none, and against keys that
// are kept beside the manifest's text.
func TestCustomerOfKey(t *testing.T) {
	m := &Manifest{Customers: []Customer{
		{Name: "a", Keys: []string{"a1", "a2", "both", "a2"}, Rate: 10, Burst: 20, Priority: 2},
		{Name: "b", Keys: []string{"b1", "both", ""}},
		{Name: "c"},
		{Name: "", Keys: []string{"unnamed"}},
	}}
	x := m.Index()
	tests := []struct {
		key, want string
		ok        bool
	}{
		{"a1", "a", true},
		{"a2", "a", true},
		{"b1", "b", true},
		{"both", "", false},
		{"", "", false},
		{"unnamed", "", false},
		{"A1", "", false},
		{"a1 ", "", false},
		{"c", "", false},
	}
	for _, tt := range tests {
		got, ok := x.CustomerOfKey(tt.key)
		assert.Equal(t, tt.ok, ok, "key %q", tt.key)
		assert.Equal(t, tt.want, got, "key %q", tt.key)
	}
	c, ok := x.Customer("a")
	require.True(t, ok)
	assert.Equal(t, Customer{Name: "a", Rate: 10, Burst: 20, Priority: 2}, c)
	assert.NotContains(t, fmt.Sprintf("%+v", x.Manifest()), "both")
	assert.Contains(t, m.Customers[0].Keys, "both", "the manifest itself is unchanged")
}

// Guards against a manifest without customers that needs keys, and against an empty list of
// customers that lets every caller in.
func TestNeedsKeys(t *testing.T) {
	tests := []struct {
		text string
		want bool
	}{{`{}`, false}, {`{"customers": null}`, false}, {`{"customers": []}`, true}, {`{"customers": [{"name": "a"}]}`, true}}
	for _, tt := range tests {
		var m Manifest
		require.NoError(t, json.Unmarshal([]byte(tt.text), &m))
		assert.Equal(t, tt.want, m.Index().NeedsKeys(), tt.text)
		again, err := json.Marshal(m)
		require.NoError(t, err)
		m = Manifest{}
		require.NoError(t, json.Unmarshal(again, &m))
		assert.Equal(t, tt.want, m.Index().NeedsKeys(), "%s, written and read", tt.text)
		_, ok := m.Index().CustomerOfKey("k")
		assert.False(t, ok)
	}
}

// Guards against customers whose look-up is slow where each session opens with one.
func BenchmarkCustomerOfKey(b *testing.B) {
	m := &Manifest{}
	for i := range 78 {
		m.Customers = append(m.Customers, Customer{Name: fmt.Sprint("c", i), Keys: []string{fmt.Sprint("k", i), fmt.Sprint("l", i)}})
	}
	x := m.Index()
	for b.Loop() {
		x.CustomerOfKey("l40")
	}
}
