package gwdeploy

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// split separates the given instances from all others, or ends this. Every instance still
// reaches every backend server.
func (d *Deployment) split(instances []*Node, cut bool) {
	for _, a := range d.Instances() {
		for _, b := range d.Instances() {
			if slices.Contains(instances, a) != slices.Contains(instances, b) {
				a.Instance().Block(b.Settings.PeerAddress, cut)
			}
		}
	}
}

// Guards against instances that refuse all reads while they are separated from the control
// instances and from the owner of the primary, although they reach all servers of the group.
// Reads must not be older than their class accepts: another side goes on to write.
func TestInstancesWithoutLeaderServeReadsWithinStaleness(t *testing.T) {
	d := startTest(t, Options{FreshWithoutLease: true})
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	voters := d.awaitVoters(t)
	var lone []*Node
	for _, n := range d.Instances() {
		if !slices.Contains(voters, n.Settings.Instance) && !slices.ContainsFunc(voters, func(v string) bool { return instanceOf(v) == n.Settings.Instance }) {
			lone = append(lone, n)
		}
	}
	require.GreaterOrEqual(t, len(lone), 2)
	// The owner of the primary keeps its lease, so that the primary stays.
	var group string
	require.Eventually(t, func() bool {
		i := slices.IndexFunc(d.Groups(), func(g string) bool { return d.Owner(g) != nil && !slices.Contains(lone, d.Owner(g)) })
		if i >= 0 {
			group = d.Groups()[i]
		}
		return i >= 0
	}, 5*time.Second, 20*time.Millisecond)
	at := slices.Index(d.Instances(), lone[0])
	other := slices.IndexFunc(d.Instances(), func(n *Node) bool { return !slices.Contains(lone, n) })
	adviser := connect(t, d, other, "adviser", group)
	_, err := adviser.Exec(ctx, "create table visit (id int)")
	require.NoError(t, err)
	planner := connect(t, d, at, "planner", group) // accepts reads that are 2 s old
	require.Eventually(t, func() bool { return countRows(ctx, planner) == 0 }, 5*time.Second, 20*time.Millisecond)

	d.split(lone, true)
	written := make(map[int]time.Time) // when the n-th write was acknowledged
	acknowledged := 0
	reads, refused := 0, 0
	for begin := time.Now(); time.Since(begin) < 10*time.Second; {
		if _, err := adviser.Exec(ctx, "insert into visit (id) values (1)"); err == nil {
			acknowledged++
			written[acknowledged] = time.Now()
		}
		if adviser.IsClosed() {
			adviser = connect(t, d, other, "adviser", group)
		}
		before := time.Now()
		n := countRows(ctx, planner)
		if time.Since(begin) > 5*time.Second {
			reads++
			if n < 0 {
				refused++
			}
		}
		if n >= 0 && n < acknowledged {
			assert.Less(t, before.Sub(written[n+1]), 2*time.Second, "age of the first write that a read lacks")
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d writes acknowledged; from 5 s on, %d reads, %d refused", acknowledged, reads, refused)
	assert.Positive(t, acknowledged)
	assert.Less(t, float64(refused), 0.1*float64(reads), "reads refused from 5 s after the start of the partition")
	d.split(lone, false)
}

// countRows returns the number of rows of the table visit, negative if the read is refused.
func countRows(ctx context.Context, c *pgx.Conn) int {
	n := 0
	if err := c.QueryRow(ctx, "select count(*) from visit").Scan(&n); err != nil {
		return -1
	}
	return n
}
