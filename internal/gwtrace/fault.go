package gwtrace

import (
	"context"

	"gentianward.example/gentianward/internal/gwdeploy"
)

// Names of faults in a trace.
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

// Injector applies faults to a deployment and remembers what to repair.
type Injector struct {
	Deployment *gwdeploy.Deployment

	failedServers map[string]string         // the failed server of each group
	failedOwners  map[string]*gwdeploy.Node // the failed owner of each group
	// replica and primary are the reads counted by instances that have ended.
	replicaReads, primaryReads uint64
}

// NewInjector returns an injector for a running deployment.
func NewInjector(d *gwdeploy.Deployment) *Injector {
	return &Injector{Deployment: d, failedServers: make(map[string]string), failedOwners: make(map[string]*gwdeploy.Node)}
}

// Apply brings about or repairs one fault.
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
		return d.Server(i.failedServers[group]).Restart(ctx)
	case FaultPrimaryIsolate:
		i.failedServers[group] = d.Primary(group)
		d.IsolateServer(i.failedServers[group])
	case FaultServerHeal:
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
		d.Leave(d.Primary(group))
	default:
		return &Error{Op: "inject fault", Kind: UnknownName, Detail: f.Name}
	}
	return nil
}

// addReads adds up the reads of an instance that is about to end.
func (i *Injector) addReads(n *gwdeploy.Node) {
	replica, primary := nodeReads(n)
	i.replicaReads, i.primaryReads = i.replicaReads+replica, i.primaryReads+primary
}

// Reads returns how many reads replicas and primaries have answered, also
// through instances that have ended.
func (i *Injector) Reads() (replica, primary uint64) {
	replica, primary = i.replicaReads, i.primaryReads
	for _, n := range i.Deployment.Instances() {
		r, p := nodeReads(n)
		replica, primary = replica+r, primary+p
	}
	return replica, primary
}

func nodeReads(n *gwdeploy.Node) (replica, primary uint64) {
	if i := n.Instance(); i != nil {
		if t, ok := i.Telemetry.(interface{ Reads() (uint64, uint64) }); ok {
			return t.Reads()
		}
	}
	return 0, 0
}
