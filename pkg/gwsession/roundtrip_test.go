package gwsession

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// FuzzTokenIssue looks for a token that is issued and then refused, or read with other positions:
// names that are not UTF-8 were encoded and not decoded.
func FuzzTokenIssue(f *testing.F) {
	f.Add("adviser", "g", uint64(3), uint64(8))
	f.Add("", "", uint64(0), ^uint64(0))
	f.Add("\xff", "a\x00\r\n", uint64(1), uint64(1))
	f.Add("a", "\xed\xa0\x80", ^uint64(0), uint64(0))
	signer := NewSigner(time.Hour, []byte("key"))
	f.Fuzz(func(t *testing.T, caller, group string, term, offset uint64) {
		w := Watermark{}.With("first", Position{Term: 1, Offset: 2}).With(group, Position{Term: term, Offset: offset})
		token, err := signer.Issue(caller, w, testNow)
		if err != nil {
			require.Greater(t, len(caller)+len(group), MaxTokenBytes/2)
			return
		}
		got, err := signer.Verify(caller, token, testNow)
		require.NoError(t, err)
		require.Equal(t, w, got)
	})
}

// Guards against a token that is issued although it is too long to be verified: a session that
// presents it is refused as if it were forged.
func TestLongTokenIsNotIssued(t *testing.T) {
	signer := NewSigner(time.Hour, []byte("key"))
	w := Watermark{}
	issued := false
	for i := range 200 {
		w = w.With(fmt.Sprintf("%s-%d", strings.Repeat("g", 60), i), Position{Term: 1, Offset: uint64(i)})
		token, err := signer.Issue("adviser", w, testNow)
		if err != nil {
			assert.True(t, issued)
			return
		}
		issued = true
		_, err = signer.Verify("adviser", token, testNow)
		require.NoError(t, err, "%d groups", i+1)
	}
	assert.Fail(t, "a token of 200 groups was issued")
}
