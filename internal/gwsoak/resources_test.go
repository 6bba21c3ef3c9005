package gwsoak

import (
	"net"
	"os"
	"os/exec"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a check of descriptors and memory that holds because it reads nothing.
func TestUsageOfProcess(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the usage of processes is read on Linux only")
	}
	p := &process{cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}, done: make(chan struct{})}
	before, ok := p.usage()
	require.True(t, ok)
	for range moreDescriptors + 8 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
	}
	after, ok := p.usage()
	require.True(t, ok)
	assert.GreaterOrEqual(t, after.descriptors, before.descriptors+moreDescriptors)
	assert.Greater(t, after.memory, 1<<20)
	assert.True(t, after.grewFrom(before))
	assert.False(t, before.grewFrom(after))
	assert.True(t, usage{memory: 3*before.memory + moreMemory}.grewFrom(before))
	close(p.done)
	_, ok = p.usage()
	assert.False(t, ok, "the process has ended")
}
