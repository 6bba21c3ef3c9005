package gwquorum

import "time"

const (
	// yieldTimeouts is how many election timeouts a leader that has given way does not ask
	// for votes: two until the others miss it, and two for an election among them.
	yieldTimeouts = 4
	// maxStallDoublings bounds the time that a leader waits for progress: 16 times StallTimeout.
	maxStallDoublings = 4
)

// progressMark changes while what is outstanding at a leader comes nearer to its end. Its sum
// is bounded by what is outstanding: a peer that is ahead of it does not change the mark.
type progressMark struct {
	target uint64 // what is outstanding
	sum    uint64 // over the voters: how far they have come, up to target
}

// stallWatch tells since when something outstanding has made no progress.
type stallWatch struct {
	mark  progressMark
	since time.Time
}

// observe returns how long mark has not changed, 0 if nothing is outstanding.
func (w *stallWatch) observe(outstanding bool, mark progressMark, now time.Time) time.Duration {
	if !outstanding || mark != w.mark {
		w.mark, w.since = mark, now
	}
	return now.Sub(w.since)
}

// stallTracker holds for how long a leader's entries and reads have made no progress. The two
// are separate, as heartbeats that confirm reads may arrive while entries do not.
type stallTracker struct {
	entries, reads stallWatch
	// count is the number of stalls since the node last committed an entry as the leader, or
	// learned that another leader did.
	count int
	// yieldUntil is when a node that gave way as the leader may ask for votes again.
	yieldUntil time.Time
}

// checkProgress makes the leader give way if its entries or reads make no progress although a
// quorum answers heartbeats. Without it, a leader whose heartbeats pass and whose entries do
// not would keep its followers, and nothing would be committed. The leader cannot tell whether
// another voter can do better: one whose replies are lost may be the one that can.
func (n *Node) checkProgress() {
	if max(n.entriesStalledFor(), n.readsStalledFor()) < n.stallTimeout() {
		return
	}
	n.stall.count = min(n.stall.count+1, maxStallDoublings)
	n.giveWay()
}

// stallTimeout returns how long the leader waits for progress. It doubles with each stall, so
// that a group in which no other voter can do better has a leader most of the time.
func (n *Node) stallTimeout() time.Duration {
	return (n.cfg.StallTimeout + 4*n.disk.worst) << n.stall.count
}

func (n *Node) entriesStalledFor() time.Duration {
	mark := progressMark{target: max(n.log.commit+1, n.termStartIndex)}
	for _, id := range n.log.members().electors() {
		switch pr := n.peers[id]; {
		case id == n.cfg.ID:
			mark.sum += min(n.log.stable, mark.target)
		case pr != nil:
			mark.sum += min(pr.match, mark.target)
		}
	}
	return n.stall.entries.observe(n.log.last() > n.log.commit, mark, n.now)
}

func (n *Node) readsStalledFor() time.Duration {
	var mark progressMark
	outstanding := len(n.reads.pending) > 0
	if outstanding {
		mark.target = n.reads.pending[0].round
	}
	for _, id := range n.log.members().electors() {
		if pr := n.peers[id]; pr != nil {
			mark.sum += min(pr.confirmedRound, mark.target)
		}
	}
	return n.stall.reads.observe(outstanding, mark, n.now)
}

// giveWay makes the leader a follower that leaves the next election to the others.
func (n *Node) giveWay() {
	n.becomeFollower(n.term)
	wait := n.electionTimeout() * yieldTimeouts
	n.stall.yieldUntil = n.now.Add(wait + time.Duration(n.rand.Int64N(int64(n.cfg.ElectionTimeout))))
}
