package main

import (
	"encoding/base64"
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

// Guards against a configuration that is acknowledged only where the leader of the replicated log
// runs, or that cannot be read at the other instances, because it is larger than other messages.
func TestLargeConfiguration(t *testing.T) {
	const limit = 15 * time.Second
	d := startDeployment(t)
	d.awaitReady()
	for i, size := range []int{1<<20 - 1000, 1<<20 + 1000, 3 << 20, platform.MaxConfigurationBytes} {
		version, host := 100+i, "large"+string(rune('a'+i))
		text := largeConfiguration(version, size, d.group.name, host)
		require.Len(t, text, size)
		for _, address := range d.controlAddresses {
			status := 0
			require.Eventually(t, func() bool {
				status, _ = d.platform.Replace(address, text)
				return status == http.StatusOK
			}, limit, 50*time.Millisecond, "%d bytes at %s", size, address)
		}
		for _, address := range d.controlAddresses {
			require.Eventually(t, func() bool {
				got, err := d.platform.Fetch(address)
				return err == nil && got == text
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
	status, err := d.platform.Replace(d.controlAddresses[0], largeConfiguration(200, platform.MaxConfigurationBytes+1, d.group.name, "x"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, status)
}
