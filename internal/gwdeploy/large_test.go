package gwdeploy

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwdaemon"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
)

// Guards against a manifest that is valid and that an operator cannot publish, or an instance not
// receive, because it is larger than other messages between instances.
func TestLargeManifest(t *testing.T) {
	d := startTest(t, Options{})
	entry := d.Instance("rennes-a-2")
	operator := operatorNode(t, d)
	m := *d.manifest
	m.Number++
	text, err := json.Marshal(&m)
	require.NoError(t, err)
	noise := make([]byte, 2<<20)
	_, _ = rand.NewChaCha8([32]byte{}).Read(noise)
	text = append(text, "\n// "+base64.StdEncoding.EncodeToString(noise)+"\n"...)
	require.Less(t, len(text), gwmanifest.MaxFileBytes)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = gwpeer.Call[gwcontrol.PublishRequest, gwcontrol.PublishResult](ctx, operator, entry.Settings.PeerAddress, gwdaemon.KindOperatorPublish, gwcontrol.PublishRequest{Text: text})
	require.NoError(t, err)
	for _, n := range d.Instances() {
		require.Eventually(t, func() bool { return n.Instance().View().Number == m.Number }, 20*time.Second, 10*time.Millisecond, n.Settings.Instance)
		assert.Equal(t, text, n.Instance().View().Text)
	}
}
