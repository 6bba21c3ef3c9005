package gwdaemon

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/internal/gwstore"
	"gentianward.example/gentianward/pkg/gwsession"
)

// FuzzSavedView looks for a view that is saved and cannot be loaded again, which keeps an instance
// from starting: names that are not UTF-8 were written and then refused.
func FuzzSavedView(f *testing.F) {
	f.Add("core", "i-1", "", []byte(`{"version":7}`))
	f.Add("\xff", "i\r\n", "\x00\xfe", []byte("\xff"))
	format := gwcontrol.ManifestFormat{Parse: func(string, []byte) (*gwmanifest.Manifest, error) { return &gwmanifest.Manifest{}, nil }}
	f.Fuzz(func(t *testing.T, group, primary, wait string, text []byte) {
		fs := gwstore.NewMemoryFS()
		i := newStoppedInstance(fs, new(bytes.Buffer))
		i.views = gwcontrol.NewViews(format)
		require.NoError(t, i.loadView())
		d := gwcontrol.ViewDelta{Index: 9, Number: 7, Text: append([]byte("x"), text...), Groups: []gwcontrol.GroupView{
			{Group: group, Primary: primary, Term: 3, Start: gwsession.Position{Term: 3, Offset: 5}, Index: 9, Wait: wait},
		}}
		_, err := i.views.Apply(d)
		require.NoError(t, err)
		require.NoError(t, i.viewStore.save(i.views.Current()))
		later := newStoppedInstance(fs, new(bytes.Buffer))
		later.views = gwcontrol.NewViews(format)
		require.NoError(t, later.loadView())
		require.Equal(t, i.views.Current().Since(0, 0), later.views.Current().Since(0, 0))
	})
}
