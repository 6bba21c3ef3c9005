package gwdeploy

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
)

// voters returns the voters and learners that the leader knows, nil if there is no leader.
func (d *Deployment) voters() []string {
	for _, n := range d.Instances() {
		if i := n.Instance(); i != nil && i.Leading() {
			st, _ := i.VoterStatus()
			return append(slices.Clone(st.Voters), st.Learners...)
		}
	}
	return nil
}

// publish publishes an edited manifest with the next number through an instance, and waits
// until every running instance has it. Otherwise the next call could take its number from
// instances without the last manifest, and would be answered as a resend.
func (d *Deployment) publish(t *testing.T, n *Node, edit func(*gwmanifest.Manifest)) {
	t.Helper()
	text, err := d.NextManifest(edit)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	res, err := n.Instance().Publish(ctx, text)
	require.NoError(t, err)
	require.False(t, res.Resent)
	for _, other := range d.Instances() {
		if i := other.Instance(); i != nil {
			require.Eventually(t, func() bool { return i.View().Number == res.Number }, 5*time.Second, 5*time.Millisecond, other.Settings.Instance)
		}
	}
}

func unchanged(*gwmanifest.Manifest) {}

// Guards against a voter that lost its disk and still counts as having its earlier votes
// and entries, and against accepted manifests that are lost when a second voter crashes
// right after the first has been replaced.
func TestVoterLosesDisk(t *testing.T) {
	d := startTest(t, Options{})
	lost, other := d.Instance("rennes-a-1"), d.Instance("rennes-b-1")
	d.publish(t, d.Instance("brest-a-2"), unchanged)
	d.LoseDisk(lost)
	d.publish(t, d.Instance("brest-a-2"), unchanged)
	require.NoError(t, d.Restart(context.Background(), lost))

	repaired := func() bool {
		v := d.voters()
		return len(v) == 3 && !slices.Contains(v, "rennes-a-1") &&
			slices.ContainsFunc(v, func(id string) bool { return strings.HasPrefix(id, "rennes-a-1#") })
	}
	require.Eventually(t, repaired, 10*time.Second, 20*time.Millisecond, "voters %v", d.voters())
	d.Kill(other)
	d.publish(t, d.Instance("brest-a-2"), unchanged)
	for _, n := range d.Instances() {
		if n != other {
			assert.Eventually(t, func() bool { return n.Instance().View().Number == 4 }, 5*time.Second, 10*time.Millisecond, n.Settings.Instance)
		}
	}
}

// Guards against a voter that cannot be replaced after it has failed permanently.
func TestVoterIsReplaced(t *testing.T) {
	d := startTest(t, Options{})
	gone, next := d.Instance("rennes-b-1"), d.Instance("rennes-b-2")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, d.Stop(ctx, next))
	next.Settings.DataFolder = "data/rennes-b-2"
	require.NoError(t, d.Restart(ctx, next))
	d.Kill(gone)
	d.publish(t, d.Instance("brest-a-1"), func(m *gwmanifest.Manifest) {
		for i, v := range m.Voters {
			if v.Instance == gone.Settings.Instance {
				m.Voters[i].Instance, m.Voters[i].Address = next.Settings.Instance, next.Settings.PeerAddress
			}
		}
	})
	replaced := func() bool {
		v := d.voters()
		return len(v) == 3 && !slices.Contains(v, "rennes-b-1") &&
			slices.ContainsFunc(v, func(id string) bool { return strings.HasPrefix(id, "rennes-b-2") })
	}
	require.Eventually(t, replaced, 15*time.Second, 20*time.Millisecond, "voters %v", d.voters())
	d.publish(t, d.Instance("rennes-a-2"), unchanged)
}
