package gwdaemon

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwcontrol"
)

// Guards against announcements with unusable values, against oversized ones that would be
// broadcast to all instances, and against errors that do not name the field.
func TestCheckAnnouncement(t *testing.T) {
	valid := func() gwcontrol.Announcement {
		return gwcontrol.Announcement{
			ServerFacts: gwcontrol.ServerFacts{
				Server: "db-1", Group: "core", DataCentre: "a", Address: "10.0.0.1:5432", Slots: 2, Connections: 16,
			},
			Role: "replica",
		}
	}
	tests := []struct {
		name   string
		change func(*gwcontrol.Announcement)
		want   string
	}{
		{"complete", func(*gwcontrol.Announcement) {}, ""},
		{"longest name", func(a *gwcontrol.Announcement) { a.Server = strings.Repeat("s", maxNameBytes) }, ""},
		{"most slots", func(a *gwcontrol.Announcement) { a.Slots = maxSlots }, ""},
		{"no server", func(a *gwcontrol.Announcement) { a.Server = "" }, "server must have 1 to 128 characters"},
		{"long group", func(a *gwcontrol.Announcement) { a.Group = strings.Repeat("g", maxNameBytes+1) }, "group must have"},
		{"no data centre", func(a *gwcontrol.Announcement) { a.DataCentre = "" }, "dataCentre must have"},
		{"no port", func(a *gwcontrol.Announcement) { a.Address = "10.0.0.1" }, `address "10.0.0.1" is not of the form host:port`},
		{"negative slots", func(a *gwcontrol.Announcement) { a.Slots = -1 }, "slots and connections must be between"},
		{"too many connections", func(a *gwcontrol.Announcement) { a.Connections = maxConnections + 1 }, "slots and connections must be between"},
		{"unknown role", func(a *gwcontrol.Announcement) { a.Role = "leader" }, `role "leader" is neither primary nor replica`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := valid()
			tt.change(&a)
			err := checkAnnouncement(a)
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
			assert.Contains(t, err.Error(), tt.want)
		})
	}
}

// Guards against an announcement that another reader understands differently and that is recorded
// under another name: with two values of a field, in another case, or with replaced bytes.
func TestReadAnnouncement(t *testing.T) {
	const text = `{"server":"db-1","group":"core","dataCentre":"a","address":"10.0.0.1:5432","slots":2,"connections":16,"role":"replica","term":3,"offset":5,"new":1}`
	a, err := readAnnouncement(strings.NewReader(text))
	require.NoError(t, err)
	assert.Equal(t, gwcontrol.Announcement{
		ServerFacts: gwcontrol.ServerFacts{Server: "db-1", Group: "core", DataCentre: "a", Address: "10.0.0.1:5432", Slots: 2, Connections: 16},
		Role:        "replica", Term: 3, Offset: 5,
	}, a)
	a, err = readAnnouncement(strings.NewReader(strings.Replace(text, `"new":1`, `"Group":"other","SERVER":"other"`, 1)))
	require.NoError(t, err)
	assert.Equal(t, "core", a.Group)
	assert.Equal(t, "db-1", a.Server)
	for _, bad := range []string{
		strings.Replace(text, `"new":1`, `"group":"other"`, 1), strings.Replace(text, "core", "core\xff", 1),
		strings.Replace(text, "core", `core\ud800`, 1), text + text, text + "x", "", text[:50],
	} {
		_, err := readAnnouncement(strings.NewReader(bad))
		assert.Error(t, err, "%q", bad)
	}
}
