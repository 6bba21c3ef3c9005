package gwcontrol

import (
	"time"

	"gentianward.example/gentianward/pkg/gwquorum"
)

// modelTransfer is what the state and the log of the model cost.
type modelTransfer struct {
	snapshotBytes, entryBytes int
	// rate is what one link carries, and diskRate what a disk takes, in bytes per second; 0 means
	// no cost.
	rate, diskRate float64
	// A member takes a snapshot after so many entries, or bytes of them if that is not 0.
	compactEntries uint64
	compactBytes   int
	keepEntries    uint64
}

// shortTransfer makes snapshots often and costs nothing.
var shortTransfer = modelTransfer{snapshotBytes: 50 << 10, entryBytes: 100, compactEntries: 100, keepEntries: 50}

// longTransfer has the limits of save.go. On the bench, a member in another region got 32 entries a
// second of configurations with 300 routes, of 64 KB each.
var longTransfer = modelTransfer{
	snapshotBytes: 512 << 10, entryBytes: 60 << 10, rate: 2 << 20, diskRate: 100 << 20,
	compactEntries: compactEntries, compactBytes: compactBytes, keepEntries: gwquorum.DefaultKeepEntries,
}

// modelData is the content of all entries and snapshots, which share it.
var modelData = make([]byte, 4<<20)

func (t modelTransfer) entry() []byte { return modelData[:t.entryBytes] }

// bytesOf returns the size of the data of entries and a snapshot.
func bytesOf(entries []gwquorum.Entry, s *gwquorum.Snapshot) int {
	n := 0
	for _, e := range entries {
		n += len(e.Data)
	}
	if s != nil {
		n += len(s.Data)
	}
	return n
}

func timeOf(bytes int, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// saveTime returns how long the data of a save takes beside the sync.
func (t modelTransfer) saveTime(rd gwquorum.Ready) time.Duration {
	return timeOf(bytesOf(rd.Entries, rd.Snapshot), t.diskRate)
}

// modelLink is the stream from one member to another. Its messages arrive in order.
type modelLink struct {
	ends []time.Time // when the transfers of the queued messages end
}

const (
	modelDelay = 30 * time.Millisecond
	// modelMessageBytes is the size of a message without data.
	modelMessageBytes = 200
)

// transmit returns when a message arrives, and false if the queue of its link is full.
func (m *votersModel) transmit(msg gwquorum.Message) (due time.Time, sent bool) {
	name := msg.From + " " + msg.To
	l := m.links[name]
	if l == nil {
		l = &modelLink{}
		m.links[name] = l
	}
	for len(l.ends) > 0 && !l.ends[0].After(m.now) {
		l.ends = l.ends[1:]
	}
	if len(l.ends) >= sendQueueLength {
		return time.Time{}, false
	}
	end := m.now
	if len(l.ends) > 0 {
		end = l.ends[len(l.ends)-1]
	}
	end = end.Add(timeOf(modelMessageBytes+bytesOf(msg.Entries, msg.Snapshot), m.transfer.rate))
	if end.After(m.now) {
		l.ends = append(l.ends, end)
	}
	return end.Add(modelDelay), true
}

// compact does what compact of Consensus does.
func (m *votersModel) compact(x *modelInstance) {
	st := x.status()
	if x.saving != nil || st.Applied == st.Snapshot || st.Applied > st.Synced {
		return
	}
	if t := m.transfer; st.Applied < st.Snapshot+t.compactEntries && (t.compactBytes == 0 || bytesOf(x.entries, nil) < t.compactBytes) {
		return
	}
	_ = x.node.Compact(st.Applied, modelData[:m.transfer.snapshotBytes])
	x.known = nil
}
