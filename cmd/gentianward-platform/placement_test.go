package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwfilter"
)

func explainPlacement(t *testing.T, c placementCmd) (p gwfilter.Placement, text string) {
	t.Helper()
	c.timeout = 5 * time.Second
	var out, errs bytes.Buffer
	c.json = true
	require.Equal(t, subcommands.ExitSuccess, c.run(t.Context(), &out, &errs), "%s", &errs)
	require.NoError(t, json.Unmarshal(out.Bytes(), &p))
	out.Reset()
	c.json = false
	require.Equal(t, subcommands.ExitSuccess, c.run(t.Context(), &out, &errs), "%s", &errs)
	return p, out.String()
}

// Guards against an explanation that needs the control instances, sends a statement to a server, names
// no candidate, or hides that its information is old.
func TestExplainPlacement(t *testing.T) {
	d := startDeployment(t)
	d.awaitReady()
	a := d.dial(d.callerAddresses[0], "bookings")
	assert.Equal(t, "READY I", a.readAnswer())
	require.Eventually(t, func() bool { return a.query("STORE 1 one") == "COMPLETE signature,READY I" }, 20*time.Second, 50*time.Millisecond, "the first write")

	write := placementCmd{address: d.readyAddresses[0], database: "bookings", kind: "write"}
	p, _ := explainPlacement(t, write)
	assert.Equal(t, []string{p.Primary, "primary", "write"}, []string{p.Server, p.Rule, p.Kind})
	assert.Equal(t, uint64(7), p.Manifest)
	assert.Len(t, p.Candidates, 3)
	assert.GreaterOrEqual(t, p.ControlAgeMillis, int64(0))

	for i := range d.controlAddresses {
		d.instances[i].Kill()
	}
	for _, s := range d.group.servers { // an explanation that asks them does not end
		s.crash()
	}
	time.Sleep(1500 * time.Millisecond)
	p, text := explainPlacement(t, write)
	assert.GreaterOrEqual(t, p.ControlAgeMillis, int64(1000))
	assert.Contains(t, text, "control heard")
	for _, c := range p.Candidates {
		assert.Contains(t, text, c.Server)
		assert.NotEmpty(t, c.Reason, c.Server)
	}
	read, _ := explainPlacement(t, placementCmd{address: d.readyAddresses[1], database: "payments", kind: "read"})
	assert.Equal(t, read.Primary, read.Server, "a route that sees every write")

	var out, errs bytes.Buffer
	c := placementCmd{address: d.readyAddresses[0], database: "nothing", kind: "read", timeout: time.Second}
	assert.Equal(t, subcommands.ExitFailure, c.run(t.Context(), &out, &errs))
	c.database, c.position = "bookings", "seven"
	assert.Equal(t, subcommands.ExitFailure, c.run(t.Context(), &out, &errs))
	assert.Contains(t, errs.String(), "term/offset")
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	c.address = strings.TrimPrefix(gone.URL, "http://")
	assert.Equal(t, exitNotReached, c.run(t.Context(), &out, &errs))
}

// Guards against a text that shows an unknown age or position as a number.
func TestPrintPlacement(t *testing.T) {
	var out bytes.Buffer
	printPlacement(&out, gwfilter.Placement{Kind: "read", Database: "db", Reason: "no reachable server is fresh enough", ControlAgeMillis: -1, Candidates: []gwfilter.PlacementCandidate{
		{Server: "s1", ReportMillis: -1, StalenessMillis: -1, WaitMillis: -1, CostMillis: -1, Reason: "not recent enough within the wait for a replica"},
		{Server: "s2", Owner: "i", Reachable: true, Primary: true, Position: "1/7", ReportMillis: 250, Slowness: 4},
	}})
	text := out.String()
	assert.Contains(t, text, "no server, no reachable server is fresh enough")
	assert.Contains(t, text, "control heard never")
	lines := strings.Split(text, "\n")
	assert.Regexp(t, `s1 .*replica +none reachable +never +unknown +unknown +unknown`, lines[4])
	assert.Regexp(t, `s2 .*primary +i +250ms ago +1/7 +0s`, lines[5])
	assert.NotContains(t, lines[4], "-1.0 ms")
}

// Guards against an owner that does not measure its servers, or a report of a slow server that does not
// reach the entry instances.
func TestSlowServerIsExplained(t *testing.T) {
	d := startDeployment(t)
	d.awaitReady()
	a := d.dial(d.callerAddresses[0], "bookings")
	assert.Equal(t, "READY I", a.readAnswer())
	store := func() bool { return a.query("STORE 1 one") == "COMPLETE signature,READY I" }
	require.Eventually(t, store, 20*time.Second, 50*time.Millisecond, "the first write")
	setCost := func(cost time.Duration) {
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		d.group.cost = cost
	}
	slowness := func() float64 {
		p, _ := explainPlacement(t, placementCmd{address: d.readyAddresses[0], database: "bookings", kind: "write"})
		for _, c := range p.Candidates {
			if c.Primary {
				return c.Slowness
			}
		}
		return 0
	}
	setCost(5 * time.Millisecond)
	for range 60 {
		store()
	}
	setCost(150 * time.Millisecond)
	require.Eventually(t, func() bool { return store() && slowness() > 2 }, 20*time.Second, time.Millisecond, "found slow")
	setCost(5 * time.Millisecond)
	require.Eventually(t, func() bool { return store() && slowness() < 2 }, 20*time.Second, time.Millisecond, "normal again")
}
