package gwdeploy

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstandin"
	"gentianward.example/gentianward/internal/gwstore"
)

// Names of faults.
const (
	PrimaryCrash    = "primary-crash"
	PrimaryIsolated = "primary-isolated"
	OwnerCrash      = "owner-crash"
	RegionCut       = "region-cut"
	DataCentreCut   = "data-centre-cut"
	ReplicaLag      = "replica-lag"
)

// Faults lists the names of all faults.
var Faults = []string{PrimaryCrash, PrimaryIsolated, OwnerCrash, RegionCut, DataCentreCut, ReplicaLag}

// demoLag is the replication lag of the fault replica-lag.
const demoLag = 5 * time.Second

// Primary returns the name of the agreed primary of a group.
func (d *Deployment) Primary(group string) string {
	var name string
	var index uint64
	for _, n := range d.instances {
		if i := n.Instance(); i != nil {
			if g := i.View().Groups[group]; g.Index >= index {
				name, index = g.Primary, g.Index
			}
		}
	}
	return name
}

// Owner returns the instance that holds the lease of a group, nil if none does.
func (d *Deployment) Owner(group string) *Node {
	for _, n := range d.instances {
		i := n.Instance()
		if i == nil {
			continue
		}
		for _, g := range i.Leases() {
			if g == group {
				return n
			}
		}
	}
	return nil
}

// Inject brings about a fault by its name at the first group.
func (d *Deployment) Inject(name string) error {
	group := d.Groups()[0]
	primary := d.Primary(group)
	switch name {
	case PrimaryCrash:
		d.Server(primary).Crash()
	case PrimaryIsolated:
		d.IsolateServer(primary)
	case OwnerCrash:
		if n := d.Owner(group); n != nil {
			d.Kill(n)
		}
	case RegionCut:
		d.CutRegions(true)
	case DataCentreCut:
		d.CutDataCentre(d.places[primary], true)
	case ReplicaLag:
		for _, s := range d.Servers {
			if s.Role() == gwstandin.RoleReplica {
				s.SetFault(gwstandin.Fault{ReplicaLag: demoLag})
			}
		}
	default:
		return &Error{Op: "inject fault", Kind: UnknownFault, Detail: "there is no fault \"" + name + "\""}
	}
	return nil
}

// Kill ends an instance like a crash; what its voter had not synced is lost.
func (d *Deployment) Kill(n *Node) {
	if i := n.Instance(); i != nil {
		n.set(nil)
		i.Kill()
		n.fs.Crash(nil)
	}
}

// Stop is a graceful shutdown of an instance.
func (d *Deployment) Stop(ctx context.Context, n *Node) error {
	i := n.Instance()
	if i == nil {
		return nil
	}
	err := i.Stop(ctx)
	n.set(nil)
	return err
}

// Restart starts a killed or stopped instance again with its settings and data.
func (d *Deployment) Restart(ctx context.Context, n *Node) error { return d.startInstance(ctx, n) }

// IsolateServer cuts a stand-in off from every instance and every other stand-in.
func (d *Deployment) IsolateServer(name string) {
	s := d.Server(name)
	var peers []string
	for _, o := range d.Servers {
		if o != s {
			peers = append(peers, o.Address())
		}
	}
	s.SetFault(gwstandin.Fault{
		RefusePeers: peers, CutClients: func(net.Addr) bool { return true }, CutAnnounce: func(string) bool { return true },
	})
}

// HealServer ends every fault of a stand-in.
func (d *Deployment) HealServer(name string) { d.Server(name).SetFault(gwstandin.Fault{}) }

// CutDataCentre cuts a data centre off from all others, or heals it.
func (d *Deployment) CutDataCentre(dc string, cut bool) {
	for _, other := range d.Plan.dataCentres() {
		if other != dc {
			d.setCut(dc, other, cut)
		}
	}
	d.applyCuts()
}

// CutRegions cuts all regions off from each other, or heals them.
func (d *Deployment) CutRegions(cut bool) {
	centres := d.Plan.dataCentres()
	for i, a := range centres {
		for _, b := range centres[i+1:] {
			if d.Plan.region(a) != d.Plan.region(b) {
				d.setCut(a, b, cut)
			}
		}
	}
	d.applyCuts()
}

func (d *Deployment) setCut(a, b string, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut[[2]string{a, b}] = cut
	d.cut[[2]string{b, a}] = cut
}

func (d *Deployment) isCut(a, b string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut[[2]string{a, b}]
}

// applyCuts makes links, connections to backend servers and replication follow
// the cuts between data centres.
func (d *Deployment) applyCuts() {
	for _, a := range d.instances {
		i := a.Instance()
		if i == nil {
			continue
		}
		for _, b := range d.instances {
			if a != b {
				i.Block(b.Settings.PeerAddress, d.isCut(a.Settings.DataCentre, b.Settings.DataCentre))
			}
		}
	}
	for _, s := range d.Servers {
		d.applyServerCuts(s)
	}
}

func (d *Deployment) applyServerCuts(s *gwstandin.Server) {
	dc := d.places[s.Name()]
	var peers []string
	for _, o := range d.Servers {
		if o != s && d.isCut(dc, d.places[o.Name()]) {
			peers = append(peers, o.Address())
		}
	}
	sources := make(map[string]bool)
	for _, n := range d.instances {
		if d.isCut(dc, n.Settings.DataCentre) {
			sources[n.SourceIP.String()] = true
		}
	}
	f := gwstandin.Fault{RefusePeers: peers}
	if len(sources) > 0 {
		f.CutClients = func(remote net.Addr) bool {
			host, _, err := net.SplitHostPort(remote.String())
			return err == nil && sources[host]
		}
	}
	s.SetFault(f)
}

// AnnounceLeaving makes a stand-in announce that it is leaving.
func (d *Deployment) AnnounceLeaving(server string) { d.Server(server).Leave() }

// LoseDisk kills an instance and empties its data folder.
func (d *Deployment) LoseDisk(n *Node) {
	d.Kill(n)
	n.fs = gwstore.NewMemoryFS()
}

// NextManifest returns the text of the next manifest after an edit.
func (d *Deployment) NextManifest(edit func(*gwmanifest.Manifest)) ([]byte, error) {
	m := *d.manifest
	m.Number = d.latestNumber() + 1
	m.Voters = append([]gwmanifest.Voter(nil), m.Voters...)
	edit(&m)
	return json.Marshal(&m)
}

// latestNumber returns the highest manifest number that any instance knows.
func (d *Deployment) latestNumber() uint64 {
	latest := uint64(0)
	for _, n := range d.instances {
		if i := n.Instance(); i != nil {
			latest = max(latest, i.View().Number)
		}
	}
	return latest
}
