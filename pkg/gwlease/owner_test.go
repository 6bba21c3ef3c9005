package gwlease

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// deployment returns n instances in 12 data centres of 3 regions.
func deployment(n int) []Instance {
	live := make([]Instance, n)
	for i := range live {
		dc := i % 12
		live[i] = Instance{
			Name:       fmt.Sprintf("instance-%04d", i),
			DataCentre: fmt.Sprintf("dc-%02d", dc),
			Region:     fmt.Sprintf("region-%d", dc/4),
		}
	}
	return live
}

// Guards against owners outside the server's data centre or region while a nearer instance is live.
func TestOwnerPrefersNearInstances(t *testing.T) {
	live := deployment(24)
	tests := []struct {
		name, dataCentre, region string
		want                     func(Instance) bool
	}{
		{"data centre", "dc-05", "region-1", func(i Instance) bool { return i.DataCentre == "dc-05" }},
		{"region", "dc-99", "region-1", func(i Instance) bool { return i.Region == "region-1" }},
		{"all", "dc-99", "region-9", func(Instance) bool { return true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := Owner("server-1", tt.dataCentre, tt.region, live)
			assert.True(t, ok)
			for _, i := range live {
				if i.Name == got {
					assert.True(t, tt.want(i), "owner %v", i)
				}
			}
		})
	}
	_, ok := Owner("server-1", "dc-05", "region-1", []Instance(nil))
	assert.False(t, ok)
}

// Guards against a departure that moves servers of instances that stayed, and against a wrong second choice.
func TestOwnerMovesOnlyServersOfDeparted(t *testing.T) {
	live := deployment(48)
	gone := live[7]
	rest := append(append([]Instance{}, live[:7]...), live[8:]...)
	before, after := NewPlacement(live), NewPlacement(rest)
	moved := 0
	for i := range 2000 {
		server := fmt.Sprintf("server-%d", i)
		dc := i % 12
		place := []string{fmt.Sprintf("dc-%02d", dc), fmt.Sprintf("region-%d", dc/4)}
		owners := before.Owners(server, place[0], place[1], 2)
		got, _ := after.Owner(server, place[0], place[1])
		want := owners[0]
		if want == gone.Name {
			want = owners[1]
			moved++
		}
		assert.Equal(t, want, got)
	}
	assert.Greater(t, moved, 0)
	assert.Len(t, before.Owners("server", "dc-01", "region-0", 100), len(live))
}
