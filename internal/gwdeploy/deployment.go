package gwdeploy

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwstandin"
	"gentianward.example/gentianward/internal/gwstore"
)

// Options configures a deployment.
type Options struct {
	Plan *Plan
	// Delay applies the plan's network delays and bandwidth.
	Delay bool
	// FixedPorts uses the caller addresses of the example settings; otherwise free ports
	// are chosen.
	FixedPorts bool
	// Unlimited removes the limits on slots and connections and the connect cost of the
	// stand-ins, for measurements of throughput.
	Unlimited bool
	// ReplicationDelay is a delay of replication to every replica, in addition to the
	// network delay.
	ReplicationDelay time.Duration
	// EditManifest, if not nil, changes the manifest before it is used.
	EditManifest func(*gwmanifest.Manifest)
	// FreshWithoutLease: see gwowner.Options.
	FreshWithoutLease bool
	Log               *slog.Logger
}

// Deployment is a running deployment: its instances, stand-ins and network.
type Deployment struct {
	Options
	Network *gwpeer.Network
	Servers []*gwstandin.Server

	clock            clockwork.Clock
	authority        *gwpeer.Authority
	manifest         *gwmanifest.Manifest
	serverDataCentre map[string]string // by name of the stand-in

	mu        sync.Mutex
	instances []*Node
	cut       map[[2]string]bool // whether the network between two data centres is cut
}

// Node is one instance of a deployment, running or not.
type Node struct {
	Settings *gwmanifest.Settings
	// SourceIP is the loopback address from which it connects to backend servers.
	SourceIP net.IP
	tls      gwpeer.TLSSource
	fs       *gwstore.MemoryFS

	mu       sync.Mutex
	instance *gwdaemon.Instance
}

// Instance returns the running instance, nil if it was killed or stopped.
func (n *Node) Instance() *gwdaemon.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instance
}

func (n *Node) setInstance(i *gwdaemon.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.instance = i
}

// Start starts the instances and the stand-ins and returns without waiting until they are
// ready.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	authority, err := gwpeer.NewAuthority("gentianward " + o.Plan.Name)
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Options: o, clock: clockwork.NewRealClock(), authority: authority,
		serverDataCentre: make(map[string]string), cut: make(map[[2]string]bool),
	}
	network := gwpeer.NetworkOptions{}
	if o.Delay {
		network = gwpeer.NetworkOptions{IntraRegionDelay: o.Plan.IntraRegionDelay, InterRegionDelay: o.Plan.InterRegionDelay, Bandwidth: o.Plan.Bandwidth}
	}
	d.Network = gwpeer.NewNetwork(network)
	if err := d.prepareInstances(); err != nil {
		return nil, err
	}
	for _, n := range d.instances {
		if err := d.startInstance(ctx, n); err != nil {
			d.Close()
			return nil, err
		}
	}
	if err := d.startServers(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// prepareInstances gives every instance its addresses and keys, and builds the manifest
// with these addresses.
func (d *Deployment) prepareInstances() error {
	addresses := make(map[string]string)
	for i, s := range d.Plan.Settings {
		settings := *s
		settings.Bootstrap, settings.TrustLoopback = "", true
		if !d.FixedPorts {
			settings.CallerAddress = "127.0.0.1:0"
		}
		peer, err := freeAddress("udp")
		if err != nil {
			return err
		}
		operatorAddress, err := freeAddress("tcp")
		if err != nil {
			return err
		}
		settings.PeerAddress, settings.OperatorAddress = peer, operatorAddress
		if err := d.Network.Place(peer, s.DataCentre, s.Region); err != nil {
			return err
		}
		addresses[s.Instance] = peer
		source, err := d.authority.IssueSourceAt(s.Instance, processIP())
		if err != nil {
			return err
		}
		d.instances = append(d.instances, &Node{
			Settings: &settings, SourceIP: net.IPv4(127, 0, 1, byte(i+1)), tls: source, fs: gwstore.NewMemoryFS(),
		})
	}
	return d.buildManifest(addresses)
}

func (d *Deployment) buildManifest(addresses map[string]string) error {
	m := *d.Plan.Manifest.WithDefaults()
	m.Voters = append([]gwmanifest.Voter(nil), m.Voters...)
	for i, v := range m.Voters {
		m.Voters[i].Address = addresses[v.Instance]
	}
	m.Callers = append([]gwmanifest.Caller(nil), m.Callers...)
	for i := range m.Callers {
		m.Callers[i].Trust, m.Callers[i].Verifier = true, ""
	}
	if d.EditManifest != nil {
		d.EditManifest(&m)
	}
	text, err := json.Marshal(&m)
	if err != nil {
		return err
	}
	d.manifest, err = gwmanifest.ParseManifest(d.Plan.Name, text)
	if err != nil {
		return err
	}
	var seeds []string
	for _, v := range m.Voters {
		seeds = append(seeds, v.Address)
	}
	for _, n := range d.instances {
		n.Settings.Seeds = nil
		for _, s := range seeds {
			if s != n.Settings.PeerAddress {
				n.Settings.Seeds = append(n.Settings.Seeds, s)
			}
		}
	}
	return nil
}

// Ports of the instances are chosen below the ephemeral range of the system, because an
// outgoing connection could otherwise take a port after it was found free.
const (
	firstPort    = 10_000
	lastPort     = 32_000
	portAttempts = 100
)

// processIP returns the loopback address of the instances of this process. Deployments of
// other processes, such as the tests of other packages, have other ones, so that none can
// take a port between its choice and its use.
func processIP() net.IP {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+pid>>16&0x7f), byte(pid>>8), byte(pid))
}

// chosen holds the addresses that freeAddress has returned in this process.
var chosen struct {
	mu        sync.Mutex
	addresses map[string]bool
}

// freeAddress returns an address of this process with a free port, each only once.
func freeAddress(network string) (string, error) {
	chosen.mu.Lock()
	defer chosen.mu.Unlock()
	if chosen.addresses == nil {
		chosen.addresses = make(map[string]bool)
	}
	var last error
	for range portAttempts {
		address := net.JoinHostPort(processIP().String(), strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		if chosen.addresses[network+address] {
			continue
		}
		if last = tryListen(network, address); last == nil {
			chosen.addresses[network+address] = true
			return address, nil
		}
	}
	return "", last
}

func tryListen(network, address string) error {
	if network == "udp" {
		c, err := net.ListenPacket(network, address)
		if err != nil {
			return err
		}
		return c.Close()
	}
	l, err := net.Listen(network, address)
	if err != nil {
		return err
	}
	return l.Close()
}

func (d *Deployment) startInstance(ctx context.Context, n *Node) error {
	key, err := hex.DecodeString(n.Settings.SessionKey)
	if err != nil {
		return err
	}
	o := gwdaemon.Options{
		Settings: n.Settings, InitialManifest: d.manifest, Clock: d.clock, Log: d.Log.With("instance", n.Settings.Instance),
		TLS: n.tls, SessionKey: key, Shaper: d.Network, DialBackend: d.dialer(n), Telemetry: gwdaemon.NewTelemetry(),
		Tuning: gwdaemon.Tuning{FreshWithoutLease: d.FreshWithoutLease},
	}
	if n.Settings.DataFolder != "" {
		o.FS = n.fs
	}
	i, err := gwdaemon.Start(ctx, o)
	if err != nil {
		return err
	}
	n.setInstance(i)
	d.applyCuts()
	return nil
}

// dialer returns a dial function that connects to backend servers from the instance's own
// source address, by which a stand-in identifies the instance of a connection.
func (d *Deployment) dialer(n *Node) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: n.SourceIP}}
	return dialer.DialContext
}

func (d *Deployment) startServers(ctx context.Context) error {
	var urls []string
	for _, n := range d.instances {
		urls = append(urls, "http://"+n.Settings.OperatorAddress)
	}
	centres := d.Plan.dataCentres()
	for _, db := range d.manifest.Databases {
		for g, group := range db.Groups {
			if err := d.startGroup(ctx, group.Name, g, centres, urls); err != nil {
				return err
			}
		}
	}
	return nil
}

// startGroup starts one stand-in of a group in each data centre. The primary is in the
// data centre with index firstCentre, so that the primaries of the groups are spread.
func (d *Deployment) startGroup(ctx context.Context, group string, firstCentre int, centres, urls []string) error {
	primary := ""
	for i := range centres {
		dc := centres[(firstCentre+i)%len(centres)]
		o := gwstandin.Options{
			Name: group + "-" + dc, Group: group, DataCentre: dc, Address: "127.0.0.1:0", Role: gwstandin.RoleReplica,
			Slots: d.Plan.Slots, Connections: d.Plan.Connections, ConnectCost: d.Plan.ConnectCost,
			ReplicationDelay: d.ReplicationDelay, Announce: d.announceURLs(dc, urls), Logger: d.Log.With("server", group+"-"+dc),
		}
		if d.Delay {
			o.ReplicationDelay += d.Plan.delay(centres[firstCentre%len(centres)], dc)
		}
		if d.Unlimited {
			o.Slots, o.Connections, o.ConnectCost = 0, 0, 0
		}
		if i == 0 {
			o.Role, o.Term = gwstandin.RolePrimary, 1
		} else {
			o.PrimaryAddress = primary
		}
		s, err := gwstandin.Start(ctx, o)
		if err != nil {
			return err
		}
		if i == 0 {
			primary = s.Address()
		}
		d.serverDataCentre[o.Name] = dc
		d.Servers = append(d.Servers, s)
	}
	return nil
}

// announceURLs returns the URLs of the instances in a data centre, to which its stand-ins
// send their announcements, as through the load balancer of a platform.
func (d *Deployment) announceURLs(dc string, urls []string) []string {
	var out []string
	for i, n := range d.instances {
		if n.Settings.DataCentre == dc {
			out = append(out, urls[i])
		}
	}
	return out
}

// Instances returns all instances in the order of the plan.
func (d *Deployment) Instances() []*Node { return d.instances }

// Instance returns the instance of that name, nil if there is none.
func (d *Deployment) Instance(name string) *Node {
	for _, n := range d.instances {
		if n.Settings.Instance == name {
			return n
		}
	}
	return nil
}

// Server returns the stand-in of that name, nil if there is none.
func (d *Deployment) Server(name string) *gwstandin.Server {
	for _, s := range d.Servers {
		if s.Name() == name {
			return s
		}
	}
	return nil
}

// URL returns the PostgreSQL URL at which a caller reaches a group through an instance, ""
// if the instance is not running.
func (d *Deployment) URL(n *Node, caller, group string) string {
	i := n.Instance()
	if i == nil {
		return ""
	}
	return fmt.Sprintf("postgres://%s@%s/%s%%2F%s?sslmode=disable", caller, i.CallerAddress(), d.manifest.Databases[0].Name, group)
}

// Groups returns the names of the groups.
func (d *Deployment) Groups() []string {
	var out []string
	for _, db := range d.manifest.Databases {
		for _, g := range db.Groups {
			out = append(out, g.Name)
		}
	}
	return out
}

// readyPollInterval is how often WaitReady checks whether the deployment is ready.
const readyPollInterval = 5 * time.Millisecond

// WaitReady waits until every running instance has the manifest and knows the primary and
// all servers of every group, and an instance holds the lease of every group. If ctx ends
// first, it returns an Error of kind NotReady.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for {
		missing := d.notReadyDetail()
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "wait until ready", Kind: NotReady, Detail: missing, Err: ctx.Err()}
		case <-d.clock.After(readyPollInterval):
		}
	}
}

// notReadyDetail describes a part of the deployment that is not ready yet, "" if all parts
// are ready.
func (d *Deployment) notReadyDetail() string {
	leases := make(map[string]bool)
	for _, n := range d.instances {
		i := n.Instance()
		if i == nil {
			continue
		}
		if !i.Ready() {
			return "instance " + n.Settings.Instance + " has no manifest"
		}
		for _, g := range i.Leases() {
			leases[g] = true
		}
		for _, g := range d.Groups() {
			if i.View().Groups[g].Primary == "" {
				return "instance " + n.Settings.Instance + " knows no primary of group " + g
			}
			if i.ServerCount(g) < len(d.Plan.dataCentres()) {
				return "instance " + n.Settings.Instance + " does not know all servers of group " + g
			}
		}
	}
	for _, g := range d.Groups() {
		if !leases[g] {
			return "no instance holds the lease of group " + g
		}
	}
	return ""
}

// Close kills all instances and then stops all stand-ins.
func (d *Deployment) Close() {
	var wg sync.WaitGroup
	for _, n := range d.instances {
		if i := n.Instance(); i != nil {
			wg.Go(i.Kill)
		}
	}
	wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range d.Servers {
		wg.Go(func() { _ = s.Stop(ctx) })
	}
	wg.Wait()
}

// Callers returns the names of the callers of the manifest.
func (d *Deployment) Callers() []string {
	var out []string
	for _, c := range d.manifest.Callers {
		out = append(out, c.Name)
	}
	return out
}

// FirstCaller returns the name of the first caller of the manifest.
func (d *Deployment) FirstCaller() string { return d.manifest.Callers[0].Name }
