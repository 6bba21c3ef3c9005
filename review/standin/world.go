//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones of the deployment with their regions.
var zones = []struct{ name, region string }{{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "south"}}

const (
	sameZone    = 200 * time.Microsecond
	sameRegion  = 500 * time.Microsecond
	otherRegion = 30 * time.Millisecond
	jitter      = 0.3 // of a delay

	edgesPerZone = 2
	services     = 8
	writers      = 12 // sessions per service
	startTime    = 20 * time.Second
)

// world is one deployment with everything around it.
type world struct {
	program, folder string
	prefix          string // of the addresses
	ports           [4]int // frontend, ready, control, first internal port
	started         time.Time

	outMu sync.Mutex
	out   io.Writer

	cores, edges []*instance
	groups       []*group
	nextServer   int
	platform     string

	mu             sync.Mutex
	slowDelay      time.Duration
	slowUntil      time.Time
	lastToken      map[string]int
	onFirstPromote map[string]func(s *server)
	ended          bool
	broken         []string
	successes      int
	failures       map[string]int
}

// instance is one process.
type instance struct {
	name, zone, region, ip string
	core                   bool
	cmd                    *exec.Cmd
	done                   chan struct{}
}

func newWorld(program, folder string, out io.Writer) *world {
	return &world{
		program: program, folder: folder, out: out, started: time.Now(), nextServer: 100,
		prefix:    fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256)),
		lastToken: make(map[string]int), onFirstPromote: make(map[string]func(*server)), failures: make(map[string]int),
	}
}

// logf writes one line with the time since the start to the record.
func (w *world) logf(format string, args ...any) {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	_, _ = fmt.Fprintf(w.out, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

// delay returns the one-way delay between two zones, with some spread.
func (w *world) delay(a, b string) time.Duration {
	d := otherRegion
	switch {
	case a == b:
		d = sameZone
	case region(a) == region(b):
		d = sameRegion
	}
	return time.Duration(float64(d) * (1 + jitter*rand.Float64()))
}

// orderDelay returns how long an order of the leader takes to a zone and its answer back.
func (w *world) orderDelay(zone string) time.Duration {
	if region(zone) == zones[0].region {
		return 0
	}
	return 2 * otherRegion
}

func region(zone string) string {
	for _, z := range zones {
		if z.name == zone {
			return z.region
		}
	}
	return ""
}

func (w *world) nextServerAddress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextServer++
	return fmt.Sprintf("%s%d:0", w.prefix, w.nextServer)
}

// choosePorts chooses ports that are free on all addresses of instances.
func (w *world) choosePorts() error {
	for range 50 {
		base := 20000 + rand.IntN(20000)
		w.ports = [4]int{base, base + 1, base + 2, base + 10}
		free := true
		for _, i := range w.instances() {
			for _, p := range w.ports {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", i.ip, p))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (w *world) instances() []*instance {
	return append(append([]*instance(nil), w.cores...), w.edges...)
}

// begin starts the deployment and waits until it serves.
func (w *world) begin() error {
	for i, z := range zones {
		w.cores = append(w.cores, &instance{name: "core-" + z.name, zone: z.name, region: z.region, ip: fmt.Sprintf("%s%d", w.prefix, 11+i), core: true})
		for k := range edgesPerZone {
			w.edges = append(w.edges, &instance{name: fmt.Sprintf("edge-%s-%d", z.name, k+1), zone: z.name, region: z.region, ip: fmt.Sprintf("%s%d", w.prefix, 21+i*edgesPerZone+k)})
		}
	}
	if err := w.choosePorts(); err != nil {
		return err
	}
	if err := w.servePlatform(); err != nil {
		return err
	}
	for _, i := range w.instances() {
		if err := w.startInstance(i); err != nil {
			return err
		}
	}
	for k := range services {
		var order []string
		for j := range zones {
			order = append(order, zones[(k+j)%len(zones)].name)
		}
		w.groups = append(w.groups, newGroup(w, fmt.Sprintf("db%d", k+1), order))
	}
	w.publish(1)
	for _, g := range w.groups {
		for k := range writers {
			go w.write(g, k)
		}
	}
	deadline := time.Now().Add(startTime)
	for time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		serving := 0
		for _, g := range w.groups {
			g.mu.Lock()
			if len(g.acked) > 0 {
				serving++
			}
			g.mu.Unlock()
		}
		if serving == len(w.groups) {
			w.logf("every service accepts writes")
			return nil
		}
	}
	return fmt.Errorf("not every service accepts writes after %s", startTime)
}

// settings returns the settings file of an instance.
func (w *world) settings(i *instance) string {
	var b strings.Builder
	quote := func(s string) string { q, _ := json.Marshal(s); return string(q) }
	class, serves := "edge", "edge"
	if i.core {
		class, serves = "core", "control"
	}
	fmt.Fprintf(&b, "node_name = %s\nrole = %q\nmachine_class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = %q\n", quote(i.name), class, class, serves, i.ip, i.zone, i.region)
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\n", w.ports[3], w.ports[3]+15)
	var seeds []string
	for _, c := range w.cores {
		seeds = append(seeds, quote(fmt.Sprintf("%s:%d", c.ip, w.ports[2])))
	}
	fmt.Fprintf(&b, "seeds = [%s]\nbootstrap = true\nin_tolerance = %v\ndiscovery = \"registration\"\ningress = \"vip\"\nheartbeat_ms = 1200\nconfig_mode = \"highest\"\n", strings.Join(seeds, ","), i.core)
	if i.core {
		fmt.Fprintf(&b, "data_dir = %s\n", quote(filepath.Join(w.folder, i.name)))
	}
	b.WriteString("[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z.name, z.region)
	}
	b.WriteString("[listen_addrs]\n")
	if i.core {
		fmt.Fprintf(&b, "control_plane = \"%s:%d\"\n", i.ip, w.ports[2])
	} else {
		fmt.Fprintf(&b, "frontend = \"%s:%d\"\nready = \"%s:%d\"\n", i.ip, w.ports[0], i.ip, w.ports[1])
	}
	b.WriteString("[limits]\ncpu_quota = 0.4\ncpus = 1\nmemory_mb = 284\nmax_fds = 4200\n[fault_tolerance]\nnodes = 1\nzones = 0\nregions = 0\n")
	b.WriteString("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 5000\nack_ms = 6000\ncatch_up_s = 4\ndrain_ms = 7000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 4000\nback_ms = 250\nmax_skew_ms = 15000\nrecovery_s = 12\nrequire_fencing = false\nthaw_ms = 300\n")
	fmt.Fprintf(&b, "[cloud_api]\naddress = %q\nrate_per_s = 50.0\nduties = [\"failover\"]\nduty_per_s = 50.0\n", w.platform)
	return b.String()
}

// startInstance starts the process of an instance with the command of the deploy file.
func (w *world) startInstance(i *instance) error {
	folder := filepath.Join(w.folder, i.name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	file := filepath.Join(w.folder, i.name+".toml")
	if err := os.WriteFile(file, []byte(w.settings(i)), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, i.name+".log"))
	if err != nil {
		return err
	}
	i.cmd = exec.Command(w.program, "run")
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "GENTIANWARD_NODE_FILE=" + file}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.done = make(chan struct{})
	go func() {
		_ = i.cmd.Wait()
		close(i.done)
	}()
	return nil
}

// close ends all processes that were started.
func (w *world) close() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	if folder := os.Getenv("REVIEW_LOGS"); folder != "" {
		defer w.keepLogs(folder)
	}
	for _, i := range w.instances() {
		if i.cmd != nil && i.cmd.Process != nil {
			_ = i.cmd.Process.Signal(syscall.SIGKILL)
			<-i.done
		}
	}
}

// keepLogs copies the logs of the instances to a folder.
func (w *world) keepLogs(folder string) {
	for _, i := range w.instances() {
		b, err := os.ReadFile(filepath.Join(w.folder, i.name+".log"))
		if err == nil {
			_ = os.WriteFile(filepath.Join(folder, i.name+".log"), b, 0o644)
		}
	}
}

var httpClient = &http.Client{Timeout: time.Second}

// callControl sends a call to one of the core instances.
func (w *world) callControl(at int, path, body string) bool {
	c := w.cores[at%len(w.cores)]
	resp, err := httpClient.Post(fmt.Sprintf("http://%s:%d%s", c.ip, w.ports[2], path), "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (w *world) deregister(s *server) {
	body := fmt.Sprintf(`{"born":%d}`, s.born)
	for at := range 6 {
		if w.callControl(at, "/Instances.Deregister/"+s.id, body) {
			return
		}
	}
}

// publish sends a configuration until it is acknowledged.
func (w *world) publish(version int) {
	var routes, services []string
	for _, g := range w.groups {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%[1]s","host":"host-%[1]s","path_prefix":"/","kind":"primary","timeout_ms":800,"target_latency_ms":800,"priority":1,"service":%[1]q,"max_attempts":2}`, g.name))
		services = append(services, fmt.Sprintf(`{"name":%q,"health_path":"/healthz","max_conns":16,"protocol":"h1","tls":false,"sync_replicas":1}`, g.name))
	}
	body := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000}}`,
		version, strings.Join(routes, ","), strings.Join(services, ","))
	for at := range 200 {
		if w.callControl(at, "/Config.Replace", body) {
			w.logf("configuration %d acknowledged", version)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// servePlatform serves the platform's API. A slow platform receives each call later and
// acts on it then, whether or not the caller still waits.
func (w *world) servePlatform() error {
	l, err := net.Listen("tcp", w.prefix+"9:0")
	if err != nil {
		return err
	}
	w.platform = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var call struct{ Service, ID string }
		if json.Unmarshal(body, &call) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		holder, token := r.Header.Get("X-Gentianward-Lease-Holder"), r.Header.Get("X-Gentianward-Fencing-Token")
		w.logf("promote sent: service %s id %s holder %s token %s", call.Service, call.ID, holder, token)
		g := w.group(call.Service)
		if g == nil {
			rw.WriteHeader(http.StatusNotFound)
			return
		}
		if d := w.onPromote(g, call.ID); d > 0 {
			time.Sleep(d)
		}
		ok := g.promote(call.ID)
		w.logf("promote arrived: service %s id %s holder %s token %s: %v", call.Service, call.ID, holder, token, ok)
		if !ok {
			rw.WriteHeader(http.StatusConflict)
			return
		}
		rw.WriteHeader(http.StatusOK)
	})
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

func (w *world) group(name string) *group {
	for _, g := range w.groups {
		if g.name == name {
			return g
		}
	}
	return nil
}

// onPromote returns by how much a call is delayed. The first call about a service starts
// the window in which the platform is slow.
func (w *world) onPromote(g *group, id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.onFirstPromote[g.name]; f != nil {
		delete(w.onFirstPromote, g.name)
		w.slowUntil = time.Now().Add(slowWindow)
		g.mu.Lock()
		for _, s := range g.servers {
			if s.id == id {
				go f(s)
			}
		}
		g.mu.Unlock()
	}
	if time.Now().Before(w.slowUntil) {
		return w.slowDelay
	}
	return 0
}
