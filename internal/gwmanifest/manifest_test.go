package gwmanifest

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against wrong default values, and against a WithDefaults that modifies the
// parsed manifest or replaces an explicit zero.
func TestWithDefaults(t *testing.T) {
	m := &Manifest{
		Databases: []Database{{Name: "d", Groups: []Group{{Name: "g"}}}},
		Classes:   []Class{{Name: "omitted"}, {Name: "zero", WaitBudget: NewDuration(0)}},
		Limits:    Limits{GapWait: NewDuration(0)},
	}
	got := m.WithDefaults()
	assert.Equal(t, 3, got.Databases[0].Groups[0].Copies)
	assert.Equal(t, Class{
		Name: "omitted", Staleness: NewDuration(0), Weight: 1, Queue: 1024, Deadline: NewDuration(10 * time.Second),
		Acknowledge: AcknowledgeReplicated, WaitBudget: NewDuration(20 * time.Millisecond),
	}, got.Classes[0])
	assert.Zero(t, got.Classes[1].WaitBudget.Duration, "an explicit zero is kept")
	assert.Equal(t, Limits{
		Drain: NewDuration(10 * time.Second), IdleTransaction: NewDuration(time.Minute), GapWait: NewDuration(0),
		RequestKeyExpiry: NewDuration(24 * time.Hour), MessageBytes: 8 << 20,
	}, got.Limits)
	assert.Equal(t, RoutingSession, got.Routing)
	assert.Zero(t, m.Databases[0].Groups[0].Copies)
	assert.False(t, m.Classes[0].Deadline.IsSet())
}

// Guards against failing look-ups, and against a caller that is allowed to use a group
// that its databases do not include.
func TestIndex(t *testing.T) {
	x := loadExample(t, "ecodour")
	class, ok := x.Class("planners")
	require.True(t, ok)
	assert.Equal(t, 2*time.Second, class.Staleness.Duration)
	first, ok := x.Group("foyers-db")
	require.True(t, ok)
	second, ok := x.Group("foyers-db/foyers-2")
	require.True(t, ok)
	assert.Equal(t, "foyers-1", first.Name)
	assert.Equal(t, "foyers-2", second.Name)
	named, _ := x.GroupByName("foyers-2")
	assert.Equal(t, second, named)
	region, _ := x.Region("brest-a")
	assert.Equal(t, "brest", region)
	_, ok = x.Group("foyers-2")
	assert.False(t, ok)
	_, ok = x.Class("nobody")
	assert.False(t, ok)

	caller, ok := x.Caller("adviser")
	require.True(t, ok)
	assert.True(t, caller.Allows(second))
	caller.Databases = []string{"foyers-db/foyers-1"}
	assert.True(t, caller.Allows(first))
	assert.False(t, caller.Allows(second))
}

// Guards against a digest that does not depend on the exact text, or that the defaults
// change.
func TestDigest(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(examples, "ecodour", "manifest.jsonc"))
	require.NoError(t, err)
	m, err := ParseManifest("m", text)
	require.NoError(t, err)
	other, err := ParseManifest("m", append(text, '\n'))
	require.NoError(t, err)
	assert.Len(t, m.Digest(), 64)
	assert.NotEqual(t, m.Digest(), other.Digest())
	assert.Equal(t, m.Digest(), m.WithDefaults().Digest())
}

// Guards against relative paths that depend on the working directory.
func TestSettingsPaths(t *testing.T) {
	name := filepath.Join(examples, "hanbit", "seoul-mapo-1.jsonc")
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	s, err := ParseSettings(name, text)
	require.NoError(t, err)
	got := s.WithDefaults()
	assert.Equal(t, filepath.Join(examples, "hanbit", "keys", "ca.pem"), got.Keys.CA)
	assert.Equal(t, filepath.Join(examples, "hanbit", "data", "seoul-mapo-1"), got.DataFolder)
	assert.Equal(t, DefaultMaxClockDrift, got.MaxClockDrift)
	assert.Equal(t, "data/seoul-mapo-1", s.DataFolder)
}

// Guards against accepted settings that contradict the manifest in a voter or data centre:
// no other instance could reach an instance that starts with them.
func TestCheckSettings(t *testing.T) {
	x := loadExample(t, "hanbit")
	s := &Settings{Instance: "seoul-mapo-1", DataCentre: "seoul-mapo", Region: "busan", PeerAddress: "127.0.0.1:1"}
	assert.Len(t, Problems(x.CheckSettings(s)), 3, "region, address and data folder")
	s = &Settings{Instance: "seoul-mapo-7", DataCentre: "daegu", Region: "seoul"}
	assert.Len(t, Problems(x.CheckSettings(s)), 1)
}

// Guards against a stack overflow that deeply nested brackets cause, from which Go cannot
// recover, and against accepted files of unlimited size.
func TestBounds(t *testing.T) {
	inputs := []string{
		strings.Repeat("[", MaxFileBytes),
		`{"a":` + strings.Repeat(`{"a":`, 1<<16),
		strings.Repeat("// [\n", 1<<16) + strings.Repeat("[", maxDepth+1),
		strings.Repeat(" ", MaxFileBytes+1),
	}
	for _, in := range inputs {
		_, err := ParseManifest("m", []byte(in))
		assert.Error(t, err)
	}
}

// Guards against fields that are missing from the documentation.
func TestDocumentedFields(t *testing.T) {
	docs := map[string]reflect.Type{
		"manifest.md": reflect.TypeFor[Manifest](),
		"settings.md": reflect.TypeFor[Settings](),
	}
	for file, typ := range docs {
		text, err := os.ReadFile(filepath.Join("../../docs", file))
		require.NoError(t, err)
		for _, field := range fieldPaths(typ, "") {
			assert.Contains(t, string(text), "| `"+field+"` |", file)
		}
	}
}

// fieldPaths returns the paths of all leaf fields of t, as the documentation lists them.
func fieldPaths(t reflect.Type, prefix string) []string {
	var paths []string
	fields, names := structFields(t)
	for _, name := range names {
		typ := fields[name]
		path := joinPath(prefix, name)
		if typ.Kind() == reflect.Slice {
			typ, path = typ.Elem(), path+"[]"
		}
		if typ.Kind() == reflect.Pointer {
			typ = typ.Elem()
		}
		if typ.Kind() == reflect.Struct && typ != durationType {
			paths = append(paths, fieldPaths(typ, path)...)
		} else {
			paths = append(paths, path)
		}
	}
	return paths
}

// Guards against panics, unbounded run time, and accepted manifests with references to
// classes or groups that the index does not contain.
func FuzzParseManifest(f *testing.F) {
	for _, glob := range []string{"testdata/wrong/*.jsonc", examples + "/*/*.jsonc"} {
		files, err := filepath.Glob(glob)
		require.NoError(f, err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(f, err)
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := ParseSettings("s", text); err != nil {
			require.NotEmpty(t, Problems(err))
		}
		m, err := ParseManifest("m", text)
		if err != nil {
			require.NotEmpty(t, Problems(err))
			return
		}
		x := m.Index()
		for _, c := range x.Manifest().Callers {
			_, ok := x.Class(c.Class)
			require.True(t, ok)
			for _, d := range c.Databases {
				_, ok := x.Group(d)
				require.True(t, ok)
			}
		}
	})
}

func BenchmarkParseManifest(b *testing.B) {
	text, err := os.ReadFile(filepath.Join(examples, "ecodour", "manifest.jsonc"))
	require.NoError(b, err)
	var more strings.Builder
	for i := range 3300 { // the number of databases in the design target
		fmt.Fprintf(&more, `{"name": "db-%d", "groups": [{"name": "group-%d"}]},`, i, i)
	}
	large := strings.Replace(string(text), `"databases": [`, `"databases": [`+more.String(), 1)
	b.SetBytes(int64(len(large)))
	for b.Loop() {
		_, err := ParseManifest("m", []byte(large))
		require.NoError(b, err)
	}
}
