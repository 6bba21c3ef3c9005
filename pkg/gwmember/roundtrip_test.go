package gwmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzMessage looks for a member that enters a table and that others cannot read, or read as
// another one: a name that is not UTF-8 was sent on and refused by each receiver.
func FuzzMessage(f *testing.F) {
	f.Add("a", "rennes-a", "rennes", "10.0.0.1:7440", "", uint64(5), uint8(StatusAlive), uint32(1))
	f.Add("\xff", "d", "", "10.0.0.1:1", "", uint64(0), uint8(StatusDead), uint32(0))
	f.Add("a\r\n", "\x00", "é", "x", "\xc3", ^uint64(0), uint8(0), uint32(9))
	f.Fuzz(func(t *testing.T, instance, dataCentre, region, address, operator string, incarnation uint64, status uint8, age uint32) {
		u := Update{Member: Member{Instance: instance, DataCentre: dataCentre, Region: region, Address: address, OperatorAddress: operator, Incarnation: incarnation}, Status: Status(status), Age: age}
		if u.check() != nil {
			return
		}
		want := Message{Kind: KindGossip, Sequence: age, Version: Version{ManifestNumber: incarnation}, Target: instance, Scope: dataCentre, Updates: Updates{u}}
		b, err := Encode(want)
		if err != nil {
			require.Greater(t, len(instance)+len(dataCentre)+u.size(), MaxMessageSize-maxMessageOverhead)
			return
		}
		got, err := Decode(b)
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

// Guards against a member whose name is not UTF-8 and that makes every message which names it
// unreadable for others.
func TestMemberWithoutUTF8IsSkipped(t *testing.T) {
	self := Member{Instance: "self", DataCentre: "d", Address: "10.0.0.1:1", Incarnation: 3}
	m := New(Config{Self: self})
	bad := Update{Member: Member{Instance: "b\xff", DataCentre: "d", Address: "10.0.0.2:1", Incarnation: 5}, Status: StatusAlive}
	good := Update{Member: Member{Instance: "c", DataCentre: "d", Address: "10.0.0.3:1", Incarnation: 5}, Status: StatusAlive}
	m.Receive("c", Message{Kind: KindGossip, Updates: Updates{bad, good}}, time.Unix(1000, 0))
	require.Equal(t, StatusUnknown, m.State("b\xff"))
	require.Equal(t, StatusAlive, m.State("c"))
}
