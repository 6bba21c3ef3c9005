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

// Guards against owners outside of the server's data centre or region while a nearer
// instance is live.
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

// Guards against moving servers of instances that stay when another one leaves, and
// against a wrong second choice.
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

// Guards against one instance that owns several servers of a data centre while others own
// none: its link may not have the capacity for two primaries.
func TestSpread(t *testing.T) {
	instances := func(n int) []Instance {
		var out []Instance
		for i := range n {
			out = append(out, Instance{Name: fmt.Sprintf("i%d", i), DataCentre: "a", Region: "r"})
		}
		return out
	}
	servers := []string{"s1", "s2", "s3", "s4"}
	for n := range 40 {
		p := NewPlacement(instances(n))
		owners, ok := p.Spread(servers, "a")
		if got, want := ok, n >= spreadFactor*len(servers); got != want {
			t.Fatalf("%d instances: got %v, want %v", n, got, want)
		}
		if !ok {
			continue
		}
		used := map[string]bool{}
		for _, s := range servers {
			used[owners[s]] = true
		}
		if len(used) != len(servers) {
			t.Errorf("%d instances: %v share an owner", n, owners)
		}
		// When an instance leaves, only its server moves, and at most one more as a
		// consequence.
		fewer, ok := NewPlacement(instances(n)[1:]).Spread(servers, "a")
		if !ok {
			continue
		}
		moved := 0
		for _, s := range servers {
			if fewer[s] != owners[s] {
				moved++
			}
		}
		if owned := used["i0"]; !owned && moved > 0 || moved > 2 {
			t.Errorf("%d instances: %d servers moved", n, moved)
		}
	}
	if _, ok := NewPlacement(instances(8)).Spread(servers, "other"); ok {
		t.Error("a data centre without instances has owners")
	}
}
