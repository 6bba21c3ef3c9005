package gwstate

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/pkg/gwsession"
)

// randomText returns a text that compresses to half of its size.
func randomText(seed uint64, size int) string {
	raw := make([]byte, size/2)
	_, _ = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)}).Read(raw)
	return hex.EncodeToString(raw)
}

func snapshotBytes(t *testing.T, m *machine) int {
	b, err := m.state.Snapshot()
	require.NoError(t, err)
	return len(b)
}

// Guards against a state that no member can be sent, as its snapshot exceeds one message, and
// against a text that is reported as empty although it was dropped.
func TestKeptTextsAreBounded(t *testing.T) {
	m := newMachine(t)
	const size = 100 << 10
	for i := range uint64(30) {
		m.apply(manifest(i+1, randomText(i+1, size)))
	}
	assert.Less(t, snapshotBytes(t, m), size+keptTextBytes)
	_, ok := m.state.ManifestText(20)
	assert.False(t, ok)
	for number := uint64(28); number <= 30; number++ {
		text, ok := m.state.ManifestText(number)
		assert.True(t, ok)
		assert.Equal(t, randomText(number, size), text)
	}
	const largest = 8 << 20 // of a configuration
	for i := range uint64(3) {
		m.apply(manifest(i+31, randomText(i+31, largest)))
	}
	assert.Less(t, snapshotBytes(t, m), 16<<20)
	_, ok = m.state.ManifestText(32)
	assert.False(t, ok, "larger than all that is kept")
}

// Guards against a state that grows with the length of the day: by leases that ended or changed
// their holders, changes of primary with their calls, and publications.
func TestStateDoesNotGrowWithTheDay(t *testing.T) {
	m := newMachine(t)
	const groups = 20
	day := func(from, to uint64) {
		for n := from; n < to; n++ {
			m.apply(manifest(n+1, randomText(n+1, 40<<10)))
			for g := range groups {
				name := fmt.Sprint("g", g)
				term := n + 1
				if n == 0 {
					m.apply(StartGroup{Group: name, Primary: name + "-s0", Term: 1, Start: gwsession.Position{Term: 1}})
				}
				holder := fmt.Sprintf("instance-%06d", n)
				m.apply(GrantLeases{Holder: holder, Incarnation: n + 1, Leases: []LeaseRequest{{Group: name, Term: term, Duration: time.Second}}})
				lease, _ := m.state.Lease(name)
				m.apply(BeginChange{Group: name, FromTerm: term, Reason: strings.Repeat("r", 20)})
				server := fmt.Sprintf("%s-s%06d", name, n)
				m.apply(NamePromotion{Group: name, Attempt: term + 1, Server: server, Fence: 1, Holder: holder})
				res := m.apply(FinishChange{Group: name, FromTerm: term, Term: term + 1, Primary: server, Start: gwsession.Position{Term: term + 1}, Previous: lease.Sequence})
				require.Equal(t, Accepted, res.(GroupResult).Refusal)
			}
		}
	}
	day(0, 30)
	before := snapshotBytes(t, m)
	day(30, 230)
	assert.LessOrEqual(t, len(m.state.leases), groups)
	assert.Len(t, m.state.groups, groups)
	// The digests are bounded by their number, keptDigests.
	digests := 200 * 100
	assert.Less(t, snapshotBytes(t, m), before+before/20+digests)
}
