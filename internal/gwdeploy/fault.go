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

// Names of the faults that Inject accepts.
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

// injectedReplicaLag is the replication lag of the fault ReplicaLag.
const injectedReplicaLag = 5 * time.Second

// Primary returns the name of a group's primary according to the instance with the latest
// state of the group.
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

// Inject injects the fault with that name, at the first group where it concerns one group.
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
		d.CutDataCentre(d.serverDataCentre[primary], true)
	case ReplicaLag:
		for _, s := range d.Servers {
			if s.Role() == gwstandin.RoleReplica {
				s.SetFault(gwstandin.Fault{ReplicaLag: injectedReplicaLag})
			}
		}
	default:
		return &Error{Op: "inject fault", Kind: UnknownFault, Detail: "there is no fault \"" + name + "\""}
	}
	return nil
}

// Kill ends an instance as a crash would. Data that its voter had not synced to disk is
// lost.
func (d *Deployment) Kill(n *Node) {
	if i := n.Instance(); i != nil {
		n.setInstance(nil)
		i.Kill()
		n.fs.Crash(nil)
	}
}

// Stop stops an instance gracefully.
func (d *Deployment) Stop(ctx context.Context, n *Node) error {
	i := n.Instance()
	if i == nil {
		return nil
	}
	err := i.Stop(ctx)
	n.setInstance(nil)
	return err
}

// Restart starts a killed or stopped instance again, with its settings and data folder.
func (d *Deployment) Restart(ctx context.Context, n *Node) error { return d.startInstance(ctx, n) }

// IsolateServer partitions the network between a stand-in and every instance and every
// other stand-in.
func (d *Deployment) IsolateServer(name string) {
	s := d.Server(name)
	var peers []string
	for _, o := range d.Servers {
		if o != s {
			peers = append(peers, o.Address())
		}
	}
	s.SetFault(gwstandin.Fault{
		CutPeers: peers, CutClients: func(net.Addr) bool { return true }, CutAnnouncements: func(string) bool { return true },
	})
}

// HealServer removes every fault of a stand-in.
func (d *Deployment) HealServer(name string) { d.Server(name).SetFault(gwstandin.Fault{}) }

// CutDataCentre partitions the network between a data centre and all others, or heals the
// partition if cut is false.
func (d *Deployment) CutDataCentre(dc string, cut bool) {
	for _, other := range d.Plan.dataCentres() {
		if other != dc {
			d.setCut(dc, other, cut)
		}
	}
	d.applyCuts()
}

// CutRegions partitions the network between all regions, or heals the partition if cut is
// false.
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

// applyCuts blocks or restores the links of instances, their connections to backend
// servers and the replication between servers according to d.cut.
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
	dc := d.serverDataCentre[s.Name()]
	var peers []string
	for _, o := range d.Servers {
		if o != s && d.isCut(dc, d.serverDataCentre[o.Name()]) {
			peers = append(peers, o.Address())
		}
	}
	sources := make(map[string]bool)
	for _, n := range d.instances {
		if d.isCut(dc, n.Settings.DataCentre) {
			sources[n.SourceIP.String()] = true
		}
	}
	f := gwstandin.Fault{CutPeers: peers}
	if len(sources) > 0 {
		f.CutClients = func(remote net.Addr) bool {
			host, _, err := net.SplitHostPort(remote.String())
			return err == nil && sources[host]
		}
	}
	s.SetFault(f)
}

// AnnounceLeaving makes a stand-in announce that it will leave the deployment.
func (d *Deployment) AnnounceLeaving(server string) { d.Server(server).Leave() }

// LoseDisk kills an instance and deletes the content of its data folder.
func (d *Deployment) LoseDisk(n *Node) {
	d.Kill(n)
	n.fs = gwstore.NewMemoryFS()
}

// NextManifest returns the text of a manifest with the next number: the first manifest,
// changed by edit.
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
