package gwmember

import (
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of the addresses that Known returns. With 3,000 members in 12 data centres these are
// about 500 addresses.
const (
	// maxKnownControl bounds those of control-only instances and voters, of which a
	// deployment has at most 14.
	maxKnownControl = 32
	// maxKnownOwn bounds those of the own data centre's other instances. It covers all 250
	// members of a large data centre, as those whose seeds are gone are found by nobody else.
	maxKnownOwn = 288
	// maxKnownOther bounds those of each other data centre.
	maxKnownOther = 16
	// maxKnownLost is how many of these may belong to members that are not live, once the
	// search after the start is over. They are kept because a loss of power does not reach all
	// machines at the same moment.
	maxKnownLost = 32
)

// Timing of the search at known addresses. An address without an instance costs one attempt
// to connect.
const (
	knownInterval     = 100 * time.Millisecond // wait between two attempts
	knownPassInterval = 2 * time.Second        // minimum time between two attempts at the same address
	// knownSearch is how long after the start all known addresses are tried. Machines that
	// lost power together start within minutes; later reconnect tries the addresses.
	knownSearch = 3 * time.Minute
)

// KnownAddress is a peer address at which an instance was a member. It is an address to try
// and says nothing about the membership of that instance.
type KnownAddress struct {
	Address    string `json:"address" cbor:"1,keyasint"`
	DataCentre string `json:"dataCentre,omitempty" cbor:"2,keyasint,omitempty"`
	// Control means a control-only instance or a voter.
	Control bool `json:"control,omitempty" cbor:"3,keyasint,omitempty"`
}

// Check returns an error if the address is not of the form host:port.
func (k KnownAddress) Check() error {
	host, port, err := net.SplitHostPort(k.Address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 || host == "" {
		return &Error{Op: "check known address", Kind: ErrorInvalid, Err: errors.Newf("%.64q is not of the form host:port", k.Address)}
	}
	if n := len(k.Address) + len(k.DataCentre); n > maxUpdateSize {
		return &Error{Op: "check known address", Kind: ErrorTooLarge, Err: errors.Newf("%d bytes, the limit is %d", n, maxUpdateSize)}
	}
	return nil
}

// knownClass is what the bounds of known addresses apply to: the control instances of all data
// centres, and the others of one.
type knownClass struct {
	control    bool
	dataCentre string
}

func (k KnownAddress) class() knownClass {
	if k.Control {
		return knownClass{control: true}
	}
	return knownClass{dataCentre: k.DataCentre}
}

// knownSearchState is the progress of the search at known addresses.
type knownSearchState struct {
	began    time.Time
	nextPass time.Time
	next     time.Time
	queue    []string // addresses that the current pass has not tried
	over     bool
}

// AddKnown adds addresses to try, before the other known ones.
func (m *Members) AddKnown(addresses []KnownAddress) {
	known := slices.Clone(addresses)
	known = slices.DeleteFunc(known, func(k KnownAddress) bool { return m.isKnown(k.Address) })
	m.known = m.boundKnown(append(known, m.known...))
}

func (m *Members) isKnown(address string) bool {
	return address == m.self.Address || slices.ContainsFunc(m.known, func(k KnownAddress) bool { return k.Address == address })
}

// Known returns the addresses to try in a later run: those of live members and, after them,
// of members that were lost recently, within the bounds of this package. The caller must not
// modify the slice. If it is never called, only the addresses that were given are tried.
func (m *Members) Known() []KnownAddress {
	m.known = m.boundKnown(slices.Concat(m.liveAddresses(), m.known))
	return m.known
}

// liveAddresses returns the addresses of the live members, those of control-only instances
// first.
func (m *Members) liveAddresses() []KnownAddress {
	var control, others []KnownAddress
	for _, v := range m.Live() {
		k := KnownAddress{Address: v.Address, DataCentre: v.DataCentre, Control: v.ControlOnly}
		if v.ControlOnly {
			control = append(control, k)
		} else {
			others = append(others, k)
		}
	}
	return append(control, others...)
}

// boundKnown returns the first of each class of addresses, without the own one and repeated
// ones.
func (m *Members) boundKnown(all []KnownAddress) []KnownAddress {
	live := m.addressesOfLive()
	mayDrop := func(k KnownAddress) bool { return m.knownSearch.over && !live[k.Address] }
	seen := map[string]bool{m.self.Address: true}
	total, lost := make(map[knownClass]int), make(map[knownClass]int)
	out := make([]KnownAddress, 0, len(all))
	for _, k := range all {
		c := k.class()
		if seen[k.Address] || total[c] >= m.maxKnown(c) || mayDrop(k) && lost[c] >= maxKnownLost {
			continue
		}
		seen[k.Address] = true
		total[c]++
		if mayDrop(k) {
			lost[c]++
		}
		out = append(out, k)
	}
	return out
}

func (m *Members) maxKnown(c knownClass) int {
	switch {
	case c.control:
		return maxKnownControl
	case c.dataCentre == m.self.DataCentre:
		return maxKnownOwn
	default:
		return maxKnownOther
	}
}

func (m *Members) addressesOfLive() map[string]bool {
	out := make(map[string]bool, len(m.table.rows))
	for _, e := range m.table.rows {
		if e.status.Live() {
			out[e.Address] = true
		}
	}
	return out
}

// searchKnown pings the known addresses that no live member has, one after the other, for
// some time after the start. After a loss of power everywhere, the settings of all instances
// may name seeds that are gone; then only this connects them.
func (m *Members) searchKnown(now time.Time) {
	s := &m.knownSearch
	if s.began.IsZero() {
		s.began = now
		s.next = now.Add(seedRetry) // a seed may make the search unnecessary
	}
	s.over = s.over || now.Sub(s.began) > knownSearch
	if s.over || m.leaving || now.Before(s.next) {
		return
	}
	if len(s.queue) == 0 && !now.Before(s.nextPass) {
		s.queue, s.nextPass = m.lostKnown(), now.Add(knownPassInterval)
	}
	s.next = now.Add(knownInterval)
	for len(s.queue) > 0 {
		address := s.queue[0]
		s.queue = s.queue[1:]
		if !m.hasLiveAddress(address) {
			m.introduceTo(address)
			return
		}
	}
}

// lostKnown returns the known addresses that no live member has.
func (m *Members) lostKnown() []string {
	live := m.addressesOfLive()
	var out []string
	for _, k := range m.known {
		if !live[k.Address] {
			out = append(out, k.Address)
		}
	}
	return out
}

// introduceTo pings an address at which a member may run that this instance does not know as
// live. Both compare their tables if it answers.
func (m *Members) introduceTo(address string) {
	m.sendTo(address, Message{Kind: KindPing, Updates: []Update{m.self.update()}})
}

// Tried returns the addresses at which this instance looks for others: seeds, former peers
// and known addresses that no live member has.
func (m *Members) Tried() []string {
	var out []string
	for _, a := range slices.Concat(m.lostSeeds(), m.lostKnown()) {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}
