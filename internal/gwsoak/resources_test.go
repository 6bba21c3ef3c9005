package gwsoak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// measuredVariable is set in the process whose usage TestUsageOfProcess reads.
const measuredVariable = "GENTIANWARD_TEST_MEASURED"

// Guards against a check of descriptors and memory that holds because it reads nothing.
func TestUsageOfProcess(t *testing.T) {
	if os.Getenv(measuredVariable) != "" {
		openListeners(t, moreDescriptors+8)
		return
	}
	if runtime.GOOS != "linux" {
		t.Skip("the usage of processes is read on Linux only")
	}
	// A process of its own: in this one, connections of earlier tests may still be closing.
	cmd := exec.Command(os.Args[0], "-test.run", "^TestUsageOfProcess$")
	cmd.Env = append(os.Environ(), measuredVariable+"=1")
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	answers := bufio.NewReader(out)
	next := func() {
		_, err := answers.ReadString('\n')
		require.NoError(t, err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	next()
	before, ok := p.usage()
	require.True(t, ok)
	_, err = fmt.Fprintln(in)
	require.NoError(t, err)
	next()
	after, ok := p.usage()
	require.True(t, ok)
	assert.GreaterOrEqual(t, after.descriptors, before.descriptors+moreDescriptors)
	assert.Greater(t, after.memory, 1<<20)
	assert.True(t, after.grewFrom(before))
	assert.False(t, before.grewFrom(after))
	assert.True(t, usage{memory: 3*before.memory + moreMemory}.grewFrom(before))
	require.NoError(t, in.Close())
	_, _ = io.Copy(io.Discard, answers)
	require.NoError(t, cmd.Wait())
	close(p.done)
	_, ok = p.usage()
	assert.False(t, ok, "the process has ended")
}

// openListeners opens listeners once a line has arrived, and keeps them until the input ends.
func openListeners(t *testing.T, n int) {
	lines := bufio.NewReader(os.Stdin)
	fmt.Println("started")
	_, err := lines.ReadString('\n')
	require.NoError(t, err)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
	}
	fmt.Println("open")
	_, _ = io.Copy(io.Discard, lines)
}
