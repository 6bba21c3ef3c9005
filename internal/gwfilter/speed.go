package gwfilter

import (
	"time"

	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwroute"
)

// speedOf returns what an owner has reported about the speed of its server. SlotShare is the number
// of slots, which the caller divides by that of the server.
func speedOf(r *gwowner.Speed) gwroute.Speed {
	if r == nil {
		return gwroute.Speed{}
	}
	return gwroute.Speed{
		Factor: float64(r.Percent) / 100, SlotShare: float64(r.Slots), Errors: float64(r.Errors) / 100,
		Confidence: min(1, float64(r.Confidence)/100),
		Age:        time.Duration(r.AgeMillis) * time.Millisecond,
	}
}
