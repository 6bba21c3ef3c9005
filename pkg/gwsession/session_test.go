package gwsession

import (
	"encoding/base64"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testNow = time.Unix(1_800_000_000, 0)

// Guards against replacing a position by a lower one, after which a session would miss its
// own write.
func TestWatermarkNeverGoesDown(t *testing.T) {
	w := Watermark{}.With("g", Position{Term: 2, Offset: 5}).With("g", Position{Term: 1, Offset: 9})
	got, ok := w.Position("g")
	require.True(t, ok)
	assert.Equal(t, Position{Term: 2, Offset: 5}, got)
}

// Guards against a derived watermark that changes the original.
func TestWatermarkIsImmutable(t *testing.T) {
	a := Watermark{}.With("g", Position{Term: 1, Offset: 1})
	_ = a.With("g", Position{Term: 1, Offset: 2})
	got, _ := a.Position("g")
	assert.Equal(t, Position{Term: 1, Offset: 1}, got)
}

// Guards against reads without a barrier for callers that present no token.
func TestSessionNeedsBarrier(t *testing.T) {
	var s Session
	assert.True(t, s.NeedsBarrier("g"))
	s = s.WithBarrier("g", Position{Term: 1, Offset: 4})
	assert.False(t, s.NeedsBarrier("g"))
	assert.True(t, s.NeedsBarrier("h"))
	assert.False(t, Session{}.WithToken(Watermark{}).NeedsBarrier("h"))
}

// Guards against accepting forged, altered, expired or foreign tokens.
func TestTokenVerify(t *testing.T) {
	signer := NewSigner(time.Hour, []byte("new"), []byte("old"))
	w := Watermark{}.With("g", Position{Term: 3, Offset: 8})
	token, err := signer.Issue("adviser", w, testNow)
	require.NoError(t, err)
	altered, _ := base64.RawURLEncoding.DecodeString(token)
	altered[len(altered)-1] ^= 1
	foreign, _ := NewSigner(time.Hour, []byte("other")).Issue("adviser", w, testNow)

	tests := []struct {
		name, caller, token string
		at                  time.Time
		want                Kind
	}{
		{name: "altered", caller: "adviser", token: base64.RawURLEncoding.EncodeToString(altered), at: testNow, want: Forged},
		{name: "other key", caller: "adviser", token: foreign, at: testNow, want: Forged},
		{name: "other caller", caller: "planner", token: token, at: testNow, want: WrongCaller},
		{name: "expired", caller: "adviser", token: token, at: testNow.Add(2 * time.Hour), want: Expired},
		{name: "not base64", caller: "adviser", token: "%", at: testNow, want: Malformed},
		{name: "short", caller: "adviser", token: "AAAA", at: testNow, want: Malformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := signer.Verify(tt.caller, tt.token, tt.at)
			var e *Error
			require.True(t, errors.As(err, &e), "got %v", err)
			assert.Equal(t, tt.want, e.Kind)
		})
	}

	got, err := signer.Verify("adviser", token, testNow)
	require.NoError(t, err)
	assert.Equal(t, w, got)

	old, err := NewSigner(time.Hour, []byte("old")).Issue("adviser", w, testNow)
	require.NoError(t, err)
	_, err = signer.Verify("adviser", old, testNow)
	assert.NoError(t, err, "a token signed with the previous key must stay valid during a key rotation")
}

// FuzzTokenVerify guards against panics on arbitrary tokens and against accepting one that
// was not signed.
func FuzzTokenVerify(f *testing.F) {
	signer := NewSigner(time.Hour, []byte("key"))
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, token string) {
		if _, err := signer.Verify("adviser", token, testNow); err == nil {
			t.Fatalf("token %q was accepted", token)
		}
	})
}

// Guards against counting a replica as fresh before it has reached the answered position.
func TestFreshness(t *testing.T) {
	var f Freshness
	_, ok := f.Staleness(testNow)
	require.False(t, ok)

	f.RecordPrimary(testNow, Position{Term: 1, Offset: 10})
	f.RecordPrimary(testNow.Add(time.Second), Position{Term: 1, Offset: 20})
	f.RecordReplica(Position{Term: 1, Offset: 19})
	got, ok := f.Staleness(testNow.Add(2 * time.Second))
	require.True(t, ok)
	assert.Equal(t, 2*time.Second, got)

	f.RecordReplica(Position{Term: 1, Offset: 20})
	got, _ = f.Staleness(testNow.Add(2 * time.Second))
	assert.Equal(t, time.Second, got)
}

// Guards against a lagging replica that never counts as fresh because old positions were
// dropped.
func TestFreshnessKeepsOldestSample(t *testing.T) {
	var f Freshness
	for i := range 3 * maxPending {
		f.RecordPrimary(testNow.Add(time.Duration(i)*time.Second), Position{Term: 1, Offset: uint64(i)})
	}
	f.RecordReplica(Position{Term: 1, Offset: 0})
	_, ok := f.Staleness(testNow)
	assert.True(t, ok)
}
