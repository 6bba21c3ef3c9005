package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/jackc/pgx/v5"
	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwstandin"
)

// serveFixture runs the subcommand serve for three voters, with their files in a
// temporary folder.
type serveFixture struct {
	*testing.T
	dir       string
	names     []string
	peers     []string // in the order of names, like the fields below
	operators []string
	callers   []string
	signals   []chan os.Signal
	exits     []chan subcommands.ExitStatus
}

// execute runs one command as from the command line.
func execute(c subcommands.Command, args ...string) subcommands.ExitStatus {
	fs := flag.NewFlagSet("gentianward", flag.ContinueOnError)
	commander := subcommands.NewCommander(fs, "gentianward")
	commander.Register(c, "")
	if err := fs.Parse(append([]string{c.Name()}, args...)); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(context.Background())
}

// holdAddress returns a loopback address that no other test has until t ends, so that none
// of its ports can be taken between its choice and its use. It derives from a port that is
// held meanwhile.
func holdAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	port := c.LocalAddr().(*net.UDPAddr).Port
	return fmt.Sprintf("127.%d.%d.1", port>>8, port&0xff)
}

// Ports of the instances of a serveFixture, each at its own address.
const (
	peerPort = 7000 + iota
	operatorPort
	callerPort
)

func newServeFixture(t *testing.T) *serveFixture {
	f := &serveFixture{T: t, dir: t.TempDir(), names: []string{"a-1", "b-1", "c-1"}}
	f.keys("init", f.file("keys"))
	f.keys("issue", "-operator", f.file("keys"), "op")
	for _, n := range f.names {
		ip := holdAddress(t)
		f.peers = append(f.peers, fmt.Sprintf("%s:%d", ip, peerPort))
		f.operators = append(f.operators, fmt.Sprintf("%s:%d", ip, operatorPort))
		f.callers = append(f.callers, fmt.Sprintf("%s:%d", ip, callerPort))
		f.keys("issue", f.file("keys"), n, "-ip", ip)
	}
	f.manifest("m1.jsonc", 1, "5s")
	f.signals = make([]chan os.Signal, len(f.names))
	f.exits = make([]chan subcommands.ExitStatus, len(f.names))
	for i, n := range f.names {
		f.write(n+".jsonc", fmt.Sprintf(`{
			"instance": %q, "dataCentre": %q, "region": "r", "callerAddress": %q, "peerAddress": %q, "operatorAddress": %q,
			"seeds": [%q], "dataFolder": "data/%s", "bootstrap": "m1.jsonc", "trustLoopback": true,
			"keys": {"ca": "keys/ca.pem", "certificate": "keys/%s.pem", "key": "keys/%s.key"},
			"sessionKey": "%064d", // equal on all
		}`, n, n[:1], f.callers[i], f.peers[i], f.operators[i], f.peers[(i+1)%3], n, n, n, 7))
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.names {
			if log, _ := os.ReadFile(f.file(f.names[i] + ".log")); t.Failed() {
				t.Logf("%s", log)
			}
			f.signals[i] <- syscall.SIGTERM
			assert.Equal(t, subcommands.ExitSuccess, <-f.exits[i])
		}
	})
	return f
}

func (f *serveFixture) file(name string) string { return filepath.Join(f.dir, name) }

func (f *serveFixture) write(name, text string) {
	require.NoError(f, os.WriteFile(f.file(name), []byte(text), 0o600))
}

func (f *serveFixture) keys(args ...string) {
	require.Equal(f, subcommands.ExitSuccess, execute(&keysCmd{out: &bytes.Buffer{}}, args...))
}

// manifest writes a manifest and returns the file. Different deadlines make manifests with
// the same number differ.
func (f *serveFixture) manifest(name string, number int, deadline string) string {
	var voters []string
	for i, n := range f.names {
		voters = append(voters, fmt.Sprintf(`{"instance": %q, "address": %q, "dataCentre": %q}`, n, f.peers[i], n[:1]))
	}
	f.write(name, fmt.Sprintf(`{"number": %d, "deployment": "test", "regions": [{"name": "r", "dataCentres": ["a", "b", "c"]}],
		"voters": [%s], "databases": [{"name": "db", "groups": [{"name": "g", "copies": 1}]}],
		"callers": [{"name": "u", "trust": true, "class": "k", "databases": ["db"]}],
		"classes": [{"name": "k", "acknowledge": "primary", "deadline": %q}], "limits": {"drain": "5s"}}`, number, strings.Join(voters, ","), deadline))
	return f.file(name)
}

func (f *serveFixture) start(i int) {
	signals, exit := make(chan os.Signal, 2), make(chan subcommands.ExitStatus, 1)
	f.signals[i], f.exits[i] = signals, exit
	file := f.file(f.names[i] + ".jsonc")
	log, err := os.OpenFile(f.file(f.names[i]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f, err)
	go func() { exit <- execute(&serveCmd{signals: signals, log: log}, "-config", file) }()
}

// runOperatorCommand runs an operator command at an instance with -json, and decodes its
// output into out if that is not nil.
func (f *serveFixture) runOperatorCommand(i int, out any, c subcommands.Command, flags *operatorFlags, args ...string) subcommands.ExitStatus {
	var buf bytes.Buffer
	flags.out = &buf
	keys := []string{"-json", "-to", f.peers[i], "-ca", f.file("keys/ca.pem"), "-cert", f.file("keys/op.pem"), "-key", f.file("keys/op.key")}
	status := execute(c, append(keys, args...)...)
	if out != nil && buf.Len() > 0 {
		require.NoError(f, json.Unmarshal(buf.Bytes(), out), "%s", buf.String())
	}
	return status
}

func (f *serveFixture) status(i int) (gwdaemon.Status, subcommands.ExitStatus) {
	var st gwdaemon.Status
	c := &statusCmd{}
	exit := f.runOperatorCommand(i, &st, c, &c.operatorFlags, "-timeout", "2s")
	return st, exit
}

// publish returns the result of the subcommand publish, or the error of a refusal.
func (f *serveFixture) publish(i int, args ...string) (publishResult, subcommands.ExitStatus) {
	var out publishResult
	c := &publishCmd{}
	exit := f.runOperatorCommand(i, &out, c, &c.operatorFlags, args...)
	return out, exit
}

type publishResult struct {
	Number  uint64
	Digest  string
	Resent  bool
	InForce []string
	Missing []string
	Error   codedError
}

// waitReady waits until an instance has a manifest and knows the leader and all members.
func (f *serveFixture) waitReady(i int) gwdaemon.Status {
	var st gwdaemon.Status
	require.Eventually(f, func() bool {
		var exit subcommands.ExitStatus
		st, exit = f.status(i)
		return exit == subcommands.ExitSuccess && st.Ready && st.Leader != "" && len(st.Members) == len(f.names)
	}, 20*time.Second, 20*time.Millisecond, "instance %s", f.names[i])
	return st
}

// Guards against a deployment that does not start from its files, accepts two manifests
// with the same number, returns to an older manifest, or executes operator commands for
// peers without an operator's certificate.
func TestServeAndOperate(t *testing.T) {
	f := newServeFixture(t)
	for i := range f.names {
		f.waitReady(i)
	}
	leader := slices.Index(f.names, f.waitReady(0).Leader)
	one, two := (leader+1)%3, (leader+2)%3

	res, exit := f.publish(one, "-wait", f.manifest("m2.jsonc", 2, "6s"))
	require.Equal(t, subcommands.ExitSuccess, exit, "%+v", res)
	assert.ElementsMatch(t, f.names, res.InForce)
	for i := range f.names {
		st, _ := f.status(i)
		assert.Equal(t, uint64(2), st.ManifestNumber)
	}
	f.checkConcurrentPublish(one, two)
	res, exit = f.publish(two, f.manifest("m9.jsonc", 9, "9s"))
	assert.Equal(t, subcommands.ExitFailure, exit)
	assert.Contains(t, res.Error.Message, "must be number 4")
	var history []gwdaemon.Status
	h := &historyCmd{}
	require.Equal(t, subcommands.ExitSuccess, f.runOperatorCommand(one, &history, h, &h.operatorFlags))
	assert.Len(t, history, 3)

	f.checkQuery(one)
	f.checkUnauthorized(one)
	f.checkRestart(one, two, 3)
}

// checkConcurrentPublish publishes two manifests with number 3 through two instances at
// once; only one must be accepted.
func (f *serveFixture) checkConcurrentPublish(one, two int) {
	files := []string{f.manifest("m3a.jsonc", 3, "7s"), f.manifest("m3b.jsonc", 3, "8s")}
	results, exits := make([]publishResult, 2), make([]subcommands.ExitStatus, 2)
	var wg sync.WaitGroup
	for n, i := range []int{one, two} {
		wg.Go(func() { results[n], exits[n] = f.publish(i, files[n]) })
	}
	wg.Wait()
	won := slices.Index(exits, subcommands.ExitSuccess)
	require.GreaterOrEqual(f, won, 0, "%+v", results)
	require.Equal(f, subcommands.ExitFailure, exits[1-won])
	assert.Contains(f, results[1-won].Error.Message, results[won].Digest)
	again, exit := f.publish(two, files[won])
	assert.Equal(f, subcommands.ExitSuccess, exit)
	assert.True(f, again.Resent)
	assert.Equal(f, results[won].Digest, again.Digest)
}

// checkQuery writes and reads a row through an instance.
func (f *serveFixture) checkQuery(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	server, err := gwstandin.Start(ctx, gwstandin.Options{
		Name: "s", Group: "g", DataCentre: "a", Address: "127.0.0.1:0", Role: gwstandin.RolePrimary, Term: 1,
		Slots: 2, Connections: 8, Announce: []string{"http://" + f.operators[i]},
	})
	require.NoError(f, err)
	f.Cleanup(func() { _ = server.Stop(context.Background()) })
	c, err := pgx.Connect(ctx, "postgres://u@"+f.callers[i]+"/db?sslmode=disable")
	require.NoError(f, err)
	defer func() { _ = c.Close(ctx) }()
	_, err = c.Exec(ctx, "create table t (id int)")
	require.NoError(f, err)
	_, err = c.Exec(ctx, "insert into t values (1)")
	require.NoError(f, err)
	var n int
	require.NoError(f, c.QueryRow(ctx, "select count(*) from t").Scan(&n))
	assert.Equal(f, 1, n)
}

// checkUnauthorized checks that a peer without an operator's certificate is refused.
func (f *serveFixture) checkUnauthorized(i int) {
	c := &statusCmd{}
	exit := f.runOperatorCommand(i, nil, c, &c.operatorFlags, "-cert", f.file("keys/a-1.pem"), "-key", f.file("keys/a-1.key"))
	assert.Equal(f, subcommands.ExitFailure, exit, "the certificate of an instance must not be accepted as an operator's")
	f.keys("init", f.file("other"))
	f.keys("issue", "-operator", f.file("other"), "op")
	c = &statusCmd{}
	exit = f.runOperatorCommand(i, nil, c, &c.operatorFlags, "-timeout", "2s", "-cert", f.file("other/op.pem"), "-key", f.file("other/op.key"))
	assert.Equal(f, exitUnreachable, exit, "a certificate of another CA must not be accepted")

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	anonymous := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"gentianward"}, MinVersion: tls.VersionTLS13}
	qc, err := quic.DialAddr(ctx, f.peers[i], anonymous, nil)
	if err == nil { // the client's handshake completes before the server refuses its certificate
		_, err = qc.AcceptStream(ctx)
	}
	require.Error(f, err)
	assert.ErrorContains(f, err, "certificate")
}

// checkRestart stops an instance through another one and starts it again; it must not
// report a manifest older than number.
func (f *serveFixture) checkRestart(i, through int, number uint64) {
	c := &drainCmd{}
	require.Equal(f, subcommands.ExitSuccess, f.runOperatorCommand(through, nil, c, &c.operatorFlags, f.names[i]))
	require.Equal(f, subcommands.ExitSuccess, <-f.exits[i])
	f.start(i)
	for range 50 {
		if st, exit := f.status(i); exit == subcommands.ExitSuccess {
			assert.GreaterOrEqual(f, st.ManifestNumber, number)
		}
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(f, number, f.waitReady(i).ManifestNumber)
}
