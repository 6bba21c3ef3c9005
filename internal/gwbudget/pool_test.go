package gwbudget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func newTestPool(limit int64, closed *[]string) *Pool {
	return newPool("test", limit, func(_, host string, _ int64) { *closed = append(*closed, host) })
}

// acquire acquires in a goroutine and returns a function that reports the result, or false for as
// long as the call waits.
func acquire(ctx context.Context, h *Hold, n int64) func() bool {
	done := make(chan bool, 1)
	go func() { done <- h.Acquire(ctx, n) }()
	return func() bool {
		select {
		case ok := <-done:
			return ok
		default:
			return false
		}
	}
}

// Guards against holds that wait for each other with a part each, and against a limit that more
// than the first of them exceeds.
func TestFirstHoldCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed []string
		p := newTestPool(100, &closed)
		first, second := p.Open("", nil), p.Open("", nil)
		assert.True(t, first.Acquire(t.Context(), 50))
		assert.True(t, second.Acquire(t.Context(), 50))
		waiting := acquire(t.Context(), second, 50)
		synctest.Wait()
		assert.True(t, first.Acquire(t.Context(), 50))
		synctest.Wait()
		assert.False(t, waiting())
		assert.EqualValues(t, 150, p.Used())
		first.Release()
		synctest.Wait()
		assert.True(t, waiting())
		second.Release()
		assert.Zero(t, p.Used())
		assert.True(t, second.Acquire(t.Context(), 1000), "alone")
	})
}

// Guards against a limit that is exceeded again by each hold that becomes the first, while what
// the earlier ones have read is still to be written.
func TestCompleteHoldsCountBeforeOthersExceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed []string
		p := newTestPool(100, &closed)
		reader, writer := p.Open("", nil), p.Open("", nil)
		writer.Force(80)
		assert.True(t, reader.Acquire(t.Context(), 20))
		waiting := acquire(t.Context(), reader, 50)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.False(t, waiting())
		writer.Release()
		synctest.Wait()
		assert.True(t, waiting())
	})
}

// Guards against one host that takes the room of all others, and against an order in which the
// host's waiters delay the others.
func TestHostsShareOfPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed []string
		p := newTestPool(100, &closed)
		assert.True(t, p.Open("a", nil).Acquire(t.Context(), 50))
		crowd := acquire(t.Context(), p.Open("a", nil), 10)
		synctest.Wait()
		assert.False(t, crowd())
		other := p.Open("b", nil)
		ok := acquire(t.Context(), other, 40)
		synctest.Wait()
		assert.True(t, ok())
		assert.False(t, other.HostFull())
		assert.True(t, p.Open("a", nil).HostFull())
	})
}

// Guards against a wait that outlasts its context, and against bytes that stay taken after it.
func TestAcquireEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed []string
		p := newTestPool(100, &closed)
		holder := p.Open("", nil)
		assert.True(t, holder.Acquire(t.Context(), 100))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.False(t, p.Open("", nil).Acquire(ctx, 1))
		holder.Release()
		assert.Zero(t, p.Used())
		assert.Zero(t, p.holds.Len())
	})
}

// Guards against clients that stop and keep others waiting, and against the end of clients that
// have a link of 2 Mbit/s, or that nobody waits for.
func TestSlowClientsEndWhenOthersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed []string
		p := newTestPool(100, &closed)
		ended := make(map[string]bool)
		open := func(host string) *Hold {
			h := p.Open(host, nil)
			h.end = func() { ended[host] = true; h.Release() }
			assert.True(t, h.Acquire(t.Context(), 25))
			h.AwaitClient()
			return h
		}
		open("stopped")
		moving, trickling := open("moving"), open("trickling")
		step := func(d time.Duration) {
			for range int(d / time.Second) {
				time.Sleep(time.Second)
				moving.ClientMoved(256 << 10)
				moving.AwaitClient()
				trickling.ClientMoved(1)
				trickling.AwaitClient()
			}
		}
		step(20 * time.Second)
		assert.Empty(t, closed, "nobody waits")
		ok := acquire(t.Context(), p.Open("new", nil), 50)
		step(2 * time.Second)
		assert.True(t, ok())
		assert.Equal(t, map[string]bool{"stopped": true, "trickling": true}, ended)
		assert.Len(t, closed, 2)
	})
}

// Guards against a budget that refuses a single message of legal size, or several times the
// messages of one caller, on the smallest instances, and pools that together exceed the memory.
func TestBudgetOfSmallestInstance(t *testing.T) {
	const memory, message = 184 << 20, 1 << 20
	b := New(memory, nil)
	var sum int64
	for _, p := range []*Pool{b.Messages, b.Statements, b.Answers, b.Peers, b.State} {
		sum += p.limit
		assert.GreaterOrEqual(t, p.limit, int64(4*message), p.name)
	}
	assert.LessOrEqual(t, float64(sum), dataPart*memory+1)
	assert.Less(t, b.HeapLimit(), int64(memory))
	assert.Equal(t, 1766, b.MaxConnections(3700), "far more than 4,000 sessions on 35 to 70 instances need")
	assert.True(t, New(0, nil).Messages.Open("", nil).TryAcquire(1<<40), "no limit is known")
}
