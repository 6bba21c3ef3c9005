package gwdeploy

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// voters returns the voters and learners that the leader knows, nil if there is no leader or if
// one of their running instances does not know the same yet: a change that only the leader has is
// lost with it.
func (d *Deployment) voters() []string {
	var voters []string
	for _, n := range d.Instances() {
		if i := n.Instance(); i != nil && i.Leading() {
			st, _ := i.VoterStatus()
			voters = append(slices.Clone(st.Voters), st.Learners...)
		}
	}
	for _, v := range voters {
		if i := d.Instance(instanceOf(v)).Instance(); i != nil {
			if st, _ := i.VoterStatus(); !slices.Equal(voters, append(slices.Clone(st.Voters), st.Learners...)) {
				return nil
			}
		}
	}
	return voters
}

// instanceOf returns the name of a voter's instance.
func instanceOf(voter string) string {
	name, _, _ := strings.Cut(voter, "#")
	return name
}

// awaitVoters waits until the log has three voters that all take part, and returns them. An
// instance that starts after the others have elected a leader is no voter under its first
// identity. Until the leader has exchanged the two, the loss of another voter ends the quorum,
// as one is lost already.
func (d *Deployment) awaitVoters(t *testing.T) []string {
	t.Helper()
	var voters []string
	require.Eventually(t, func() bool {
		voters = d.voters()
		return len(voters) == 3 && !slices.ContainsFunc(voters, func(v string) bool { return !d.voting(v) })
	}, 10*time.Second, 10*time.Millisecond, "three voters")
	return voters
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
	voters := d.awaitVoters(t)
	lost, other := d.Instance("rennes-a-1"), d.Instance("rennes-b-1")
	d.publish(t, d.Instance("brest-a-2"), unchanged)
	d.LoseDisk(lost)
	d.publish(t, d.Instance("brest-a-2"), unchanged)
	require.NoError(t, d.Restart(context.Background(), lost))

	repaired := func() bool {
		v := d.voters()
		return len(v) == 3 && slices.ContainsFunc(v, func(id string) bool {
			return strings.HasPrefix(id, "rennes-a-1#") && !slices.Contains(voters, id)
		})
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
	d.awaitVoters(t)
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
		return len(v) == 3 && !slices.ContainsFunc(v, func(id string) bool { return instanceOf(id) == "rennes-b-1" }) &&
			slices.ContainsFunc(v, func(id string) bool { return strings.HasPrefix(id, "rennes-b-2") })
	}
	require.Eventually(t, replaced, 15*time.Second, 20*time.Millisecond, "voters %v", d.voters())
	d.publish(t, d.Instance("rennes-a-2"), unchanged)
}

// voting reports whether a voter leads, or is one that the leader reaches and whose log is
// complete.
func (d *Deployment) voting(voter string) bool {
	for _, n := range d.Instances() {
		i := n.Instance()
		if i == nil || !i.Leading() {
			continue
		}
		st, _ := i.VoterStatus()
		if n.Settings.Instance == instanceOf(voter) {
			return slices.Contains(st.Voters, voter)
		}
		return slices.ContainsFunc(st.Peers, func(p gwquorum.PeerStatus) bool {
			return p.Instance == voter && !p.Learner && p.Active && p.Match >= st.Commit
		})
	}
	return false
}

// voterRecoveryLimit is how long a machine still counts as lost after its return, according
// to the users; one voter may be lost at a time.
const voterRecoveryLimit = 4 * time.Second

// Guards against a voter that takes no part any more after its disk was full once, so that a
// second such fault ends the quorum until processes are restarted.
func TestVotersContinueAfterFullDisks(t *testing.T) {
	d := startTest(t, Options{})
	voters := d.awaitVoters(t)
	entry := d.Instance("brest-a-2")
	for range 2 {
		for _, name := range voters {
			n := d.Instance(instanceOf(name))
			n.fs.SetLimit(1)
			for range 3 {
				d.publish(t, entry, unchanged)
			}
			n.fs.SetLimit(0)
			require.Eventually(t, func() bool { return d.voting(name) }, voterRecoveryLimit, 20*time.Millisecond, "%s takes part again", name)
		}
	}
	require.Len(t, voters, 3)
	d.Kill(d.Instance(instanceOf(voters[0])))
	d.publish(t, entry, unchanged)
}

// Guards against accepted manifests that are lost, or a voter that stays out, when operations
// of the disks fail at random and all voters lose power afterwards.
func TestVotersKeepPromisesWithFaultyDisks(t *testing.T) {
	d := startTest(t, Options{})
	voters := d.awaitVoters(t)
	entry := d.Instance("brest-a-2")
	const seed = 29
	r := rand.New(rand.NewPCG(seed, 1))
	accepted := uint64(0)
	for round := range 3 {
		voter := voters[round%len(voters)]
		faulty := d.Instance(instanceOf(voter))
		var mu sync.Mutex
		faulty.fs.SetFault(func(gwstore.Op, string) error {
			mu.Lock()
			defer mu.Unlock()
			if r.IntN(4) == 0 {
				return errors.New("input/output error")
			}
			return nil
		})
		for range 5 {
			d.publish(t, entry, unchanged)
		}
		accepted = entry.Instance().View().Number
		faulty.fs.SetFault(nil)
		require.Eventually(t, func() bool { return d.voting(voter) }, voterRecoveryLimit, 20*time.Millisecond, "round %d", round)
	}
	for _, name := range voters {
		d.Kill(d.Instance(instanceOf(name))) // unsynced data is lost
	}
	for _, name := range voters {
		require.NoError(t, d.Restart(context.Background(), d.Instance(instanceOf(name))))
	}
	require.Eventually(t, func() bool { return len(d.voters()) == 3 }, 10*time.Second, 20*time.Millisecond, "a leader")
	for _, name := range voters {
		assert.Eventually(t, func() bool { return d.Instance(instanceOf(name)).Instance().View().Number >= accepted }, 5*time.Second, 20*time.Millisecond, name)
	}
	d.publish(t, entry, unchanged)
}
