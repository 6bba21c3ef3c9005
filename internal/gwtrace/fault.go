package gwtrace

import (
	"context"

	"gentianward.example/gentianward/internal/gwdeploy"
)

// Names of faults in a trace, and of the repairs that follow them. A group's repair
// applies to the server or owner that the preceding fault of that group chose.
const (
	FaultPrimaryCrash   = "primaryCrash"
	FaultServerRestart  = "serverRestart"
	FaultPrimaryIsolate = "primaryIsolate"
	FaultServerHeal     = "serverHeal"
	FaultOwnerCrash     = "ownerCrash"
	FaultOwnerRestart   = "ownerRestart"
	FaultRegionsCut     = "regionsCut"
	FaultRegionsHeal    = "regionsHeal"
	FaultInstanceStop   = "instanceStop"
	FaultInstanceStart  = "instanceStart"
	FaultPrimaryLeave   = "primaryLeave"
)

// FaultNames lists the names of all faults.
var FaultNames = []string{
	FaultPrimaryCrash, FaultServerRestart, FaultPrimaryIsolate, FaultServerHeal, FaultOwnerCrash, FaultOwnerRestart,
	FaultRegionsCut, FaultRegionsHeal, FaultInstanceStop, FaultInstanceStart, FaultPrimaryLeave,
}

// Injector applies faults to a deployment and records the failed servers and owners
// for their repair.
type Injector struct {
	Deployment *gwdeploy.Deployment

	failedServers map[string]string         // failed server of each group
	failedOwners  map[string]*gwdeploy.Node // failed owner of each group
	// replicaReads and primaryReads are the reads counted by instances that have stopped.
	replicaReads, primaryReads uint64
}

// NewInjector returns an injector for a running deployment.
func NewInjector(d *gwdeploy.Deployment) *Injector {
	return &Injector{Deployment: d, failedServers: make(map[string]string), failedOwners: make(map[string]*gwdeploy.Node)}
}

// Apply injects or repairs one fault. The group of a fault defaults to the first one.
func (i *Injector) Apply(ctx context.Context, f Fault) error {
	d := i.Deployment
	group := f.Group
	if group == "" {
		group = d.Groups()[0]
	}
	switch f.Name {
	case FaultPrimaryCrash:
		i.failedServers[group] = d.Primary(group)
		d.Server(i.failedServers[group]).Crash()
	case FaultServerRestart:
		s := d.Server(i.failedServers[group])
		if s == nil {
			return nothingToRepair(f.Name, group)
		}
		return s.Restart(ctx)
	case FaultPrimaryIsolate:
		i.failedServers[group] = d.Primary(group)
		d.IsolateServer(i.failedServers[group])
	case FaultServerHeal:
		if i.failedServers[group] == "" {
			return nothingToRepair(f.Name, group)
		}
		d.HealServer(i.failedServers[group])
	case FaultOwnerCrash:
		if n := d.Owner(group); n != nil {
			i.failedOwners[group] = n
			i.addReads(n)
			d.Kill(n)
		}
	case FaultOwnerRestart:
		if n := i.failedOwners[group]; n != nil {
			return d.Restart(ctx, n)
		}
	case FaultRegionsCut, FaultRegionsHeal:
		d.CutRegions(f.Name == FaultRegionsCut)
	case FaultInstanceStop:
		n := d.Instances()[f.Instance%len(d.Instances())]
		i.addReads(n)
		return d.Stop(ctx, n)
	case FaultInstanceStart:
		return d.Restart(ctx, d.Instances()[f.Instance%len(d.Instances())])
	case FaultPrimaryLeave:
		d.AnnounceLeaving(d.Primary(group))
	default:
		return &Error{Op: "inject fault", Kind: UnknownName, Detail: f.Name}
	}
	return nil
}

// nothingToRepair returns the error of a repair without an earlier fault.
func nothingToRepair(name, group string) error {
	return &Error{Op: "inject fault", Kind: NothingToRepair, Detail: name + ": no fault before it chose a server of group " + group}
}

// addReads adds the reads counted by an instance that is about to stop to the totals,
// as they are lost with the instance.
func (i *Injector) addReads(n *gwdeploy.Node) {
	replica, primary := nodeReads(n)
	i.replicaReads, i.primaryReads = i.replicaReads+replica, i.primaryReads+primary
}

// Reads returns the numbers of reads that replicas and primaries answered,
// including those through instances that the injector stopped.
func (i *Injector) Reads() (replica, primary uint64) {
	replica, primary = i.replicaReads, i.primaryReads
	for _, n := range i.Deployment.Instances() {
		r, p := nodeReads(n)
		replica, primary = replica+r, primary+p
	}
	return replica, primary
}

// nodeReads returns the reads counted by an instance, or 0 if it is not running.
func nodeReads(n *gwdeploy.Node) (replica, primary uint64) {
	if i := n.Instance(); i != nil {
		if t, ok := i.Telemetry.(interface{ Reads() (uint64, uint64) }); ok {
			return t.Reads()
		}
	}
	return 0, 0
}
