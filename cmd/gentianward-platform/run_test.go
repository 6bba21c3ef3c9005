package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwprogram"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/platform"
	"gentianward.example/gentianward/platform/platformtest"
)

// deployment consists of three control instances and three entry instances, one of each in
// a data centre, on loopback addresses, and one group of stand-in servers.
type deployment struct {
	t                *testing.T
	log              *slog.Logger
	metrics          []http.Handler // of all starts of instances
	platform         *platformtest.Client
	peerPort         int
	controlAddresses []string
	callerAddresses  []string
	readyAddresses   []string
	// settings and instances hold the control instances first, in the same order.
	settings  []platform.Settings
	instances []*gwdaemon.Instance
	group     *standinGroup
}

// holdPort returns a port that no other test has until t ends. The addresses that derive
// from it are those of the test alone, so that none of their ports can be taken between
// its choice and its use.
func holdPort(t *testing.T) int {
	t.Helper()
	l, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.LocalAddr().(*net.UDPAddr).Port
}

func startDeployment(t *testing.T) *deployment { return startWithServers(t, "i-1", "i-2", "i-3") }

// startWithServers starts a deployment with the given servers, the first of which is the
// primary.
func startWithServers(t *testing.T, ids ...string) *deployment {
	t.Helper()
	return startWithSettings(t, testLog(), func(*platform.Settings) {}, ids...)
}

// startWithSettings is startWithServers with the log of the instances and a change of their settings.
func startWithSettings(t *testing.T, log *slog.Logger, change func(s *platform.Settings), ids ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, log: log, platform: platformtest.NewClient(), peerPort: holdPort(t), group: newStandinGroup(t, standinService, ids...)}
	cloud := httptest.NewServer(http.HandlerFunc(d.group.promote))
	t.Cleanup(cloud.Close)
	net24 := fmt.Sprintf("127.%d.%d", d.peerPort>>8, d.peerPort&0xff)
	zones := []string{"a", "b", "c"}
	regions := map[string]string{"a": "r", "b": "r", "c": "r"}
	var seeds []netip.Addr
	for i := range 3 {
		seeds = append(seeds, netip.MustParseAddr(fmt.Sprintf("%s.%d", net24, 10+i)))
	}
	run := func(ip netip.Addr, s platform.Settings) {
		s.IP, s.Name, s.Region, s.Regions, s.PeerPort, s.Seeds = ip, ip.String(), "r", regions, d.peerPort, seeds
		s.FirstStart, s.PromoteAddress = true, strings.TrimPrefix(cloud.URL, "http://")
		change(&s)
		d.settings = append(d.settings, s)
		d.instances = append(d.instances, d.start(s))
	}
	for i, ip := range seeds {
		address := fmt.Sprintf("%s:%d", ip, d.peerPort+2)
		d.controlAddresses = append(d.controlAddresses, address)
		run(ip, platform.Settings{DataCentre: zones[i], ServesControl: true, ControlAddress: address, DataFolder: t.TempDir()})
	}
	for i := range 3 {
		ip := netip.MustParseAddr(fmt.Sprintf("%s.%d", net24, 20+i))
		callers, ready := fmt.Sprintf("%s:%d", ip, d.peerPort+2), fmt.Sprintf("%s:%d", ip, d.peerPort+1)
		d.callerAddresses, d.readyAddresses = append(d.callerAddresses, callers), append(d.readyAddresses, ready)
		run(ip, platform.Settings{DataCentre: zones[i], ServesCallers: true, CallerAddress: callers, ReadyAddress: ready, MaxFiles: 4096})
	}
	serverZones := make(map[string]string)
	for i, id := range ids {
		serverZones[id] = zones[i%len(zones)]
	}
	go d.group.sendHeartbeats(d.platform, d.controlAddresses, serverZones)
	return d
}

// testLog returns a log to standard error if GENTIANWARD_TEST_LOG is set.
func testLog() *slog.Logger {
	if os.Getenv("GENTIANWARD_TEST_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// start starts an instance, which ends with the test.
func (d *deployment) start(s platform.Settings) *gwdaemon.Instance {
	d.t.Helper()
	p := gwprogram.Process{Settings: s, Log: d.log.With("instance", s.Name), FS: gwstore.OSFS{}}
	telemetry := gwdaemon.NewTelemetry()
	d.metrics = append(d.metrics, telemetry)
	o, err := p.Options(telemetry)
	require.NoError(d.t, err)
	o.StopDelay = 0
	i, err := gwdaemon.Start(d.t.Context(), o)
	require.NoError(d.t, err)
	d.t.Cleanup(i.Kill)
	return i
}

// restartControl kills all control instances and starts them again after a while, with
// their data folders.
func (d *deployment) restartControl(down time.Duration) {
	d.t.Helper()
	for i := range d.controlAddresses {
		d.instances[i].Kill()
	}
	time.Sleep(down)
	for i := range d.controlAddresses {
		s := d.settings[i]
		s.FirstStart = false
		d.instances[i] = d.start(s)
	}
}

// publish sends a configuration as the platform's operator does, who turns to another
// control instance after a 5xx, and returns the last status.
func (d *deployment) publish(version int) int {
	const attempts = 10
	status := 0
	for i := range attempts {
		var err error
		status, err = d.platform.Replace(d.controlAddresses[(version+i)%3], platformtest.Configuration(version, d.group.name))
		if err == nil && status < http.StatusInternalServerError {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status
}

func (d *deployment) awaitReady() {
	d.t.Helper()
	require.Eventually(d.t, func() bool { return d.publish(7) == http.StatusOK }, 20*time.Second, 50*time.Millisecond, "configuration accepted")
	for _, address := range d.readyAddresses {
		require.Eventually(d.t, func() bool { return d.platform.Ready(address) }, 20*time.Second, 50*time.Millisecond, "ready")
	}
}

// callerSession is one session of a caller, whose statements and answers are checked.
type callerSession struct {
	t                 *testing.T
	address, database string
	check             *platformtest.StatementCheck
	nc                net.Conn
	r                 *platformtest.Reader
	session           *platformtest.SessionCheck
	// idle means that no transaction is open.
	idle bool
	// prepares holds the session's PREPARE statements.
	prepares []string
}

// statements numbers the statements of all sessions.
var statements atomic.Uint64

func (d *deployment) dial(address, database string) *callerSession {
	d.t.Helper()
	c := d.newSession(address, database)
	require.NoError(d.t, c.open())
	return c
}

func (d *deployment) newSession(address, database string) *callerSession {
	return &callerSession{t: d.t, address: address, database: database, check: d.group.check}
}

func (c *callerSession) open() error {
	nc, err := net.Dial("tcp", c.address)
	if err != nil {
		return err
	}
	c.t.Cleanup(func() { _ = nc.Close() })
	c.nc, c.r, c.session = nc, platformtest.NewReader(nc, platformtest.Answers), c.check.Session(standinService)
	_, err = fmt.Fprintf(nc, "STARTUP %s u1\r\n", c.database)
	return err
}

// reopen opens the session again if the instance has closed it while it was idle, as an
// instance does that has lost contact with the leader, for example because this process
// stood still. The new session prepares the statements again, as they end with a session.
func (c *callerSession) reopen() error {
	_ = c.nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	if err := c.r.Peek(); !c.idle || !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, net.ErrClosed) {
		return nil
	}
	if err := c.open(); err != nil {
		return err
	}
	answer, err := c.tryReadAnswer()
	if err == nil && answer != "READY I" {
		return fmt.Errorf("the session was answered with %q", answer)
	}
	for _, text := range c.prepares {
		if err != nil {
			break
		}
		_, err = c.send(text)
	}
	return err
}

// readAnswer reads the messages of an answer up to READY and joins them with commas.
func (c *callerSession) readAnswer() string {
	c.t.Helper()
	answer, err := c.tryReadAnswer()
	require.NoError(c.t, err)
	return answer
}

func (c *callerSession) tryReadAnswer() (string, error) {
	answer, _, err := c.read()
	return answer, err
}

// read reads an answer. The text has no numbers of signatures and no unknown position.
func (c *callerSession) read() (string, platformtest.Answer, error) {
	_ = c.nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	a, err := platformtest.ReadAnswer(c.r)
	if refused := (*platformtest.MessageError)(nil); errors.As(err, &refused) {
		c.session.Refused(err)
	}
	if err != nil {
		return "", a, err
	}
	c.idle = a.Status == 'I'
	var out []string
	for _, row := range a.Rows {
		out = append(out, "DATAROW "+row)
	}
	switch {
	case a.Code != "":
		out = append(out, "ERROR "+a.Code+" "+a.Cause)
	case a.Signed:
		out = append(out, "COMPLETE signature")
	case a.Signature != "":
		out = append(out, "COMPLETE "+a.Signature)
	}
	return strings.Join(append(out, "READY "+strings.TrimSuffix(string(a.Status)+" "+a.Position, " -")), ","), a, nil
}

// query sends a statement and returns its answer, or "no answer" and the cause if the
// instance closed the session meanwhile, as in the moment in which it loses contact with
// the leader. A condition of require.Eventually must not end its goroutine: it would not be
// tried again.
func (c *callerSession) query(text string) string {
	answer, err := c.tryQuery(text)
	if err != nil {
		_ = c.nc.Close() // a late answer must not be taken for that of the next statement
		return "no answer: " + err.Error()
	}
	return answer
}

func (c *callerSession) tryQuery(text string) (string, error) {
	if err := c.reopen(); err != nil {
		return "", err
	}
	answer, err := c.send(text)
	if err == nil && strings.HasPrefix(text, "PREPARE ") {
		c.prepares = append(c.prepares, text)
	}
	return answer, err
}

func (c *callerSession) send(text string) (string, error) {
	id := fmt.Sprintf("%016x", statements.Add(1))
	c.session.Sent(id, text)
	if _, err := fmt.Fprintf(c.nc, "QUERY %s %s\r\n", id, text); err != nil {
		return "", err
	}
	answer, a, err := c.read()
	if err == nil {
		c.session.Answered(a)
	}
	return answer, err
}

// Guards against parts that do not work together: sessions, transactions and prepared
// statements on two instances, reads of own writes from replicas, and a change of primary
// that loses no acknowledged write.
func TestDeployment(t *testing.T) {
	d := startDeployment(t)
	d.awaitReady()
	a, b := d.dial(d.callerAddresses[0], "bookings"), d.dial(d.callerAddresses[1], "payments")
	assert.Equal(t, "READY I", a.readAnswer())
	assert.Equal(t, "READY I", b.readAnswer())
	require.Eventually(t, func() bool { return a.query("STORE 1 one") == "COMPLETE signature,READY I" }, 20*time.Second, 50*time.Millisecond, "the first write")
	assert.Equal(t, "DATAROW one,COMPLETE signature,READY I", a.query("FETCH 1"), "own write")
	assert.Equal(t, "DATAROW one,COMPLETE signature,READY I", b.query("FETCH 1"), "a primary route sees every write")

	assert.Equal(t, "COMPLETE -,READY I", a.query("PREPARE s1 STORE q2c"))
	assert.Equal(t, "COMPLETE signature,READY I", a.query("EXECUTE s1 2 two"))
	assert.Equal(t, "COMPLETE -,READY T", a.query("BEGIN"))
	assert.Equal(t, "COMPLETE signature,READY T", a.query("STORE 3 three"))
	assert.Equal(t, "DATAROW three,COMPLETE signature,READY T", a.query("FETCH 3"))
	assert.Equal(t, "DATAROW none,COMPLETE signature,READY I", b.query("FETCH 3"), "not committed yet")
	assert.Equal(t, "COMPLETE -,READY I", a.query("ROLLBACK"))
	assert.Equal(t, "DATAROW none,COMPLETE signature,READY I", a.query("FETCH 3"))
	assert.Equal(t, "COMPLETE -,READY T", a.query("BEGIN"))
	assert.Equal(t, "COMPLETE signature,READY T", a.query("STORE 4 four"))
	assert.Equal(t, "COMPLETE signature,READY I", a.query("COMMIT"))
	assert.Equal(t, "ERROR NOSTMT no statement is prepared under the name s9,READY I", a.query("EXECUTE s9 1"))
	assert.Contains(t, a.query("STATUS"), "ERROR MALFORMED")

	d.group.servers["i-1"].crash()
	require.Eventually(t, func() bool { return b.query("STORE 5 five") == "COMPLETE signature,READY I" }, 20*time.Second, 20*time.Millisecond, "a write after the change of primary")
	for item, want := range map[string]string{"1": "one", "2": "two", "4": "four", "5": "five"} {
		assert.Equal(t, "DATAROW "+want+",COMPLETE signature,READY I", b.query("FETCH "+item), "acknowledged before or after the crash")
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	assert.Len(t, d.group.promotions, 1)
}

// Guards against a configuration that is replaced by an older or an invalid one.
func TestConfiguration(t *testing.T) {
	d := startDeployment(t)
	d.awaitReady()
	assert.Equal(t, http.StatusOK, d.publish(12))
	assert.Equal(t, http.StatusOK, d.publish(9), "an older version is acknowledged and ignored")
	status, err := d.platform.Replace(d.controlAddresses[0], `{"version":20,"routes":[`)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, status)
	for _, address := range d.controlAddresses {
		got, err := d.platform.Fetch(address)
		require.NoError(t, err)
		assert.Equal(t, platformtest.Configuration(12, d.group.name), got)
	}
	c := d.dial(d.callerAddresses[0], "nothing")
	_ = c.nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	m, err := c.r.Read()
	require.NoError(t, err)
	assert.Equal(t, []string{"ERROR", "NODB"}, []string{m.Kind, m.Fields[0]})
}

// recoveryLimit is the users' limit for the recovery after a loss of many machines.
const recoveryLimit = 12 * time.Second

// Guards against entry instances that do not find the control instances again after all of
// these have been restarted together: accepted configurations did not reach them, no lease
// was granted, and nothing was served for up to a minute.
func TestControlInstancesRestartTogether(t *testing.T) {
	d := startDeployment(t)
	d.awaitReady()
	a := d.dial(d.callerAddresses[0], "bookings")
	assert.Equal(t, "READY I", a.readAnswer())
	write := func() bool { return a.query("STORE 1 one") == "COMPLETE signature,READY I" }
	require.Eventually(t, write, 20*time.Second, 50*time.Millisecond, "the first write")

	d.restartControl(4 * time.Second) // the entry instances declare them dead after about 2 s
	deadline := time.Now().Add(recoveryLimit)
	require.Eventually(t, func() bool { return d.publish(12) == http.StatusOK }, time.Until(deadline), 50*time.Millisecond, "configuration accepted")
	for _, i := range d.instances {
		assert.Eventually(t, func() bool { return i.View().Number == 12 }, time.Until(deadline), 50*time.Millisecond, "configuration in force at %s", i.Name())
	}
	for _, address := range d.readyAddresses {
		require.Eventually(t, func() bool { return d.platform.Ready(address) }, time.Until(deadline), 50*time.Millisecond, "ready")
	}
	assert.Eventually(t, write, time.Until(deadline), 50*time.Millisecond, "a write")
}

// Guards against a call to the platform that takes effect after another server was made the
// primary: it was given up after 2 s, or its leader was replaced, another server was named, and
// both committed writes.
func TestSlowPlatform(t *testing.T) {
	tests := []struct {
		name string
		// killLeader kills the leader that has made the first call.
		killLeader bool
	}{
		{name: "the leader stays"},
		{name: "the leader is killed", killLeader: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { testSlowPlatform(t, tt.killLeader) })
	}
}

func testSlowPlatform(t *testing.T, killLeader bool) {
	t.Helper()
	d := startWithServers(t, "i-1", "i-2", "i-3", "i-4")
	const slow = 5 * time.Second
	var mu sync.Mutex
	first, firstEnded := "", false
	var early []string // other servers that were named before the first call had ended
	d.group.beforePromote = func(ctx context.Context, id string) {
		mu.Lock()
		isFirst := first == ""
		if isFirst {
			first = id
		} else if id != first && !firstEnded {
			early = append(early, id)
		}
		mu.Unlock()
		if isFirst {
			if killLeader {
				go d.killLeader()
			}
			// So that another server has to be chosen. It returns with its log, as a new
			// leader, which has no answer of it, rightly waits for it.
			d.group.servers[id].outage(ctx, slow)
			mu.Lock()
			defer mu.Unlock()
			firstEnded = true
		}
	}
	d.awaitReady()
	a := d.dial(d.callerAddresses[0], "bookings")
	assert.Equal(t, "READY I", a.readAnswer())
	write := func() bool { return a.query("STORE 1 one") == "COMPLETE signature,READY I" }
	require.Eventually(t, write, 20*time.Second, 50*time.Millisecond, "the first write")
	d.group.servers["i-1"].crash()
	require.Eventually(t, write, 20*time.Second, 50*time.Millisecond, "a write after the change of primary")
	mu.Lock()
	defer mu.Unlock()
	assert.Empty(t, early, "%s was named first", first)
}

// killLeader kills the control instance that leads.
func (d *deployment) killLeader() {
	for i := range d.controlAddresses {
		if d.instances[i].Leading() {
			d.instances[i].Kill()
			return
		}
	}
}
