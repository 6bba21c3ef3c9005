package gwpeer

import (
	"maps"
	"sync/atomic"
)

// countedKinds is the number of kind IDs with counters of their own. Greater IDs count
// under 0, which is no valid ID.
const countedKinds = 128

// trafficCounters counts what a node has sent, by the ID of the kind.
type trafficCounters [countedKinds]struct{ messages, bytes atomic.Uint64 }

func (t *trafficCounters) add(kind uint16, size int) {
	if kind >= countedKinds {
		kind = 0
	}
	t[kind].messages.Add(1)
	t[kind].bytes.Add(uint64(size))
}

// Traffic counts the frames and datagrams of one kind that a node has sent and their
// bytes, without the overhead of the transport.
type Traffic struct{ Messages, Bytes uint64 }

// Kinds returns the names of the kinds that the node handles, by their IDs.
func (n *Node) Kinds() map[uint16]string {
	n.handlers.mu.RLock()
	defer n.handlers.mu.RUnlock()
	return maps.Clone(n.handlers.names)
}

// Traffic returns what the node has sent of one kind, as a request or as an answer.
func (n *Node) Traffic(kind uint16) Traffic {
	c := &n.traffic[min(kind, countedKinds-1)]
	return Traffic{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
}
