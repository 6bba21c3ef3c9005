package gwcontrol

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwpeer"
)

// FuzzEncodedText looks for a manifest that reaches another instance with other bytes, or not at
// all, because of the one that it is encoded against.
func FuzzEncodedText(f *testing.F) {
	f.Add([]byte(`{"version":8}`), []byte(`{"version":7}`))
	f.Add([]byte("\xff"), []byte("a"))
	f.Add([]byte("a"), bytes.Repeat([]byte("ab\xff"), 5000))
	f.Add(bytes.Repeat([]byte("\x00\r\n"), 5000), []byte("1234567"))
	format := ManifestFormat{Parse: func(string, []byte) (*gwmanifest.Manifest, error) { return &gwmanifest.Manifest{}, nil }}
	f.Fuzz(func(t *testing.T, text, base []byte) {
		if len(text) == 0 || len(base) == 0 {
			return
		}
		sender, receiver := NewViews(format), NewViews(format)
		for _, v := range []*Views{sender, receiver} {
			_, err := v.Apply(ViewDelta{Index: 1, Number: 1, Text: base})
			require.NoError(t, err)
		}
		_, err := sender.Apply(ViewDelta{From: 1, Index: 2, Number: 2, Text: text})
		require.NoError(t, err)
		for _, known := range []uint64{0, 1} {
			d, err := sender.EncodeSince(1, 1, known)
			require.NoError(t, err)
			b, err := gwpeer.Marshal(d)
			require.NoError(t, err)
			d = ViewDelta{}
			require.NoError(t, gwpeer.Unmarshal(b, &d))
			r := NewViews(format)
			_, err = r.Apply(receiver.Current().Since(0, 0))
			require.NoError(t, err)
			_, err = r.ApplyEncoded(d)
			require.NoError(t, err)
			require.Equal(t, text, r.Current().Text)
		}
	})
}

// FuzzFacts looks for facts of a backend server that one instance records and another one reads
// differently or not at all.
func FuzzFacts(f *testing.F) {
	f.Add("i-1", "core", "zone", "10.0.0.1:80", 2, uint64(5))
	f.Add("i 1", "a\r\nb", "\xff", "[::1%\x00]:1", -1, ^uint64(0))
	f.Add("é\u2028", "\u202e", "", "h:65535", 1<<16, uint64(0))
	f.Fuzz(func(t *testing.T, server, group, dataCentre, address string, slots int, born uint64) {
		want := ServerFacts{Server: server, Group: group, DataCentre: dataCentre, Address: address, Slots: slots, Born: born, Version: born}
		if want.Check() != nil {
			return
		}
		b, err := gwpeer.Marshal([]ServerFacts{want})
		require.NoError(t, err)
		var got factList
		require.NoError(t, gwpeer.Unmarshal(b, &got))
		require.Equal(t, factList{want}, got)
		d := NewDirectory()
		d.Merge(Usable(got, func(ServerFacts, error) { t.Fatal("facts skipped") }))
		recorded, _ := d.Server(server)
		require.Equal(t, want, recorded)
	})
}
