package gwload

import (
	"time"

	"gentianward.example/gentianward/internal/gwdeploy"
)

// Class is one class of requests with its arrival rate.
type Class struct {
	Name   string
	Caller string
	Table  string
	// Rate is the mean number of arrivals per second.
	Rate float64
	// WriteShare is the share of writes; all other requests are reads.
	WriteShare float64
	// Staleness is the staleness that reads accept.
	Staleness time.Duration
}

// Mix returns the request classes of a deployment, with a total of rate arrivals per
// second. The shares follow the purposes of the deployments, which mostly read.
func Mix(deployment string, rate float64) ([]Class, error) {
	switch deployment {
	case gwdeploy.Ecodour:
		return []Class{
			{Name: "advisers", Caller: "adviser", Table: "visit", Rate: 0.3 * rate, WriteShare: 0.5},
			{Name: "planners", Caller: "planner", Table: "visit", Rate: 0.6 * rate, Staleness: 2 * time.Second},
			{Name: "councils", Caller: "council", Table: "visit", Rate: 0.1 * rate, Staleness: 30 * time.Second},
		}, nil
	case gwdeploy.Hanbit:
		return []Class{
			{Name: "members", Caller: "member", Table: "booking", Rate: 0.2 * rate, WriteShare: 0.5},
			{Name: "payments", Caller: "payment", Table: "payment", Rate: 0.1 * rate, WriteShare: 0.7},
			{Name: "gyms", Caller: "gym", Table: "booking", Rate: 0.7 * rate, Staleness: time.Second},
		}, nil
	default:
		return nil, &Error{Op: "select request classes", Kind: BadOption, Detail: "deployment \"" + deployment + "\" is neither ecodour nor hanbit"}
	}
}
