package gwprogram

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/platform"
	"gentianward.example/gentianward/platform/platformtest"
)

// runVariable makes TestRunAsProcess run an instance.
const runVariable = "GENTIANWARD_TEST_RUN_INSTANCE"

// TestRunAsProcess is the main function of the processes that the tests of this file start.
func TestRunAsProcess(t *testing.T) {
	if os.Getenv(runVariable) == "" {
		t.Skip("runs only in a process of another test")
	}
	s, err := platform.ReadSettings(platform.SettingsPath())
	require.NoError(t, err)
	log := gwtelemetry.NewLogger(os.Stderr, slog.LevelInfo, s.Name)
	require.NoError(t, Process{Settings: s, Path: platform.SettingsPath(), Log: log, FS: gwstore.OSFS{}}.Run(context.Background()))
}

// quotaDeployment is a control instance and entry instances, one in each data centre, each a
// process.
type quotaDeployment struct {
	t         *testing.T
	port      int
	cloud     string
	dir       string
	logs      lockedBuffer
	processes map[int]*exec.Cmd // by host
}

const (
	quotaControlHost = 10
	quotaRate        = 20
	quotaBound       = (quotaRate*5+quotaRate)*1.1 + 20
)

func startQuotaDeployment(t *testing.T) *quotaDeployment {
	t.Helper()
	l, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) // holds the port
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	cloud := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	t.Cleanup(cloud.Close)
	d := &quotaDeployment{t: t, port: l.LocalAddr().(*net.UDPAddr).Port, cloud: strings.TrimPrefix(cloud.URL, "http://"), dir: t.TempDir(), processes: make(map[int]*exec.Cmd)}
	t.Cleanup(func() {
		for host := range d.processes {
			d.kill(host)
		}
		if t.Failed() {
			t.Log(d.logs.String())
		}
	})
	for _, host := range []int{quotaControlHost, 20, 21} {
		d.start(host, true)
	}
	return d
}

func (d *quotaDeployment) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.port>>8, d.port&0xff, host)
}

func (d *quotaDeployment) address(host, offset int) string {
	return fmt.Sprintf("%s:%d", d.ip(host), d.port+offset)
}

// start starts the process of a host.
func (d *quotaDeployment) start(host int, first bool) {
	d.t.Helper()
	listen, role, zone := fmt.Sprintf("frontend = %q\nready = %q", d.address(host, 2), d.address(host, 1)), "edge", "a"
	if host == quotaControlHost {
		listen, role = fmt.Sprintf("control_plane = %q", d.address(host, 2)), "control"
	}
	if host == 21 {
		zone = "b"
	}
	text := fmt.Sprintf(`node_name = "n%d"
serves = [%q]
ip = %q
zone = %q
region = "r"
zones = { a = "r", b = "r" }
internal_ports = [%d,%d]
seeds = [%q]
bootstrap = %v
data_dir = %q
[listen_addrs]
%s
[limits]
max_fds = 4200
[bounds]
grace_s = 6
quota_window_s = 5
quota_overage = 0.1
quota_slack = 20
[cloud_api]
address = %q
`, host, role, d.ip(host), zone, d.port, d.port+15, d.address(quotaControlHost, 2), first, filepath.Join(d.dir, "data"), listen, d.cloud)
	path := filepath.Join(d.dir, fmt.Sprintf("boot%d.toml", host))
	require.NoError(d.t, os.WriteFile(path, []byte(text), 0o600))
	cmd := exec.Command(os.Args[0], "-test.run", "^TestRunAsProcess$")
	cmd.Env = append(os.Environ(), runVariable+"=1", platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = &d.logs, &d.logs
	require.NoError(d.t, cmd.Start())
	d.processes[host] = cmd
}

// kill ends the process of a host at once.
func (d *quotaDeployment) kill(host int) {
	_ = d.processes[host].Process.Kill()
	_ = d.processes[host].Wait()
}

// publish publishes a configuration with one customer, and reports the server s to the control
// instance until the test ends.
func (d *quotaDeployment) publish(s *exactServer) {
	d.t.Helper()
	configuration := fmt.Sprintf(`{"version":7,"routes":[{"name":"p","host":"payments","path_prefix":"/","kind":"primary","timeout_ms":8000,"target_latency_ms":4000,"priority":1,"service":"core"}],
"services":[{"name":"core","max_conns":16,"sync_replicas":0}],"limits":{"tx_idle_ms":3000},
"tenants":[{"name":"miny420","api_keys":["k1"],"rate_per_s":%d,"burst":%d}]}`, quotaRate, quotaRate)
	client, control := platformtest.NewClient(), d.address(quotaControlHost, 2)
	require.Eventually(d.t, func() bool {
		status, err := client.Replace(control, configuration)
		return err == nil && status == http.StatusOK
	}, 20*time.Second, 50*time.Millisecond, "configuration accepted")
	go func() {
		for n := 1; d.t.Context().Err() == nil; n++ {
			_ = client.SendHeartbeat(control, platformtest.Heartbeat{Server: "i-1", Service: "core", Address: s.l.Addr().String(), Zone: "a", Role: "primary", Sequence: n})
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// crowd sends statements of the customer without pause, except for a short one after a refusal,
// until ctx ends.
type crowd struct {
	wg sync.WaitGroup

	mu sync.Mutex
	// sent holds when the operations were sent, by their ids.
	sent     map[string]time.Time
	refusals int
	// unchecked counts the refusals because no agent had a share.
	unchecked int
	// refusal is the latest refusal because of the limit.
	refusal string
}

func (c *crowd) run(ctx context.Context, address string) {
	var ses *exactCaller
	for ctx.Err() == nil {
		if ses == nil {
			if ses = openWithKey(address, "k1"); ses == nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		c.mu.Lock()
		if c.sent == nil {
			c.sent = make(map[string]time.Time)
		}
		id := fmt.Sprintf("q%d", len(c.sent))
		c.sent[id] = time.Now()
		c.mu.Unlock()
		switch answer := ses.ask(id, "FETCH 1"); {
		case strings.HasPrefix(answer, "DATAROW"):
		case strings.HasPrefix(answer, "ERROR BUSY"):
			c.mu.Lock()
			c.refusals++
			if strings.Contains(answer, "above its limit") {
				c.refusal = answer
			}
			if strings.Contains(answer, "could not be checked") {
				c.unchecked++
			}
			c.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		default:
			_ = ses.nc.Close()
			ses = nil
		}
	}
	if ses != nil {
		_ = ses.nc.Close()
	}
}

// openWithKey opens a session, or returns nil.
func openWithKey(address, key string) *exactCaller {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	c := newExactCaller(nc)
	if answer := c.send("STARTUP payments " + key); answer != "READY I -" {
		_ = nc.Close()
		return nil
	}
	return c
}

// runs records when the server ran statements of callers.
type runs struct {
	mu  sync.Mutex
	at  []time.Time
	ids []string
}

func (r *runs) record(ctx context.Context, s *exactServer) {
	for ctx.Err() == nil {
		queries, _ := s.take()
		now := time.Now()
		r.mu.Lock()
		for _, q := range queries {
			id, _, _ := strings.Cut(q, " ")
			r.at, r.ids = append(r.at, now), append(r.ids, id)
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// between returns how many statements ran between two times.
func (r *runs) between(from, to time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.at {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// most returns the greatest number of operations that were both sent and run in a window of 5 s.
func (r *runs) most(c *crowd) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for i := range r.at {
		from, n := c.sent[r.ids[i]], 0
		for j, ran := range r.at {
			if ran.Sub(from) < 5*time.Second && !c.sent[r.ids[j]].Before(from) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// startCrowdedDeployment starts a deployment with callers at both entry instances, and waits for the
// first operation. cancel stops the callers.
func startCrowdedDeployment(t *testing.T) (d *quotaDeployment, callers *crowd, ran *runs, cancel context.CancelFunc) {
	t.Helper()
	s := startExactServer(t)
	d = startQuotaDeployment(t)
	d.publish(s)
	ctx, cancel := context.WithCancel(t.Context())
	callers, ran = &crowd{}, &runs{}
	for range 6 {
		for host := 20; host < 22; host++ {
			callers.wg.Go(func() { callers.run(ctx, d.address(host, 2)) })
		}
	}
	go ran.record(ctx, s)
	require.Eventually(t, func() bool { return ran.between(time.Time{}, time.Now()) > 0 }, 20*time.Second, 20*time.Millisecond, "the first operation")
	return d, callers, ran, cancel
}

// Guards against entry instances that together exceed a customer's limit, or refuse what is within
// it: while both are crowded, while one stands still and after it goes on, and after one is killed
// and started again.
func TestQuotaOfTwoProcesses(t *testing.T) {
	d, callers, ran, cancel := startCrowdedDeployment(t)
	time.Sleep(2 * time.Second)
	phase := func(name string, run time.Duration) int {
		from := time.Now()
		time.Sleep(run)
		n := ran.between(from, time.Now())
		t.Logf("%s: %.1f operations per second", name, float64(n)/run.Seconds())
		return n
	}
	const usual = 6 * time.Second
	enough := 0.8 * quotaRate * usual.Seconds()
	assert.GreaterOrEqual(t, float64(phase("both run", usual)), enough)

	const other = 21 // the one that does not own the server
	stopped := d.processes[other].Process
	require.NoError(t, stopped.Signal(syscall.SIGSTOP))
	assert.NotZero(t, phase("one stands still", 3*time.Second))
	require.NoError(t, stopped.Signal(syscall.SIGCONT))
	phase("both run again", 4*time.Second)
	assert.GreaterOrEqual(t, float64(phase("both run again, later", usual)), enough)

	d.kill(other)
	assert.NotZero(t, phase("one is killed", time.Second))
	d.start(other, false)
	phase("it starts again", 4*time.Second)
	assert.GreaterOrEqual(t, float64(phase("both run again, later", usual)), enough)
	cancel()
	callers.wg.Wait()
	t.Logf("at most %d operations in 5 s, %d refusals, such as %s", ran.most(callers), callers.refusals, callers.refusal)
	assert.LessOrEqual(t, float64(ran.most(callers)), quotaBound)
	assert.Regexp(t, `it has capacity in \d+ ms, at \d{4}-`, callers.refusal)
}

// Guards against a restarted leader that interrupts operations, and against shares that come back
// later than 10 s after a loss of power everywhere, or at once, when those of before may just have
// been used.
func TestQuotaAfterLossOfLeaderAndPower(t *testing.T) {
	d, callers, ran, cancel := startCrowdedDeployment(t)
	time.Sleep(3 * time.Second)
	callers.mu.Lock()
	callers.unchecked = 0
	callers.mu.Unlock()
	d.kill(quotaControlHost)
	time.Sleep(300 * time.Millisecond)
	d.start(quotaControlHost, false)
	time.Sleep(4 * time.Second)
	callers.mu.Lock()
	assert.Zero(t, callers.unchecked, "refused for want of a share, after a loss of the leader")
	callers.mu.Unlock()

	for _, host := range []int{quotaControlHost, 20, 21} {
		d.kill(host)
	}
	lost := time.Now()
	for _, host := range []int{quotaControlHost, 20, 21} {
		d.start(host, false)
	}
	require.Eventually(t, func() bool { return ran.between(lost, time.Now()) > 0 }, 20*time.Second, 20*time.Millisecond, "an operation after the loss of power")
	took := time.Since(lost)
	time.Sleep(3 * time.Second)
	cancel()
	callers.wg.Wait()
	t.Logf("first operation %v after the loss of power; at most %d operations in 5 s", took, ran.most(callers))
	assert.Less(t, took, 10*time.Second)
	assert.LessOrEqual(t, float64(ran.most(callers)), quotaBound)
}
