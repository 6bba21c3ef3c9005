package gwdeploy

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against reads with staleness 0 that wait for a crashed server because it was the
// nearest, although others are up to date. The bound of 1 s is the target for a change of
// primary while the owner of the group is alive.
func TestStrictReadsAfterPrimaryCrash(t *testing.T) {
	p, err := NewPlan(Hanbit)
	require.NoError(t, err)
	d := startTest(t, Options{Plan: p})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	group := d.Groups()[0]
	first := connect(t, d, 0, "member", group)
	_, err = first.Exec(ctx, "create table booking (id int)")
	require.NoError(t, err)
	old := d.Primary(group)
	d.Server(old).Crash()
	require.Eventually(t, func() bool { return d.Primary(group) != old }, 5*time.Second, 5*time.Millisecond)
	_, err = first.Exec(ctx, "insert into booking values (1)")
	require.NoError(t, err)
	var wg sync.WaitGroup
	for i := range d.Instances() {
		c := connect(t, d, i, "member", group)
		wg.Go(func() {
			for range 15 {
				started := time.Now()
				var n int
				assert.NoError(t, c.QueryRow(ctx, "select count(*) from booking").Scan(&n))
				assert.Less(t, time.Since(started), time.Second)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}
