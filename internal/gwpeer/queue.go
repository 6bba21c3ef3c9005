package gwpeer

import (
	"container/heap"
	"net"
	"sync"
	"time"
)

// delayed is a packet that leaves at a time; seq keeps packets of one time in
// the order in which they were written.
type delayed struct {
	at  time.Time
	seq uint64
	buf *[]byte
	to  net.Addr
}

type delayHeap []delayed

func (h delayHeap) Len() int { return len(h) }
func (h delayHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *delayHeap) Push(x any)   { *h = append(*h, x.(delayed)) }
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = delayed{}
	*h = old[:len(old)-1]
	return last
}

// delayQueue writes packets at planned times from one goroutine.
type delayQueue struct {
	write func(p []byte, to net.Addr)
	wake  chan struct{}
	done  chan struct{}
	bufs  sync.Pool

	mu     sync.Mutex
	heap   delayHeap
	seq    uint64
	closed bool
}

const packetBytes = 1500

// maxFlush is how long close waits for a packet's delivery. Without the wait,
// peers would not receive the packets that end their links.
const maxFlush = 100 * time.Millisecond

func newDelayQueue(write func([]byte, net.Addr)) *delayQueue {
	q := &delayQueue{write: write, wake: make(chan struct{}, 1), done: make(chan struct{})}
	q.bufs.New = func() any { b := make([]byte, 0, packetBytes); return &b }
	go q.run()
	return q
}

func (q *delayQueue) push(p []byte, to net.Addr, at time.Time) {
	buf := q.bufs.Get().(*[]byte)
	*buf = append((*buf)[:0], p...)
	q.mu.Lock()
	q.seq++
	heap.Push(&q.heap, delayed{at: at, seq: q.seq, buf: buf, to: to})
	first := q.heap[0].seq == q.seq
	q.mu.Unlock()
	if first {
		q.signal()
	}
}

func (q *delayQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// close writes what is due soon and stops the queue.
func (q *delayQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
	<-q.done
}

// next removes a packet that is due; otherwise wait is the time until the
// first one is, negative when the queue is empty.
func (q *delayQueue) next(now time.Time) (d delayed, wait time.Duration, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heap) == 0 {
		return delayed{}, -1, q.closed
	}
	if q.closed && q.heap[0].at.Sub(now) > maxFlush {
		return delayed{}, 0, true
	}
	if wait := q.heap[0].at.Sub(now); wait > 0 {
		return delayed{}, wait, false
	}
	return heap.Pop(&q.heap).(delayed), 0, false
}

func (q *delayQueue) run() {
	defer close(q.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d, wait, closed := q.next(time.Now())
		switch {
		case closed:
			return
		case wait == 0:
			q.write(*d.buf, d.to)
			q.bufs.Put(d.buf)
		case wait > 0 && wait <= coarse:
			shortSleep(min(wait, fine))
		case wait < 0:
			<-q.wake
		default:
			timer.Reset(wait - coarse)
			select {
			case <-timer.C:
			case <-q.wake:
			}
		}
	}
}

// Timers of the runtime may fire about a millisecond late when the process is
// idle, which is too coarse for a delay of half a millisecond. The last part
// of a wait is therefore slept in short system calls.
const (
	coarse = 1200 * time.Microsecond
	fine   = 100 * time.Microsecond
)
