package gwcontrol

import (
	"log/slog"
	"time"
)

const (
	// aloneDelay is how long an instance that knows no other one waits before it logs this;
	// a start of all machines takes some seconds.
	aloneDelay = 5 * time.Second
	// aloneInterval is the time between two such lines.
	aloneInterval = 30 * time.Second
	// maxAloneAddresses is the number of addresses in one line.
	maxAloneAddresses = 8
)

// aloneReport logs that an instance knows no other one although it has addresses to try.
type aloneReport struct {
	log      *slog.Logger
	since    time.Time // zero unless the instance is alone
	nextLine time.Time
	reported bool
}

// update records the number of live members and logs what is due. tried returns the addresses
// at which the instance looks for others.
func (a *aloneReport) update(live int, tried func() []string, now time.Time) {
	switch {
	case live > 1 && a.reported:
		a.log.Info("other instances found", "members", live, "after", now.Sub(a.since).Round(time.Millisecond).String())
		*a = aloneReport{log: a.log}
	case live > 1:
		a.since = time.Time{}
	case a.since.IsZero():
		a.since, a.nextLine = now, now.Add(aloneDelay)
	case !now.Before(a.nextLine):
		a.nextLine = now.Add(aloneInterval)
		a.logAlone(tried(), now)
	}
}

func (a *aloneReport) logAlone(tried []string, now time.Time) {
	if len(tried) == 0 {
		return
	}
	a.reported = true
	a.log.Warn("no other instance found", "for", now.Sub(a.since).Round(time.Millisecond).String(),
		"addresses", len(tried), "tried", tried[:min(len(tried), maxAloneAddresses)])
}
