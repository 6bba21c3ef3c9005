package gwpeer

import (
	"cmp"
	"slices"
	"time"
)

// LinkInfo describes one open link.
type LinkInfo struct {
	Peer          string        `json:"peer"` // instance name
	Address       string        `json:"address"`
	Dialed        bool          `json:"dialed"`  // by this node
	Retired       bool          `json:"retired"` // superseded by a newer link
	Version       uint16        `json:"version"`
	Streams       int64         `json:"streams"`
	RoundTrip     time.Duration `json:"-"` // smoothed with QUIC, that of the last ping with TCP
	BytesSent     uint64        `json:"bytesSent"`
	BytesReceived uint64        `json:"bytesReceived"`
}

// Links returns the open links, ordered by peer and address.
func (n *Node) Links() []LinkInfo {
	var infos []LinkInfo
	for _, l := range n.linkList() {
		stats := l.conn.Stats()
		infos = append(infos, LinkInfo{
			Peer:          l.instance,
			Address:       l.remote.String(),
			Dialed:        l.dialed,
			Retired:       l.retired.Load() != 0,
			Version:       l.version,
			Streams:       l.streams.Load(),
			RoundTrip:     stats.roundTrip,
			BytesSent:     stats.sent,
			BytesReceived: stats.received,
		})
	}
	slices.SortFunc(infos, func(a, b LinkInfo) int {
		return cmp.Or(cmp.Compare(a.Peer, b.Peer), cmp.Compare(a.Address, b.Address))
	})
	return infos
}

// Disconnect closes the links to an "ip:port", so that calls to a peer that was
// declared dead by membership fail at once instead of after the idle timeout. The next
// use dials again.
func (n *Node) Disconnect(address string) {
	addr, err := parseAddress(address)
	if err != nil {
		return
	}
	for _, l := range n.linkList() {
		if l.remote == addr {
			l.close(codeDisconnected, "disconnected")
		}
	}
}
