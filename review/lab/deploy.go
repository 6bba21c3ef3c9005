//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// Ports on each loopback address.
const (
	peerPort     = 7440
	controlPort  = 8782
	callerPort   = 8784
	readyPort    = 8785
	platformPort = 8783
)

var zones = []string{"rennes-a", "rennes-b", "brest-a"}

var regionOf = map[string]string{"rennes-a": "rennes", "rennes-b": "rennes", "brest-a": "brest"}

// instance is one process of the system with a loopback address of its own.
type instance struct {
	lab     *lab
	name    string
	ip      string
	zone    string
	control bool
	started bool

	cmd  *exec.Cmd
	done chan struct{}
}

// lab is one run of a case.
type lab struct {
	folder  string
	prefix  string // of all addresses
	program string
	root    string
	record  *os.File
	began   time.Time
	// silent is an address that takes calls and does not answer.
	silent string

	mu        sync.Mutex
	instances []*instance
	groups    map[string]*group
	platform  platformState
	called    func(id string) // receives the servers that the platform is asked to promote
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", l.prefix, host, port) }

func (l *lab) controls() []*instance { return l.withControl(true) }

func (l *lab) entries() []*instance { return l.withControl(false) }

func (l *lab) withControl(control bool) []*instance {
	var out []*instance
	for _, i := range l.instances {
		if i.control == control {
			out = append(out, i)
		}
	}
	return out
}

func (l *lab) controlAddresses() []string {
	var out []string
	for _, i := range l.controls() {
		out = append(out, fmt.Sprintf("%s:%d", i.ip, controlPort))
	}
	return out
}

// settings returns the text of the settings file.
func (i *instance) settings() string {
	var b bytes.Buffer
	class, serves, memory, files := "edge", "edge", 284, 4200
	if i.control {
		class, serves, memory, files = "core", "control", 280, 4096
	}
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nmachine_class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = %q\n", i.name, class, class, serves, i.ip, i.zone, regionOf[i.zone])
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\n", peerPort, peerPort+15)
	seeds, _ := json.Marshal(i.lab.controlAddresses())
	fmt.Fprintf(&b, "seeds = %s\nbootstrap = %v\nin_tolerance = %v\ndiscovery = \"registration\"\ningress = \"vip\"\nheartbeat_ms = 1200\nconfig_mode = \"highest\"\n", seeds, !i.started, i.control)
	if i.control {
		fmt.Fprintf(&b, "data_dir = %q\n", filepath.Join(i.lab.folder, i.name))
	}
	b.WriteString("[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z, regionOf[z])
	}
	b.WriteString("[listen_addrs]\n")
	if i.control {
		fmt.Fprintf(&b, "control_plane = \"%s:%d\"\n", i.ip, controlPort)
	} else {
		fmt.Fprintf(&b, "frontend = \"%s:%d\"\nready = \"%s:%d\"\n", i.ip, callerPort, i.ip, readyPort)
	}
	fmt.Fprintf(&b, "[limits]\ncpu_quota = 0.4\ncpus = 1\nmemory_mb = %d\nmax_fds = %d\nbandwidth_mbps = 1000.0\n", memory, files)
	b.WriteString("[fault_tolerance]\nnodes = 1\nzones = 0\nregions = 0\n")
	b.WriteString("[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 5000\nack_ms = 6000\ncatch_up_s = 4\ndrain_ms = 7000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 4000\nback_ms = 250\nmax_skew_ms = 15000\nrecovery_s = 12\nrequire_fencing = false\nthaw_ms = 300\n")
	fmt.Fprintf(&b, "[cloud_api]\naddress = %q\nrate_per_s = 50.0\nduties = [\"failover\"]\nduty_per_s = 50.0\n", i.lab.address(100, platformPort))
	return b.String()
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	file := filepath.Join(i.lab.folder, i.name+".toml")
	if err := os.WriteFile(file, []byte(i.settings()), 0o600); err != nil {
		return err
	}
	if i.control {
		if err := os.MkdirAll(filepath.Join(i.lab.folder, i.name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(i.lab.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(i.lab.program, "run")
	cmd.Dir = i.lab.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.lab.folder, "LANG=C", "GENTIANWARD_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	i.started, i.cmd, i.done = true, cmd, make(chan struct{})
	i.lab.note("PROCESS %s at %s started", i.name, i.ip)
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(i.done)
	return nil
}

// kill ends the process and waits for its end.
func (i *instance) kill() {
	_ = i.cmd.Process.Kill()
	<-i.done
}

// newLab prepares a run with its instances, none of which is started.
func newLab(recordFile string) (*lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "gentianward-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	l := &lab{
		folder: folder, root: root, program: filepath.Join(root, "target", "gentianward-platform"), record: record, began: time.Now(),
		prefix: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, time.Now().UnixNano()/1000%250+1), groups: make(map[string]*group),
	}
	for n, z := range zones {
		l.instances = append(l.instances, &instance{lab: l, name: "core-" + z, ip: fmt.Sprintf("%s.%d", l.prefix, 11+n), zone: z, control: true})
	}
	for n := range 6 {
		z := zones[n%len(zones)]
		l.instances = append(l.instances, &instance{lab: l, name: fmt.Sprintf("edge-%s-%d", z, n/len(zones)+1), ip: fmt.Sprintf("%s.%d", l.prefix, 21+n), zone: z})
	}
	return l, nil
}

// listenSilent opens the address of peers that are behind a partition.
func (l *lab) listenSilent() error {
	nl, err := net.Listen("tcp", l.prefix+".99:0")
	if err != nil {
		return err
	}
	l.silent = nl.Addr().String()
	go func() {
		for {
			nc, err := nl.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(2*callTimeout, func() { _ = nc.Close() })
		}
	}()
	return nil
}

// platformState is how the platform's API answers.
type platformState int

const (
	platformUp platformState = iota
	// platformDown breaks calls off and does nothing.
	platformDown
)

func (l *lab) setPlatform(s platformState) {
	l.mu.Lock()
	l.platform = s
	l.mu.Unlock()
	l.note("PLATFORM is down: %v", s == platformDown)
}

// servePlatform serves the platform's API.
func (l *lab) servePlatform() error {
	nl, err := net.Listen("tcp", l.address(100, platformPort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		l.mu.Lock()
		state, called := l.platform, l.called
		l.mu.Unlock()
		if called != nil {
			called(body.ID)
		}
		g := l.groups[body.Service]
		if state == platformDown {
			l.note("PLATFORM breaks off the call for %s by %s", body.ID, r.Header.Get("X-Gentianward-Lease-Holder"))
			panic(http.ErrAbortHandler)
		}
		ok := g != nil && g.promote(body.ID)
		l.note("PLATFORM promote %s of %s by %s with fence %s: accepted %v", body.ID, body.Service, r.Header.Get("X-Gentianward-Lease-Holder"), r.Header.Get("X-Gentianward-Fencing-Token"), ok)
		if !ok {
			w.WriteHeader(http.StatusConflict)
		}
	})
	go func() { _ = http.Serve(nl, mux) }()
	return nil
}

// configuration returns a configuration with a route of each kind to each service.
func (l *lab) configuration(version int) []byte {
	var routes, services []map[string]any
	for name := range l.groups {
		for _, kind := range []string{"primary", "read_your_writes", "bounded_staleness"} {
			routes = append(routes, map[string]any{
				"name": "r-" + name + kind, "host": name + "-" + kind, "path_prefix": "/", "kind": kind, "timeout_ms": 1500, "target_latency_ms": 800,
				"priority": 1, "service": name, "max_attempts": 2, "max_staleness_ms": 1500,
			})
		}
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 16, "protocol": "h1", "tls": false, "sync_replicas": 1})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	return b
}

// publish sends a configuration until it is acknowledged.
func (l *lab) publish(version int) error {
	client := http.Client{Timeout: callTimeout}
	body := l.configuration(version)
	for n := range 40 {
		if post(&client, "http://"+l.controlAddresses()[n%3]+"/Config.Replace", body) {
			l.note("OPERATOR configuration %d acknowledged", version)
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d is not acknowledged", version)
}

// startAll starts all instances, publishes the first configuration and waits until all are ready.
func (l *lab) startAll() error {
	if err := l.listenSilent(); err != nil {
		return err
	}
	if err := l.servePlatform(); err != nil {
		return err
	}
	for _, i := range l.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	if err := l.publish(7); err != nil {
		return err
	}
	client := http.Client{Timeout: callTimeout}
	for deadline := time.Now().Add(15 * time.Second); ; {
		ready := 0
		for _, i := range l.entries() {
			if resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", i.ip, readyPort)); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(l.entries()) {
			l.note("OPERATOR all entry instances are ready")
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d entry instances are ready", ready)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// end ends all processes and removes the folder.
func (l *lab) end() {
	for _, i := range l.instances {
		if i.cmd != nil {
			i.kill()
		}
	}
	if os.Getenv("LAB_KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	} else {
		fmt.Println(l.folder)
	}
	_ = l.record.Close()
}
