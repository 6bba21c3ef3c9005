package gwdaemon

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwpeer"
	"gentianward.example/gentianward/internal/gwwire"
)

// cancelPrefix returns the upper half of the process identifiers of an instance's
// sessions. Two instances may have the same prefix; the secret in the cancel key
// distinguishes their sessions.
func cancelPrefix(instance string) uint16 { return uint16(xxhash.Sum64String(instance)) }

// ForwardCancel forwards a cancel request to the other live instances that may have
// issued its key.
func (i *Instance) ForwardCancel(ctx context.Context, key gwwire.CancelKey) {
	t := i.members.Topology()
	for _, m := range t.Live {
		if m.Instance == t.Self.Instance || cancelPrefix(m.Instance) != key.Prefix() {
			continue
		}
		if _, err := gwpeer.Call[gwwire.CancelKey, bool](ctx, i.node, m.Address, gwcontrol.KindCancel, key); err != nil {
			i.Log.Warn("cancel request not forwarded", "to", m.Instance, "error", err.Error())
		}
	}
}

// serveCancels handles the cancel requests that other instances forward.
func (i *Instance) serveCancels() {
	gwpeer.Handle(i.node, gwcontrol.KindCancel, func(_ context.Context, _ string, key gwwire.CancelKey) (bool, error) {
		return i.pgServer.Cancel(key), nil
	})
}
