package main

import (
	"encoding/base64"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/platform"
	"gentianward.example/gentianward/platform/platformtest"
)

// largeConfiguration returns a configuration of size bytes that compresses badly, with a route to a
// host of the given name.
func largeConfiguration(version, size int, service, host string) string {
	text := strings.Replace(platformtest.Configuration(version, service), `"bookings"`, `"`+host+`"`, 1)
	noise := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{byte(version)}).Read(noise)
	head, tail, _ := strings.Cut(text, `"limits"`)
	tail = `","limits"` + tail
	head += `"note":"`
	return head + base64.StdEncoding.EncodeToString(noise)[:size-len(head)-len(tail)] + tail
}

// patientOperator waits longer than a second for the answer to a call, as the operator does for large
// bodies.
type patientOperator struct{ http.Client }

// replace returns the status of the answer, or 0 if there is none.
func (o *patientOperator) replace(address, text string) int {
	resp, err := o.Post("http://"+address+"/Config.Replace", "application/json", strings.NewReader(text))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (o *patientOperator) fetch(address string) string {
	resp, err := o.Get("http://" + address + "/Config.Fetch")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// Guards against a configuration that is acknowledged only where the leader of the replicated log
// runs, or that cannot be read at the other instances, because it is larger than other messages.
func TestLargeConfiguration(t *testing.T) {
	const limit = 30 * time.Second
	d := startDeployment(t)
	operator := patientOperator{http.Client{Timeout: limit}}
	d.awaitReady()
	for i, size := range []int{1<<20 - 1000, 1<<20 + 1000, 3 << 20, platform.MaxConfigurationBytes} {
		if size > largestOfTest {
			break
		}
		version, host := 100+i, "large"+string(rune('a'+i))
		text := largeConfiguration(version, size, d.group.name, host)
		require.Len(t, text, size)
		for _, address := range d.controlAddresses {
			status := 0
			require.Eventually(t, func() bool {
				status = operator.replace(address, text)
				return status == http.StatusOK
			}, limit, 50*time.Millisecond, "%d bytes at %s", size, address)
		}
		for _, address := range d.controlAddresses {
			require.Eventually(t, func() bool {
				return operator.fetch(address) == text
			}, limit, 50*time.Millisecond, "%d bytes at %s", size, address)
		}
		for _, address := range d.callerAddresses {
			require.Eventually(t, func() bool {
				c := d.dial(address, host)
				_ = c.nc.SetReadDeadline(time.Now().Add(time.Second))
				m, err := c.r.Read()
				_ = c.nc.Close()
				return err == nil && m.Kind == "READY"
			}, limit, 50*time.Millisecond, "%d bytes at %s", size, address)
		}
	}
	status := operator.replace(d.controlAddresses[0], largeConfiguration(200, platform.MaxConfigurationBytes+1, d.group.name, "x"))
	assert.Equal(t, http.StatusRequestEntityTooLarge, status)
}
