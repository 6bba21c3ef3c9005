package gwcontrol

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstate"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwquorum"
)

// historyTextBytes is the size of a text of the history, 20 KB when compressed.
const historyTextBytes = 40 << 10

// memberBench is a log of three voters in one region, and a new member in another one.
type memberBench struct {
	b      *testing.B
	nodes  map[string]*gwpeer.Node
	voters map[string]*Consensus
	number uint64
}

func newMemberBench(b *testing.B, p netPath) *memberBench {
	m := &memberBench{b: b, nodes: map[string]*gwpeer.Node{}, voters: map[string]*Consensus{}}
	ca, err := gwpeer.NewAuthority("test")
	require.NoError(b, err)
	m.listen(ca, netPath{}, "a", "b", "c")
	m.listen(ca, p, "d")
	initial := []string{"a", "b", "c"}
	for _, name := range initial {
		m.start(name, gwstore.NewMemoryFS(), func(context.Context) (Identity, error) {
			return Identity{ID: name, InitialVoters: initial}, nil
		})
	}
	return m
}

func (m *memberBench) listen(ca *gwpeer.Authority, p netPath, names ...string) {
	for _, name := range names {
		m.nodes[name] = laggedNode(m.b, ca, p, name)
	}
}

func (m *memberBench) start(name string, fs *gwstore.MemoryFS, identity func(context.Context) (Identity, error)) *Consensus {
	log, err := gwstore.Open(fs, "data")
	require.NoError(m.b, err)
	if identity == nil {
		o := IdentityOptions{Instance: name, Clock: clockwork.NewRealClock(), FS: fs, Folder: "data", StoreEmpty: log.Empty()}
		identity = func(ctx context.Context) (Identity, error) { return LoadIdentity(ctx, o) }
	}
	c := NewConsensus(ConsensusOptions{
		Instance: name, Node: m.nodes[name], Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Store: log,
		State: gwstate.New(gwmanifest.DefaultMaxClockDrift), Identity: identity, OnApplied: func() {},
		Address: func(instance string) (string, bool) { return m.nodes[instance].Address(), true },
	})
	m.voters[name] = c
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.Run(ctx) })
	m.b.Cleanup(func() { cancel(); wg.Wait() })
	return c
}

func (m *memberBench) leader() *Consensus {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, c := range m.voters {
			if c.Leading() {
				return c
			}
		}
	}
	require.Fail(m.b, "no voter leads")
	return nil
}

// publish commits manifests with texts that compress to half of their size.
func (m *memberBench) publish(count, size int) {
	for range count {
		m.number++
		text := randomHex(m.number, size)
		sum := sha256.Sum256([]byte(text))
		// After a change of the leader it may be committed a second time, without effect.
		m.propose(gwstate.PublishManifest{Number: m.number, Digest: hex.EncodeToString(sum[:]), Text: text, AnyLater: true})
	}
}

// addGroups makes the state larger by about size bytes of a snapshot.
func (m *memberBench) addGroups(size int) {
	const batches, groups = 10, 100
	for i := range batches {
		var batch gwstate.Batch
		for j := range groups {
			n := uint64(i*groups + j)
			batch.Commands = append(batch.Commands, gwstate.StartGroup{
				Group: fmt.Sprint("group-", n), Primary: randomHex(n+1<<20, 2*size/batches/groups), Term: 1,
			})
		}
		m.propose(batch)
	}
}

func randomHex(seed uint64, size int) string {
	raw := make([]byte, size/2)
	_, _ = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16)}).Read(raw)
	return hex.EncodeToString(raw)
}

func (m *memberBench) propose(cmd gwstate.Command) {
	m.await("a commit", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := m.leader().Propose(ctx, cmd)
		return err == nil
	})
}

// await returns the time at which a condition holds.
func (m *memberBench) await(what string, condition func() bool) time.Time {
	for until := time.Now().Add(60 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		require.True(m.b, time.Now().Before(until), "waiting for %s", what)
	}
	return time.Now()
}

// join adds an empty member and reports the time from its start to its vote by parts.
func (m *memberBench) join(syncDelay time.Duration) {
	fs := gwstore.NewMemoryFS()
	fs.SetFault(func(op gwstore.Op, _ string) error {
		if op == gwstore.OpSync || op == gwstore.OpSyncFolder {
			time.Sleep(syncDelay)
		}
		return nil
	})
	began := time.Now()
	c := m.start("d", fs, nil)
	started := m.await("the start", func() bool { return c.Status().ID != "" })
	id := c.Status().ID
	change := func(kind gwquorum.ChangeKind) {
		m.await("a change", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			err := m.leader().ChangeMembership(ctx, gwquorum.Change{Kind: kind, Instance: id})
			if err != nil {
				time.Sleep(consensusTick)
			}
			return err == nil
		})
	}
	change(gwquorum.AddLearner)
	added := time.Now()
	need := m.leader().Status().Commit
	loaded := m.await("the data", func() bool { return c.Status().Applied >= need })
	change(gwquorum.Promote)
	voting := m.await("the vote", func() bool {
		return slices.Contains(c.Status().Voters, id) && c.Status().Commit >= need
	})
	for name, d := range map[string]time.Duration{
		"start-ms": started.Sub(began), "added-ms": added.Sub(started), "data-ms": loaded.Sub(added),
		"vote-ms": voting.Sub(loaded), "total-ms": voting.Sub(began),
	} {
		m.b.ReportMetric(float64(d.Milliseconds()), name)
	}
	snapshot, err := c.State.Snapshot()
	require.NoError(m.b, err)
	m.b.ReportMetric(float64(len(snapshot))/1e6, "MB")
}

// BenchmarkNewMember measures the time from the start of an empty member to its vote, by the size of
// the state and the length of the history, between regions. Run with -benchtime=1x.
func BenchmarkNewMember(b *testing.B) {
	large := netPath{delay: 30 * time.Millisecond, bandwidth: 150_000_000 / 8, window: 1 << 20}
	small := netPath{delay: 30 * time.Millisecond, bandwidth: 30_000_000 / 8, window: 64 << 10}
	type run struct {
		path    netPath
		network string
		history int
		slow    bool
	}
	runs := []run{
		{large, "150Mbit", 0, false},
		{large, "150Mbit", 300, false},
		{large, "150Mbit", 1000, false},
		{large, "150Mbit", 0, true},
		{large, "150Mbit", 300, true},
		{small, "30Mbit-64KB", 0, false},
	}
	for _, r := range runs {
		for _, size := range []int{50_000, 500_000, 1_000_000, 4_000_000} {
			name := fmt.Sprintf("%s/history=%d/slowDiskAndWrites=%t/state=%d", r.network, r.history, r.slow, size)
			b.Run(name, func(b *testing.B) {
				m := newMemberBench(b, r.path)
				m.addGroups(size)
				m.publish(r.history, historyTextBytes)
				var delay time.Duration
				if r.slow {
					delay = 150 * time.Millisecond
					stop := m.write()
					defer stop()
				}
				m.join(delay)
			})
		}
	}
}

// write publishes a manifest of the history's size ten times a second until stop is called.
func (m *memberBench) write() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			m.publish(1, historyTextBytes)
		}
	})
	return func() { cancel(); wg.Wait() }
}
