package gwdaemon

import (
	"time"

	"gentianward.example/gentianward/internal/gwcontrol"
	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/internal/gwtelemetry"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// telemetry records measurements in the metrics of an instance.
type telemetry struct {
	*gwtelemetry.Metrics
	customers *gwtelemetry.Customers
}

// NewTelemetry returns the Telemetry of one instance with a new set of metrics.
func NewTelemetry() Telemetry {
	m := gwtelemetry.New()
	return telemetry{Metrics: m, customers: gwtelemetry.NewCustomers(m, time.Now)}
}

// NotAuthenticated counts a caller whose API key is not known, for the customer that had it.
func (t telemetry) NotAuthenticated(customer string) {
	t.Counter("gentianward_not_authenticated_total").Inc()
	if customer != "" {
		t.customers.NotServed(customer, "notAuthenticated")
	}
}

// observeCustomer counts a request of a customer.
func (t telemetry) observeCustomer(o gwfilter.Observation) {
	switch {
	case o.Customer == "":
	case o.Event == gwoutcome.Answered:
		t.customers.Served(o.Customer)
	default:
		t.customers.NotServed(o.Customer, o.Event.String())
	}
}

// Observe records a finished request.
func (t telemetry) Observe(o gwfilter.Observation) {
	s := t.Series(o.Class, o.Group)
	s.Latency(o.Duration)
	t.observeCustomer(o)
	if o.Held > 0 {
		t.Histogram("gentianward_held_seconds", gwtelemetry.Label{Name: "group", Value: o.Group}).Update(o.Held.Seconds())
	}
	switch gwoutcome.Of(o.Event, gwsession.Position{}).(type) {
	case gwoutcome.Done:
		s.Outcome(gwtelemetry.Done)
	case gwoutcome.NotRun:
		s.Outcome(gwtelemetry.NotRun)
	case gwoutcome.Unknown:
		s.Outcome(gwtelemetry.Unknown)
	}
	if o.Event != gwoutcome.Answered {
		t.Counter("gentianward_not_served_total", gwtelemetry.Label{Name: "event", Value: o.Event.String()}, gwtelemetry.Label{Name: "group", Value: o.Group}).Inc()
		return
	}
	if o.Read {
		s.Read(o.Replica)
	}
	if o.Away != "" {
		t.Counter("gentianward_reads_away_total", gwtelemetry.Label{Name: "cause", Value: string(o.Away)}).Inc()
	}
	if o.Replica {
		s.Staleness(o.Staleness)
	}
	if o.CrossRegion {
		s.RegionBytes(int(o.Bytes))
	}
}

// QueueWait records how long a request waited for a slot.
func (t telemetry) QueueWait(class, group string, d time.Duration) {
	t.Series(class, group).QueueWait(d)
}

// SlotRefused counts a request that got no slot.
func (t telemetry) SlotRefused(class, reason string) {
	t.Counter("gentianward_slot_refusals_total", gwtelemetry.Label{Name: "class", Value: class}, gwtelemetry.Label{Name: "reason", Value: reason}).Inc()
}

// ConfirmWait records the time from a commit to its confirmation by a replica.
func (t telemetry) ConfirmWait(class, group string, d time.Duration) {
	t.Histogram("gentianward_confirm_wait_seconds", gwtelemetry.Label{Name: "class", Value: class}, gwtelemetry.Label{Name: "group", Value: group}).Update(d.Seconds())
}

// QuotaDecision counts an operation of a customer by what its quota agent decided.
func (t telemetry) QuotaDecision(customer, outcome string) {
	t.Counter("gentianward_quota_operations_total", gwtelemetry.Label{Name: "customer", Value: customer}, gwtelemetry.Label{Name: "outcome", Value: outcome}).Inc()
}

// exposeVoter adds gauges of the state of this instance's voter.
func (i *Instance) exposeVoter() {
	gauge := func(name string, value func(gwcontrol.VoterMetrics) float64) {
		i.Telemetry.Gauge(name, func() float64 { return value(i.consensus.Metrics()) })
	}
	gauge("gentianward_voter_role", func(m gwcontrol.VoterMetrics) float64 { return float64(m.Role) })
	gauge("gentianward_voter_term", func(m gwcontrol.VoterMetrics) float64 { return float64(m.Term) })
	gauge("gentianward_voter_commit_index", func(m gwcontrol.VoterMetrics) float64 { return float64(m.Commit) })
	gauge("gentianward_voter_uncommitted_age_seconds", func(m gwcontrol.VoterMetrics) float64 { return m.UncommittedAge.Seconds() })
	gauge("gentianward_voter_slowest_save_seconds", func(m gwcontrol.VoterMetrics) float64 { return m.SlowestSave.Seconds() })
	gauge("gentianward_voter_messages_dropped", func(m gwcontrol.VoterMetrics) float64 { return float64(m.Dropped) })
	gauge("gentianward_voter_streams_reopened", func(m gwcontrol.VoterMetrics) float64 { return float64(m.Reopened) })
}

// exposeState adds gauges of what the instance has sent to others, by kind of message, and
// of whether its voter takes part.
func (i *Instance) exposeState() {
	if i.Telemetry == nil {
		return
	}
	if i.Budget != nil {
		i.Budget.Expose(i.Telemetry.Gauge)
	}
	i.handshakes.Expose(i.Telemetry.Gauge)
	i.operatorConnections.Expose(i.Telemetry.Gauge)
	if i.consensus != nil {
		for _, end := range []string{"possible", "none"} {
			final := end == "none"
			i.Telemetry.Gauge("gentianward_groups_waiting", func() float64 { return float64(i.leader.Waiting(final)) }, gwtelemetry.Label{Name: "end", Value: end})
		}
		i.Telemetry.Gauge("gentianward_voter_running", func() float64 {
			if i.consensus.Running() {
				return 1
			}
			return 0
		})
		i.exposeVoter()
	}
	for id, name := range i.node.Kinds() {
		label := gwtelemetry.Label{Name: "kind", Value: name}
		i.Telemetry.Gauge("gentianward_peer_sent_bytes", func() float64 { return float64(i.node.Traffic(id).Bytes) }, label)
		i.Telemetry.Gauge("gentianward_peer_sent_messages", func() float64 { return float64(i.node.Traffic(id).Messages) }, label)
	}
	i.Telemetry.Gauge("gentianward_peer_links", func() float64 { return float64(len(i.node.Links())) })
}
