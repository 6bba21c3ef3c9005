package gwprogram

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/platform"
)

const (
	entryText = `node_name = "edge-rennes-a-1"
serves = ["edge"]
ip = "127.10.0.8"
zone = "rennes-a"
region = "rennes"
internal_ports = [7440,7455]
seeds = ["127.10.0.11:8782","127.10.0.12:8782"]
bootstrap = true
[listen_addrs]
frontend = "127.10.0.8:8784"
ready = "127.10.0.8:8785"
[limits]
max_fds = 4200
[bounds]
grace_s = 6
[cloud_api]
address = "127.10.0.160:8783"
`
	controlText = `node_name = "core-rennes-a-1"
serves = ["control"]
ip = "127.10.0.11"
zone = "rennes-a"
region = "rennes"
internal_ports = [7440,7455]
seeds = ["127.10.0.11:8782","127.10.0.12:8782"]
bootstrap = true
data_dir = "/data"
[listen_addrs]
control_plane = "127.10.0.11:8782"
[limits]
max_fds = 4200
[bounds]
grace_s = 6
[cloud_api]
address = "127.10.0.160:8783"
`
)

// Guards against an instance that lists itself as a seed, an entry instance that stops before
// callers have noticed, and a restarted control instance that takes its start for the first one.
func TestOptions(t *testing.T) {
	later := strings.Replace(controlText, "bootstrap = true", "bootstrap = false", 1)
	tests := []struct {
		name, text    string
		seeds         []string
		initialVoters []string
		controlOnly   bool
	}{
		{"entry", entryText, []string{"127.10.0.11:7440", "127.10.0.12:7440"}, []string{"127.10.0.11", "127.10.0.12"}, false},
		{"control at the first start", controlText, []string{"127.10.0.12:7440"}, []string{"127.10.0.11", "127.10.0.12"}, true},
		{"control at a later start", later, []string{"127.10.0.12:7440"}, nil, true},
	}
	for _, tt := range tests {
		s, err := platform.ParseSettings([]byte(tt.text))
		require.NoError(t, err, tt.name)
		p := Process{Settings: s, Log: slog.New(slog.DiscardHandler), FS: gwstore.OSFS{}}
		o, err := p.Options(gwdaemon.NewTelemetry())
		require.NoError(t, err, tt.name)
		assert.Equal(t, s.IP.String(), o.Settings.Instance, tt.name)
		assert.Equal(t, tt.seeds, o.Settings.Seeds, tt.name)
		voters := make([]string, 0, len(o.InitialVoters))
		for v := range o.InitialVoters {
			voters = append(voters, v)
		}
		assert.ElementsMatch(t, tt.initialVoters, voters, tt.name)
		assert.Equal(t, tt.controlOnly, o.ControlOnly, tt.name)
		assert.Equal(t, tt.controlOnly, o.StopDelay == 0, tt.name)
		assert.Equal(t, tt.controlOnly, o.FS != nil, tt.name)
		assert.Equal(t, !tt.controlOnly, o.RequireLeader, tt.name)
	}
}

// Guards against a reload that ends the process, or forgets what it read, over a settings file
// that cannot be used.
func TestReloadKeepsRunningWithUnusableSettings(t *testing.T) {
	var lines strings.Builder
	p := Process{Path: filepath.Join(t.TempDir(), "boot.toml"), Log: slog.New(slog.NewJSONHandler(&lines, nil))}
	assert.Nil(t, p.reload(nil, nil), "the file does not exist")
	require.NoError(t, os.WriteFile(p.Path, []byte("node_name = "), 0o600))
	text := p.reload(nil, nil)
	assert.Equal(t, "node_name = ", string(text))
	assert.Equal(t, 2, strings.Count(lines.String(), "settings not reloaded"))

	assert.Equal(t, text, p.reload(nil, text))
	assert.Equal(t, 2, strings.Count(lines.String(), "settings not reloaded"), "unchanged text is not parsed again")
}
