package gwquorum_test

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// TestMain sets rapid's seed, checks and steps, so that CI gives the same result every
// time. Command-line flags take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "150", "rapid.steps": "400"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Guards against two leaders in a term, lost or changed committed entries and stale reads
// when messages are lost, repeated or reordered, when members are isolated, restart
// without their unsynced data, have disk failures or change, and against a group that
// does not recover after the faults.
func TestRandomFaults(t *testing.T) {
	joint, ended := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), []string{"a", "b", "c"}, "d", "e")
		c.stepBeforeAdvance = true
		anyID := func(t *rapid.T) string { return rapid.SampledFrom(c.ids).Draw(t, "id") }
		message := func(t *rapid.T) int {
			if len(c.network) == 0 {
				t.Skip("no message")
			}
			return rapid.IntRange(0, min(len(c.network), 12)-1).Draw(t, "message")
		}
		take := func(i int) gwquorum.Message {
			msg := c.network[i]
			c.network = append(c.network[:i:i], c.network[i+1:]...)
			return msg
		}
		proposeLeader := func(*rapid.T) {
			if l := c.leader(); l != nil {
				_ = c.propose(l.id)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { require.NoError(t, c.err) },
			"deliver": func(t *rapid.T) { c.step(take(message(t))) },
			"repeat":  func(t *rapid.T) { c.step(c.network[message(t)]) },
			"lose":    func(t *rapid.T) { take(message(t)) },
			"deliverSome": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					if len(c.network) > 0 {
						c.step(take(0))
					}
				}
			},
			"pass":     func(t *rapid.T) { c.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * tick) },
			"tick":     func(*rapid.T) { c.tick() },
			"propose":  proposeLeader,
			"propose2": proposeLeader,
			"proposeAny": func(t *rapid.T) {
				_ = c.propose(anyID(t))
			},
			"crash":   func(t *rapid.T) { c.crash(anyID(t), rapid.Bool().Draw(t, "torn")) },
			"restart": func(t *rapid.T) { c.start(anyID(t)) },
			"restartAll": func(*rapid.T) {
				for _, id := range c.ids {
					c.start(id)
				}
			},
			"isolate": func(t *rapid.T) { c.isolated[anyID(t)] = true },
			"heal":    func(*rapid.T) { clear(c.isolated) },
			"compact": func(t *rapid.T) { c.compact(anyID(t)) },
			"read":    func(t *rapid.T) { _, _ = c.read(anyID(t)) },
			"change": func(t *rapid.T) {
				_ = c.change(gwquorum.ChangeKind(rapid.IntRange(1, 3).Draw(t, "kind")), anyID(t))
			},
			"replace": func(t *rapid.T) { _ = c.replace(anyID(t), anyID(t)) },
			"replaceAnyway": func(t *rapid.T) {
				if replaced, instance := c.replaceable(); replaced != "" {
					_ = c.replace(replaced, instance)
					return
				}
				_ = c.change(gwquorum.AddLearner, anyID(t))
			},
			"transfer": func(t *rapid.T) {
				if l := c.leader(); l != nil {
					_ = l.node.TransferLeadership(anyID(t))
					c.processReady(l.id)
				}
			},
			"failDisk": func(t *rapid.T) { c.failDisk(anyID(t), rapid.IntRange(0, 8).Draw(t, "operations")) },
		})
		c.recover(t)
		begun, done := c.replacements()
		joint, ended = joint+begun, ended+done
	})
	t.Logf("%d replacements committed, %d of them ended", joint, ended)
}

// replacements returns how many replacements were committed, and how many of them were ended.
func (c *cluster) replacements() (begun, ended int) {
	joint := false
	for _, index := range slices.Sorted(maps.Keys(c.committed)) {
		if m := c.committed[index].Members; m != nil {
			if joint && len(m.Outgoing) == 0 {
				ended++
			}
			if joint = len(m.Outgoing) > 0; joint {
				begun++
			}
		}
	}
	return begun, ended
}

// replace proposes to replace a voter by a learner.
func (c *cluster) replace(replaced, instance string) error {
	l := c.leader()
	if l == nil {
		return errors.New("no leader")
	}
	err := l.node.ProposeChange(gwquorum.Change{Kind: gwquorum.Replace, Instance: instance, Replaced: replaced})
	c.processReady(l.id)
	return err
}

// replaceable returns a voter other than the leader and a learner, "" if there are none.
func (c *cluster) replaceable() (replaced, instance string) {
	l := c.leader()
	if l == nil {
		return "", ""
	}
	st := l.node.Status()
	others := slices.DeleteFunc(st.Voters, func(id string) bool { return id == l.id })
	if len(others) == 0 || len(st.Learners) == 0 {
		return "", ""
	}
	return others[c.rand.IntN(len(others))], st.Learners[c.rand.IntN(len(st.Learners))]
}

// failDisk makes the member's disk fail after the given number of operations.
func (c *cluster) failDisk(id string, operations int) {
	m := c.members[id]
	if m.node == nil {
		return
	}
	m.fs.SetFault(func(gwstore.Op, string) error {
		if operations--; operations < 0 {
			return gwstore.ErrFull
		}
		return nil
	})
}

// recover ends all faults and requires the group to commit again.
func (c *cluster) recover(t require.TestingT) {
	clear(c.isolated)
	for _, id := range c.ids {
		c.members[id].fs.SetFault(nil)
		c.start(id)
	}
	c.run(5 * time.Second)
	l := c.leader()
	require.NotNil(t, l, "no leader after the faults ended")
	require.NoError(t, c.propose(l.id))
	read, err := c.read(l.id)
	require.NoError(t, err)
	c.run(time.Second)
	require.NoError(t, c.err)
	require.False(t, c.answered[read].Failed)
	want, err := l.state.Snapshot()
	require.NoError(t, err)
	require.Empty(t, l.node.Status().Outgoing, "a replacement has not ended")
	for _, id := range l.node.Status().Voters {
		require.Equal(t, c.lastCommitted, c.members[id].applied, "voter %s", id)
		got, err := c.members[id].state.Snapshot()
		require.NoError(t, err)
		require.Equal(t, want, got, "state of voter %s", id)
		require.Equal(t, l.node.Status().Ranks, c.members[id].node.Status().Ranks, "ranks of voter %s", id)
	}
}
