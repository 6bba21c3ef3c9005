package main

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/platform"
	"gentianward.example/gentianward/platform/platformtest"
)

// revocationLimit is the time in which a withdrawn key must stop working and a new one start to.
const revocationLimit = 5 * time.Second

// lockedLog is a buffer that instances write their logs to.
type lockedLog struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// publishTenants publishes a configuration with tenants.
func (d *deployment) publishTenants(version int, tenants ...platformtest.Tenant) {
	d.t.Helper()
	text := platformtest.TenantConfiguration(version, d.group.name, tenants...)
	require.Eventually(d.t, func() bool {
		status, err := d.platform.Replace(d.controlAddresses[version%3], text)
		return err == nil && status == http.StatusOK
	}, 20*time.Second, 20*time.Millisecond, "configuration %d accepted", version)
}

// keyedSession is a session that was opened with a key.
type keyedSession struct {
	*platformtest.Session
	t *testing.T
}

// openWithKey opens a session and returns it, or the code with which it was refused.
func (d *deployment) openWithKey(entry int, database, key string) (keyedSession, string) {
	d.t.Helper()
	check := d.group.check.Session(d.group.name).WithKey(key, database == platformtest.PublicHost)
	s, a, err := platformtest.OpenSession(d.t.Context(), d.callerAddresses[entry], database, 10*time.Second, check)
	require.NoError(d.t, err)
	if s != nil {
		d.t.Cleanup(s.Close)
	}
	return keyedSession{s, d.t}, a.Code
}

// do runs a statement and returns the code of its answer, its row or "ok"; and the session's state,
// 0 if the session has ended without one.
func (s keyedSession) do(text string) (string, byte) {
	s.t.Helper()
	a, err := s.Do(fmt.Sprintf("%016x", statements.Add(1)), text, 10*time.Second)
	switch {
	case a.Code != "":
		return a.Code, a.Status
	case err != nil:
		return err.Error(), 0
	case len(a.Rows) > 0:
		return a.Rows[0], a.Status
	}
	return "ok", a.Status
}

// awaitWrite waits until a write of a session is answered.
func (d *deployment) awaitWrite(entry int, database, key string) {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		s, code := d.openWithKey(entry, database, key)
		if code != "" {
			return false
		}
		got, _ := s.do("STORE 1 one")
		return got == "ok"
	}, 20*time.Second, 50*time.Millisecond, "a write is answered")
}

// assertEnded checks that the instance has closed a session.
func (s keyedSession) assertEnded() {
	s.t.Helper()
	got, status := s.do("FETCH 1")
	assert.Zero(s.t, status, got)
	assert.NotContains(s.t, got, "timeout")
}

// Guards against callers that are served without a key, a withdrawn key that goes on in an open
// session or transaction, a new key that an instance refuses as it does not know it yet, and keys
// in logs and metrics.
func TestKeysOfCallers(t *testing.T) {
	log := &lockedLog{}
	d := startWithSettings(t, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})), func(s *platform.Settings) {
		if s.DataCentre == "c" {
			s.KeysValid = 2 * time.Second // one entry instance confirms that it has the newest keys
		}
	}, "i-1", "i-2", "i-3")
	d.awaitReady()
	d.awaitWrite(0, "bookings", "any key, as none is needed")
	acme, other := platformtest.Tenant{Name: "acme", Keys: []string{"key-acme-1", "key-acme-2"}}, platformtest.Tenant{Name: "other", Keys: []string{"key-other"}}
	d.publishTenants(8, acme, other)
	for entry := range d.callerAddresses {
		for _, key := range []string{"key-unknown", "acme", ""} {
			require.Eventually(t, func() bool {
				_, code := d.openWithKey(entry, "bookings", key)
				return code == "NOAUTH"
			}, revocationLimit, 20*time.Millisecond, "entry %d, key %q", entry, key)
		}
		d.awaitWrite(entry, platformtest.PublicHost, "key-unknown")
		d.awaitWrite(entry, "bookings", "key-acme-1")
	}

	open := func(entry int, key string) keyedSession {
		s, code := d.openWithKey(entry, "bookings", key)
		require.Empty(t, code)
		return s
	}
	for entry := range d.callerAddresses {
		idle, inTransaction, stays := open(entry, "key-acme-1"), open(entry, "key-acme-1"), open(entry, "key-acme-2")
		got, _ := inTransaction.do("BEGIN")
		assert.Equal(t, "ok", got)
		got, status := inTransaction.do("STORE withdrawn yes")
		assert.Equal(t, "okT", got+string(status))

		version := 10 + 10*entry
		d.publishTenants(version, platformtest.Tenant{Name: "acme", Keys: []string{"key-acme-2"}}, other)
		acknowledged := time.Now()
		for got = "one"; got == "one" && time.Since(acknowledged) < revocationLimit; time.Sleep(5 * time.Millisecond) {
			got, _ = idle.do("FETCH 1")
		}
		assert.Equal(t, "NOAUTH", got, "the withdrawn key has no access within 5 s")
		idle.assertEnded()
		d.group.check.Withdrawn("key-acme-1")
		got, _ = inTransaction.do("COMMIT")
		assert.Equal(t, "ABORTED", got)
		inTransaction.assertEnded()
		got, status = stays.do("FETCH withdrawn")
		assert.Equal(t, "noneI", got+string(status), "the transaction was rolled back")

		for i := range 5 {
			added := fmt.Sprintf("key-added-%d-%d", entry, i)
			d.publishTenants(version+1+i, platformtest.Tenant{Name: "acme", Keys: []string{"key-acme-1", "key-acme-2", added}}, other)
			for e := range d.callerAddresses {
				_, code := d.openWithKey(e, "bookings", added)
				assert.Empty(t, code, "entry %d, right after the acknowledgment", e)
			}
		}
		d.group.check.Restored("key-acme-1")
	}
	d.checkNoKeys(log.String())
}

// checkNoKeys checks that logs and metrics contain customers and no keys.
func (d *deployment) checkNoKeys(log string) {
	d.t.Helper()
	assert.NotContains(d.t, log, "key-")
	assert.Contains(d.t, log, "caller without access refused")
	for _, m := range d.metrics[len(d.controlAddresses):] {
		w := httptest.NewRecorder()
		m.ServeHTTP(w, nil)
		assert.NotContains(d.t, w.Body.String(), "key-")
		for _, want := range []string{
			`gentianward_customer_requests_total{customer="acme",result="served"}`, `gentianward_customer_requests_total{customer="acme",result="notAuthenticated"} 2`,
			"gentianward_not_authenticated_total",
		} {
			assert.Contains(d.t, w.Body.String(), want)
		}
	}
}

// Guards against statements that run on connections of another customer, and against keys that
// are sent to servers.
func TestCustomersAtServers(t *testing.T) {
	d := startDeployment(t)
	owners := map[string]string{}
	tenants := []platformtest.Tenant{}
	for i := range 4 {
		tenant := platformtest.Tenant{Name: fmt.Sprint("customer-", i), Keys: []string{fmt.Sprint("key-", i)}}
		owners[tenant.Keys[0]] = tenant.Name
		tenants = append(tenants, tenant)
	}
	d.awaitReady()
	d.publishTenants(8, tenants...)
	for entry := range d.callerAddresses { // an instance without the tenants needs no key and names no customer
		require.Eventually(t, func() bool {
			_, code := d.openWithKey(entry, "bookings", "key-unknown")
			return code == "NOAUTH"
		}, revocationLimit, time.Millisecond, "entry %d has the tenants", entry)
	}
	d.group.check.Customers(owners)
	for entry := range d.callerAddresses {
		d.awaitWrite(entry, "bookings", "key-0")
		d.awaitWrite(entry, platformtest.PublicHost, "key-unknown")
	}
	var wg sync.WaitGroup
	for key := range owners {
		for entry := range d.callerAddresses {
			s, code := d.openWithKey(entry, []string{"bookings", "payments"}[entry%2], key)
			require.Empty(t, code)
			wg.Go(func() {
				for range 10 {
					for _, text := range strings.Split("FETCH 1,STORE 1 one,BEGIN,STORE 2 two,ROLLBACK,BEGIN,FETCH 2,COMMIT", ",") {
						got, _ := s.do(text)
						assert.NotContains(t, got, "NOAUTH")
					}
				}
			})
		}
	}
	wg.Wait()
}
