package gwowner

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/pkg/gwoutcome"
)

// userDialect records the users of the connections that it opens.
type userDialect struct {
	scriptedDialect
	mu    sync.Mutex
	users []string
}

func (d *userDialect) Dial(ctx context.Context, o gwbackend.Options) (gwbackend.Connection, error) {
	d.mu.Lock()
	d.users = append(d.users, o.User)
	d.mu.Unlock()
	return d.scriptedDialect.Dial(ctx, o)
}

// Guards against a request that occupies a slot while the transaction of another customer holds the
// only connection, that is not refused in time, or that runs on the other one's connection.
func TestCustomerWaitsWithoutSlot(t *testing.T) {
	s := newScriptedServer(t, &fakeMetrics{}, nil)
	require.NoError(t, s.backend.Close(t.Context()))
	status := byte('T')
	d := &userDialect{scriptedDialect: scriptedDialect{exchange: func() (gwbackend.Result, error) {
		return gwbackend.Result{TxStatus: status, Sent: true}, nil
	}}}
	s.backend = gwbackend.NewServer(gwbackend.ServerOptions{Dialect: d, Pool: gwbackend.PoolOptions{Limit: 2, Options: gwbackend.Options{User: "own"}}})
	t.Cleanup(func() { _ = s.backend.Close(t.Context()) })
	run := func(customer string, wait time.Duration) execution {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		req := &Request{Class: "k", Server: "s", Customer: customer, QueueWait: wait}
		return s.run(ctx, req, time.Now().Add(5*time.Second), &bufferedSink{out: io.Discard}, nil)
	}
	transaction := run("a", time.Second)
	require.NotNil(t, transaction.conn)
	status = 'I'
	assert.Equal(t, gwoutcome.QueueFull, run("b", 20*time.Millisecond).event)
	events := make(chan gwoutcome.Event)
	go func() { events <- run("b", 4*time.Second).event }()
	require.Eventually(t, func() bool { return s.backend.Pool().Stats().Awaiting == 1 }, 5*time.Second, time.Millisecond)
	s.admission.mu.Lock()
	waiting, running := s.admission.queue.Len()
	s.admission.mu.Unlock()
	assert.Zero(t, waiting+running, "slots in use")
	assert.Equal(t, 1, s.admission.load())
	s.backend.Pool().Release(transaction.conn, true)
	assert.Equal(t, gwoutcome.Answered, <-events)
	d.mu.Lock()
	defer d.mu.Unlock()
	users := d.users[:0:0]
	for _, u := range d.users {
		if u != "own" {
			users = append(users, u)
		}
	}
	assert.Equal(t, []string{"a", "b"}, users)
	assert.Zero(t, s.admission.load())
}

// Guards against repeated operations of one customer that count as those of another.
func TestOperationKeyOfCustomers(t *testing.T) {
	req := &Request{Class: "k", Key: "pay-1"}
	mine, other := *req, *req
	mine.Customer, other.Customer = "a", "b"
	assert.NotEqual(t, operationKey(&mine), operationKey(&other))
	assert.NotEqual(t, operationKey(&mine), operationKey(req))
}

// Guards against the priority of a customer without effect.
func TestCustomerWeights(t *testing.T) {
	m := &gwmanifest.Manifest{Customers: []gwmanifest.Customer{{Name: "a"}, {Name: "b", Priority: 1}}}
	w := customerWeights(m)
	assert.Equal(t, 2*w["b"], w["a"])
}
