package gwowner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gentianward.example/gentianward/internal/gwbackend"
	"gentianward.example/gentianward/internal/gwcontrol"
)

// sqlRecorder is a connection that records its simple queries. Each succeeds with the tag.
type sqlRecorder struct {
	gwbackend.Connection
	tag string
	sql []string
}

func (r *sqlRecorder) Exchange(_ context.Context, req gwbackend.Request, _ gwbackend.Sink) (gwbackend.Result, error) {
	r.sql = append(r.sql, string(req.Messages[5:len(req.Messages)-1]))
	return gwbackend.Result{Sent: true, Complete: true, TxStatus: 'T', CommandTags: []string{r.tag}}, nil
}

// Guards against a command tag that is changed when it is recorded, so that a request that
// is sent again gets another answer than the first one, or that ends its SQL constant.
func TestRecordedTagIsExact(t *testing.T) {
	conn := &sqlRecorder{tag: `X 'a' \`}
	clock := clockwork.NewFakeClockAt(time.Unix(5, 0))
	k := keyedWrite{
		server: &server{owner: &Owner{clock: clock}}, conn: conn, req: &Request{Key: "k"}, term: 3, sink: &bufferedSink{},
	}
	k.commit(t.Context(), conn.tag)
	require.Equal(t, []string{fmt.Sprintf(sqlInsertKey, "'k'", `'X ''a'' \'`, 3, 5), "COMMIT"}, conn.sql)
}

// Guards against a request key of another instance that becomes SQL.
func TestMalformedKeyIsRefused(t *testing.T) {
	var s Session
	for _, key := range []string{"a'b", "a b", "a\x00", "a\\"} {
		r := s.writeKeyed(t.Context(), nil, &Request{Key: key}, gwcontrol.GroupView{}, time.Time{}, nil)
		require.Equal(t, sqlInvalidValue, r.State, "key %q", key)
	}
}
