package gwdaemon

import (
	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/internal/gwquotas"
)

// buildQuotas creates the part that limits the operations of customers.
func (i *Instance) buildQuotas() {
	if i.ControlOnly {
		return
	}
	i.quotas = gwquotas.New(gwquotas.Options{
		Node: i.node, Clock: i.Clock, Log: i.Log, Views: i.views, Topology: i.members.Topology, Epoch: i.leases.epoch,
		Report: i.client.ReportQuota, Rules: i.Quota, Metrics: i.Telemetry,
	})
}

// entryQuota returns the entry's quota, nil if there is none.
func (i *Instance) entryQuota() gwfilter.Quota {
	if i.quotas == nil {
		return nil
	}
	return i.quotas
}
