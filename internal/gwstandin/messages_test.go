package gwstandin

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

type (
	parseMessage   = pgproto3.Parse
	bindMessage    = pgproto3.Bind
	executeMessage = pgproto3.Execute
	syncMessage    = pgproto3.Sync
)

// receiveKinds returns the type bytes of the messages up to ReadyForQuery.
func receiveKinds(t testing.TB, f *pgproto3.Frontend) string {
	kinds := ""
	for {
		msg, err := f.Receive()
		require.NoError(t, err)
		encoded, err := msg.Encode(nil)
		require.NoError(t, err)
		kinds += string(encoded[0])
		if encoded[0] == 'Z' {
			return kinds
		}
	}
}
