package gwpeer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against operators that may use kinds of instances, and the reverse.
func TestRoles(t *testing.T) {
	ca, err := NewAuthority("test")
	require.NoError(t, err)
	server := startNode(t, ca, Options{Instance: "server"})
	serveEcho(server)
	publish := Kind{ID: 900, Name: "testPublish", OperatorOnly: true}
	Handle(server, publish, func(_ context.Context, _ string, e echo) (echo, error) { return e, nil })
	cert, err := ca.IssueOperator("op")
	require.NoError(t, err)
	id, err := NewIdentity(ca.CertificatePEM(), cert.CertificatePEM, cert.KeyPEM)
	require.NoError(t, err)
	operator := startNode(t, ca, Options{Instance: "op", TLS: NewMemorySource(id)})
	instance := startNode(t, ca, Options{Instance: "instance"})
	ctx := testContext(t, 10*time.Second)

	_, err = Call[echo, echo](ctx, operator, server.Address(), publish, echo{})
	require.NoError(t, err)
	_, err = callEcho(ctx, instance, server.Address(), "x")
	require.NoError(t, err)
	_, err = Call[echo, echo](ctx, instance, server.Address(), publish, echo{})
	assert.ErrorContains(t, err, "needs an operator certificate")
	_, err = callEcho(ctx, operator, server.Address(), "x")
	assert.ErrorContains(t, err, "not open to operators")

	_, err = callEcho(ctx, instance, operator.Address(), "x")
	assert.Equal(t, KindNotSent, errorKind(t, err), "an operator's certificate is not valid for a server")
}
