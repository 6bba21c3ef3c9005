package gwpeer

import (
	"container/heap"
	"net"
	"sync"
	"time"
)

// delayedPacket is a packet that is sent at a planned time. seq keeps packets with the
// same time in the order in which they were written.
type delayedPacket struct {
	at  time.Time
	seq uint64
	buf *[]byte
	to  net.Addr
}

type delayHeap []delayedPacket

func (h delayHeap) Len() int { return len(h) }
func (h delayHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *delayHeap) Push(x any)   { *h = append(*h, x.(delayedPacket)) }
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = delayedPacket{}
	*h = old[:len(old)-1]
	return last
}

// delayQueue sends packets at their planned times from one goroutine.
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

// closeFlushWindow is the time within which a packet must be due to be still sent when
// the queue is closed. Without it, peers would not receive the packets that close their
// links.
const closeFlushWindow = 100 * time.Millisecond

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
	heap.Push(&q.heap, delayedPacket{at: at, seq: q.seq, buf: buf, to: to})
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

// close sends the packets that are due within closeFlushWindow and stops the queue.
func (q *delayQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
	<-q.done
}

// next removes and returns a packet that is due. If none is, wait is the time until the
// first one is due, negative if the queue is empty. closed means that no packet is left
// to send before the queue stops.
func (q *delayQueue) next(now time.Time) (d delayedPacket, wait time.Duration, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heap) == 0 {
		return delayedPacket{}, -1, q.closed
	}
	if q.closed && q.heap[0].at.Sub(now) > closeFlushWindow {
		return delayedPacket{}, 0, true
	}
	if wait := q.heap[0].at.Sub(now); wait > 0 {
		return delayedPacket{}, wait, false
	}
	return heap.Pop(&q.heap).(delayedPacket), 0, false
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
		case wait > 0 && wait <= timerSlack:
			shortSleep(min(wait, sleepStep))
		case wait < 0:
			<-q.wake
		default:
			timer.Reset(wait - timerSlack)
			select {
			case <-timer.C:
			case <-q.wake:
			}
		}
	}
}

// Timers of the Go runtime may fire about a millisecond late while the process is idle,
// which is too coarse for a delay of half a millisecond. The last timerSlack of a wait
// is therefore spent in system calls that sleep for at most sleepStep.
const (
	timerSlack = 1200 * time.Microsecond
	sleepStep  = 100 * time.Microsecond
)
