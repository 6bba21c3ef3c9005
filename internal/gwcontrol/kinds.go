package gwcontrol

import "gentianward.example/gentianward/internal/gwpeer"

// Kinds of messages between instances.
var (
	kindMember          = gwpeer.Kind{ID: 1, Name: "member", Priority: gwpeer.PriorityControl}
	kindQuorum          = gwpeer.Kind{ID: 2, Name: "quorum", Priority: gwpeer.PriorityControl}
	kindPullView        = gwpeer.Kind{ID: 3, Name: "pullView", Priority: gwpeer.PriorityControl, Large: true}
	kindViewMoved       = gwpeer.Kind{ID: 4, Name: "viewMoved", Priority: gwpeer.PriorityControl}
	kindDirectory       = gwpeer.Kind{ID: 5, Name: "directory", Priority: gwpeer.PriorityControl}
	kindLease           = gwpeer.Kind{ID: 7, Name: "lease", Priority: gwpeer.PriorityControl}
	kindReturnLease     = gwpeer.Kind{ID: 8, Name: "returnLease", Priority: gwpeer.PriorityControl}
	kindPublish         = gwpeer.Kind{ID: 9, Name: "publish", Priority: gwpeer.PriorityControl, Large: true}
	kindStartGroup      = gwpeer.Kind{ID: 10, Name: "startGroup", Priority: gwpeer.PriorityControl}
	kindSuspect         = gwpeer.Kind{ID: 11, Name: "suspectPrimary", Priority: gwpeer.PriorityControl}
	kindHistory         = gwpeer.Kind{ID: 12, Name: "history", Priority: gwpeer.PriorityControl}
	kindCurrentManifest = gwpeer.Kind{ID: 13, Name: "currentManifest", Priority: gwpeer.PriorityControl, Large: true}
	kindEndEarlierRuns  = gwpeer.Kind{ID: 16, Name: "endEarlierRuns", Priority: gwpeer.PriorityControl}
	kindContact         = gwpeer.Kind{ID: 15, Name: "contact", Priority: gwpeer.PriorityControl}
	kindNearbyContact   = gwpeer.Kind{ID: 17, Name: "nearbyContact", Priority: gwpeer.PriorityControl}
	kindAliveRuns       = gwpeer.Kind{ID: 18, Name: "aliveRuns", Priority: gwpeer.PriorityControl}
	kindRecordCopies    = gwpeer.Kind{ID: 19, Name: "recordCopies", Priority: gwpeer.PriorityControl}
	kindQuota           = gwpeer.Kind{ID: 20, Name: "quota", Priority: gwpeer.PriorityControl}
	kindAckRecord       = gwpeer.Kind{ID: 21, Name: "ackRecord", Priority: gwpeer.PriorityControl}
	kindVoter           = gwpeer.Kind{ID: 14, Name: "voter", Priority: gwpeer.PriorityControl}

	// KindExec carries the requests of callers' sessions to the owner of a server.
	KindExec = gwpeer.Kind{ID: 32, Name: "exec"}
	// KindBarrier asks the owner of a primary for the primary's position.
	KindBarrier = gwpeer.Kind{ID: 33, Name: "barrier", Priority: gwpeer.PriorityControl}
	// KindAwait asks the owner of a replica to wait until the replica has reached a position.
	KindAwait = gwpeer.Kind{ID: 34, Name: "await", Priority: gwpeer.PriorityControl}
	// KindFence and KindPromote are the two steps of a change of primary.
	KindFence   = gwpeer.Kind{ID: 35, Name: "fence", Priority: gwpeer.PriorityControl}
	KindPromote = gwpeer.Kind{ID: 36, Name: "promote", Priority: gwpeer.PriorityControl}
	// KindQuotaAdmit asks the quota agent of a customer to admit an operation, and
	// KindQuotaReturn takes an admission back. They have priority because an operation cannot
	// begin before the answer, and answers of large rows share the link.
	KindQuotaAdmit  = gwpeer.Kind{ID: 39, Name: "quotaAdmit", Priority: gwpeer.PriorityControl}
	KindQuotaReturn = gwpeer.Kind{ID: 40, Name: "quotaReturn", Priority: gwpeer.PriorityControl}
	// KindStoreAck stores the position of acknowledged writes at a second instance. Its priority is
	// that of answers to callers, which wait for it.
	KindStoreAck = gwpeer.Kind{ID: 41, Name: "storeAck", Priority: gwpeer.PriorityControl}
	// KindAskCopy asks the owner of a server for the position of its data, without fencing it.
	KindAskCopy = gwpeer.Kind{ID: 42, Name: "askCopy", Priority: gwpeer.PriorityControl}
	// KindCancel forwards a cancel request to the instance that serves the session.
	KindCancel = gwpeer.Kind{ID: 38, Name: "cancel", Priority: gwpeer.PriorityControl}
)
