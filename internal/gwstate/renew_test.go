package gwstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against two holders of one lease: the first renews a lease that has expired while the
// grant to the second, which the leader proposed after it had expired, is being committed.
func TestRenewalDuringGrantLeavesOneHolder(t *testing.T) {
	m := newMachine(t)
	m.apply(StartGroup{Group: "g", Primary: "a", Term: 1})
	request := func(holder string) GrantLeases {
		return GrantLeases{Holder: holder, Incarnation: 1, Leases: []LeaseRequest{{Group: "g", Term: 1, Duration: time.Second}}}
	}
	m.apply(request("h1"))
	m.now = m.now.Add(time.Minute)
	grant := m.state.FillPrevious(request("h2"), m.now)
	refused := m.state.Renew("h1", 1, []GroupTerm{{Group: "g", Term: 1}}, m.now)
	res, ok := m.apply(grant).(LeaseResult)
	require.True(t, ok)
	renewed, granted := len(refused) == 0, res.Outcomes[0].Refusal == Accepted
	assert.False(t, renewed && granted, "both hold the lease")
}
