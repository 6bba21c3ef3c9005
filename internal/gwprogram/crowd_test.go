package gwprogram

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/platform"
	"gentianward.example/gentianward/platform/platformtest"
)

// Limits in the settings of the processes that crowds of clients are sent to. They are below
// those of production so that small crowds reach them.
const (
	crowdEntryMemory   = 128 << 20
	crowdControlMemory = 192 << 20
	crowdFiles         = 1000
	// crowdBound is the fraction of a limit that a process may use.
	crowdBound = 0.9
)

// crowdPlayTime bounds how long the clients of a crowd send. What they hold by then stays open
// until the checks have ended.
const crowdPlayTime = 8 * time.Second

// crowdProcess is a process of the system that the test started.
type crowdProcess struct {
	name     string
	settings platform.Settings
	cmd      *exec.Cmd
	log      string
	ended    chan struct{}
	// mostFiles is the greatest number of open descriptors that was seen.
	mostFiles atomic.Int64
}

// crowdDeployment is a control instance and two entry instances, each a process of its own, and
// one server of the test's process, which one of the entry instances owns.
type crowdDeployment struct {
	t         *testing.T
	network   string // first three bytes of the addresses
	server    *exactServer
	control   *crowdProcess
	entries   []*crowdProcess
	processes []*crowdProcess
	client    *platformtest.Client
}

// buildProgram builds the program without the race detector, which would multiply its memory.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gentianward-platform")
	out, err := exec.Command("go", "build", "-o", path, "gentianward.example/gentianward/cmd/gentianward-platform").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

func startCrowdDeployment(t *testing.T) *crowdDeployment {
	t.Helper()
	program := buildProgram(t)
	l, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) // holds the port
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	port := l.LocalAddr().(*net.UDPAddr).Port
	cloud := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	t.Cleanup(cloud.Close)
	d := &crowdDeployment{t: t, network: fmt.Sprintf("127.%d.%d.", port>>8, port&0xff), server: startExactServer(t), client: platformtest.NewClient()}
	address := func(host, offset int) string { return fmt.Sprintf("%s%d:%d", d.network, host, port+offset) }
	start := func(host int, s platform.Settings) *crowdProcess {
		s.IP = netip.MustParseAddrPort(address(host, 0)).Addr()
		s.Name, s.DataCentre, s.Region, s.Regions = s.IP.String(), "a", "r", map[string]string{"a": "r"}
		s.PeerPort, s.Seeds, s.FirstStart = port, []netip.Addr{netip.MustParseAddrPort(address(10, 0)).Addr()}, true
		s.PromoteAddress, s.MaxFiles, s.Grace = strings.TrimPrefix(cloud.URL, "http://"), crowdFiles, platformtest.Grace
		p := startCrowdProcess(t, program, s, port+2)
		d.processes = append(d.processes, p)
		return p
	}
	d.control = start(10, platform.Settings{ServesControl: true, ControlAddress: address(10, 2), DataFolder: t.TempDir(), MemoryBytes: crowdControlMemory})
	for host := 20; host < 22; host++ {
		d.entries = append(d.entries, start(host, platform.Settings{
			ServesCallers: true, CallerAddress: address(host, 2), ReadyAddress: address(host, 1), MemoryBytes: crowdEntryMemory,
		}))
	}
	configuration := `{"version":7,"routes":[{"name":"p","host":"payments","path_prefix":"/","kind":"primary","timeout_ms":8000,"target_latency_ms":4000,"priority":1,"service":"core"}],
"services":[{"name":"core","max_conns":16,"sync_replicas":0}],"limits":{"tx_idle_ms":3000}}`
	require.Eventually(t, func() bool {
		status, err := d.client.Replace(d.control.settings.ControlAddress, configuration)
		return err == nil && status == http.StatusOK
	}, 30*time.Second, 50*time.Millisecond, "configuration accepted")
	go d.beat()
	for _, e := range d.entries {
		d.requireServed(e, "before the crowd")
	}
	return d
}

// beat sends the server's heartbeats and drops the statements that the server has recorded.
func (d *crowdDeployment) beat() {
	for n := 1; d.t.Context().Err() == nil; n++ {
		_ = d.client.SendHeartbeat(d.control.settings.ControlAddress, platformtest.Heartbeat{Server: "i-1", Service: "core", Address: d.server.l.Addr().String(), Zone: "a", Role: "primary", Sequence: n})
		d.server.take()
		time.Sleep(100 * time.Millisecond)
	}
}

func startCrowdProcess(t *testing.T, program string, s platform.Settings, controlPort int) *crowdProcess {
	t.Helper()
	folder := t.TempDir()
	p := &crowdProcess{name: s.Name, settings: s, log: filepath.Join(folder, "log"), ended: make(chan struct{})}
	file := filepath.Join(folder, "settings.toml")
	require.NoError(t, os.WriteFile(file, []byte(platformtest.SettingsText(s, controlPort)), 0o600))
	log, err := os.Create(p.log)
	require.NoError(t, err)
	defer log.Close()
	p.cmd = exec.Command(program, "run")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, platformtest.Environment(file)}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	go p.countFiles()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if text, err := os.ReadFile(p.log); t.Failed() && err == nil {
			const most = 4 << 10
			t.Logf("end of the log of %s:\n%s", p.name, text[max(0, len(text)-most):])
		}
	})
	return p
}

// countFiles samples the number of open descriptors until the process ends.
func (p *crowdProcess) countFiles() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(10 * time.Millisecond):
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
			p.mostFiles.Store(max(p.mostFiles.Load(), int64(len(entries))))
		}
	}
}

// peakMemory returns the greatest resident memory of the process so far in bytes.
func (p *crowdProcess) peakMemory(t *testing.T) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatalf("no VmHWM of %s", p.name)
	return 0
}

// check requires that the process is alive and has stayed within its limits.
func (p *crowdProcess) check(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		t.Errorf("%s has ended", p.name)
		return
	default:
	}
	memory, files := p.peakMemory(t), p.mostFiles.Load()
	t.Logf("%s: peak memory %.1f MiB of %.1f MiB allowed, %d descriptors of %.0f allowed", p.name,
		float64(memory)/(1<<20), crowdBound*float64(p.settings.MemoryBytes)/(1<<20), files, crowdBound*float64(p.settings.MaxFiles))
	assert.LessOrEqual(t, float64(memory), crowdBound*float64(p.settings.MemoryBytes), "%s: peak memory", p.name)
	assert.LessOrEqual(t, float64(files), crowdBound*float64(p.settings.MaxFiles), "%s: open descriptors", p.name)
}

// dial connects from the address of the network whose last byte is host.
func (d *crowdDeployment) dial(host int, address string) (net.Conn, error) {
	from := net.ParseIP(fmt.Sprintf("%s%d", d.network, host))
	return (&net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: crowdPlayTime}).Dial("tcp", address)
}

// ordinaryHost and crowdHost are the last bytes of the addresses of an ordinary caller and of
// the first address of a crowd.
const (
	ordinaryHost = 200
	crowdHost    = 100
)

// requireServed requires that an ordinary caller gets an answer from the server. It may be
// refused and come again, as callers do.
func (d *crowdDeployment) requireServed(e *crowdProcess, when string) {
	d.t.Helper()
	last := ""
	ok := assert.Eventually(d.t, func() bool {
		nc, err := d.dial(ordinaryHost, e.settings.CallerAddress)
		if err != nil {
			last = err.Error()
			return false
		}
		defer nc.Close()
		c := &exactCaller{nc: nc, r: bufio.NewReader(nc)}
		if last = c.send("STARTUP payments u1"); last != "READY I -" {
			return false
		}
		last = c.ask("w", "STORE k v")
		return strings.HasPrefix(last, "COMPLETE 7.1f3")
	}, time.Minute, 100*time.Millisecond, "%s: ordinary request %s", e.name, when)
	if !ok {
		d.t.Fatalf("%s: last answer %s", e.name, brief(last))
	}
}

// check requires that all processes are alive within their limits and that ordinary requests
// are answered. The clients of the crowd still hold what they have.
func (d *crowdDeployment) check() {
	d.t.Helper()
	select {
	case <-d.t.Context().Done():
	case <-time.After(time.Second): // what the crowd sent last is read
	}
	d.server.setRow("v")
	for _, e := range d.entries {
		d.requireServed(e, "after the crowd")
		assert.Eventually(d.t, func() bool { return d.client.Ready(e.settings.ReadyAddress) }, time.Minute, 100*time.Millisecond, "%s: ready", e.name)
	}
	assert.Eventually(d.t, func() bool {
		text, err := d.client.Fetch(d.control.settings.ControlAddress)
		return err == nil && strings.HasPrefix(text, `{"version":`)
	}, time.Minute, 100*time.Millisecond, "configuration fetched")
	for _, p := range d.processes {
		p.check(d.t)
	}
}

// crowdClient is one connection of a crowd. Errors of its connection are no failures.
type crowdClient struct {
	number int
	nc     net.Conn
	r      *bufio.Reader
}

// write sends a text and reports whether it was taken before the play ended.
func (c *crowdClient) write(text string) bool {
	_, err := io.WriteString(c.nc, text)
	return err == nil
}

// readAnswers reads n answers up to their READY.
func (c *crowdClient) readAnswers(n int) {
	for n > 0 {
		line, err := readFrame(c.r)
		if err != nil {
			return
		}
		if strings.HasPrefix(line, "READY") {
			n--
		}
	}
}

// play connects n clients to the address, from addresses different ones, and runs the script of
// each until it returns or the play time is over. The connections stay open until the test ends.
func (d *crowdDeployment) play(wg *sync.WaitGroup, address string, n, addresses int, script func(c *crowdClient)) {
	end := time.Now().Add(crowdPlayTime)
	for i := range n {
		wg.Go(func() {
			nc, err := d.dial(crowdHost+i%addresses, address)
			if err != nil {
				return
			}
			d.t.Cleanup(func() { _ = nc.Close() })
			_ = nc.SetDeadline(end)
			script(&crowdClient{number: i, nc: nc, r: bufio.NewReader(nc)})
		})
	}
}

// playCallers plays a crowd of n callers with open sessions at each entry instance.
func (d *crowdDeployment) playCallers(n, addresses int, script func(c *crowdClient)) {
	var wg sync.WaitGroup
	for _, e := range d.entries {
		d.play(&wg, e.settings.CallerAddress, n, addresses, func(c *crowdClient) {
			if c.write("STARTUP payments u1\r\n") {
				c.readAnswers(1)
				script(c)
			}
		})
	}
	wg.Wait()
}
