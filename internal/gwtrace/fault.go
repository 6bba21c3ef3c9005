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

	servers map[string]string         // the failed server of each group
	owners  map[string]*gwdeploy.Node // the failed owner of each group
	// replica and primary are the reads counted by instances that have ended.
	replica, primary uint64
}

// NewInjector returns an injector for a running deployment.
func NewInjector(d *gwdeploy.Deployment) *Injector {
	return &Injector{Deployment: d, servers: make(map[string]string), owners: make(map[string]*gwdeploy.Node)}
}

// Apply brings about or repairs one fault.
func (i *Injector) Apply(ctx context.Context, f Fault) error {
	d := i.Deployment
	group := f.Group
	if group == "" {
		group = d.Groups()[0]
	}
	switch f.Fault {
	case FaultPrimaryCrash:
		i.servers[group] = d.Primary(group)
		d.Server(i.servers[group]).Crash()
	case FaultServerRestart:
		return d.Server(i.servers[group]).Restart(ctx)
	case FaultPrimaryIsolate:
		i.servers[group] = d.Primary(group)
		d.IsolateServer(i.servers[group])
	case FaultServerHeal:
		d.HealServer(i.servers[group])
	case FaultOwnerCrash:
		if n := d.Owner(group); n != nil {
			i.owners[group] = n
			i.keepReads(n)
			d.Kill(n)
		}
	case FaultOwnerRestart:
		if n := i.owners[group]; n != nil {
			return d.Restart(ctx, n)
		}
	case FaultRegionsCut, FaultRegionsHeal:
		d.CutRegions(f.Fault == FaultRegionsCut)
	case FaultInstanceStop:
		n := d.Instances()[f.Instance%len(d.Instances())]
		i.keepReads(n)
		return d.Stop(ctx, n)
	case FaultInstanceStart:
		return d.Restart(ctx, d.Instances()[f.Instance%len(d.Instances())])
	case FaultPrimaryLeave:
		d.AnnounceLeaving(d.Primary(group))
	default:
		return &Error{Op: "inject fault", Kind: UnknownName, Detail: f.Fault}
	}
	return nil
}

// keepReads adds up the reads of an instance that is about to end.
func (i *Injector) keepReads(n *gwdeploy.Node) {
	replica, primary := nodeReads(n)
	i.replica, i.primary = i.replica+replica, i.primary+primary
}

// Reads returns how many reads replicas and primaries have answered, also
// through instances that have ended.
func (i *Injector) Reads() (replica, primary uint64) {
	replica, primary = i.replica, i.primary
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
