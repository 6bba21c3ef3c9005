package gwmember

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain sets rapid's seed, so that every run gives the same result; a command-line flag
// overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against messages larger than MaxMessageSize, for names of any length and any
// queued updates.
func TestMessagesFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := func(label string) string {
			return strings.Repeat("x", rapid.IntRange(1, 150).Draw(t, label))
		}
		members := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			return Member{
				Instance: name("instance") + rapid.StringMatching(`[a-z]{8}`).Draw(t, "id"), DataCentre: name("dc"),
				Region: name("region"), Address: name("address"), Incarnation: ^uint64(0),
			}
		}), 2, 40).Draw(t, "members")
		if members[0].Check() != nil {
			return
		}
		now := time.Unix(1, 0)
		m := New(Config{Self: members[0], Seeds: []string{"seed"}})
		m.SetVersion(Version{^uint64(0), ^uint64(0)})
		for _, other := range members[1:] {
			u := []Update{{Member: other, Status: StatusAlive}}
			m.Receive(other.Instance, Message{Kind: KindGossip, Updates: u}, now)
		}
		for i := range 200 {
			now = now.Add(DefaultTick)
			actions := m.Tick(now)
			from := members[1+i%(len(members)-1)].Instance
			sync := Message{Kind: KindSync, Sequence: ^uint32(0), Digest: make([]byte, digestSize)}
			actions = append(actions, m.Receive(from, sync, now)...)
			for _, a := range actions {
				if send, ok := a.(SendMessage); ok {
					b, err := Encode(send.Message)
					require.NoError(t, err)
					got, err := Decode(b)
					require.NoError(t, err)
					require.Equal(t, send.Message, got)
				}
			}
		}
	})
}

// Guards against accepting malformed messages and against rejecting messages with unknown
// fields from newer senders.
func TestDecode(t *testing.T) {
	bad := []any{
		"text",
		map[int]any{5: 7},
		map[int]any{5: []any{map[int]any{1: map[int]any{1: "a", 2: "", 4: "c"}}}},
		map[int]any{5: []any{map[int]any{1: map[int]any{1: "a", 2: "b", 4: strings.Repeat("x", 600)}}}},
		map[int]any{6: make([]byte, MaxMessageSize)},
	}
	for _, v := range bad {
		b, err := cbor.Marshal(v)
		require.NoError(t, err)
		_, err = Decode(b)
		var e *Error
		assert.ErrorAs(t, err, &e, "%v", v)
	}
	b, err := cbor.Marshal(map[int]any{1: KindPing, 2: 7, 99: "new"})
	require.NoError(t, err)
	msg, err := Decode(b)
	require.NoError(t, err)
	assert.Equal(t, Message{Kind: KindPing, Sequence: 7}, msg)
}
