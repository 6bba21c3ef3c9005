package gwcontrol

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"gentianward.example/gentianward/internal/gwpeer"
)

// ServerFacts holds the rarely changing part of what a backend server announces about
// itself.
type ServerFacts struct {
	Server      string `cbor:"1,keyasint" json:"server"`
	Group       string `cbor:"2,keyasint" json:"group"`
	DataCentre  string `cbor:"3,keyasint" json:"dataCentre"`
	Address     string `cbor:"4,keyasint" json:"address"`
	Slots       int    `cbor:"5,keyasint" json:"slots"`
	Connections int    `cbor:"6,keyasint" json:"connections"`
	Leaving     bool   `cbor:"7,keyasint" json:"leaving,omitempty"`
	// Version orders the facts of one server. It is raised with each change, by the owner
	// (see Directory.Announce) or by the server itself (see Directory.Record).
	Version uint64 `cbor:"8,keyasint" json:"-"`
	// Gone means that the server has ended or that another server has taken its address.
	Gone bool `cbor:"12,keyasint,omitempty" json:"gone,omitempty"`
	// Born identifies a run of the server and is greater for a later run; 0 if it is not
	// announced.
	Born uint64 `cbor:"13,keyasint,omitempty" json:"born,omitempty"`
}

// Bounds of ServerFacts.
const (
	MaxNameBytes   = 128
	MaxSlots       = 1 << 16
	MaxConnections = 1 << 16
)

// Check returns an error for the first field that no usable backend server can have. What
// fails it is not recorded, as other instances could not read, use or replace it.
func (f ServerFacts) Check() error {
	for _, s := range []struct {
		field, value string
		required     bool
	}{{"server", f.Server, true}, {"group", f.Group, true}, {"dataCentre", f.DataCentre, false}} {
		if err := checkName(s.value, s.required); err != nil {
			return &Error{Op: "check server", Kind: BadServer, Detail: s.field, Err: err}
		}
	}
	if err := checkAddress(f.Address); err != nil {
		return &Error{Op: "check server", Kind: BadServer, Detail: "address", Err: err}
	}
	if f.Slots < 0 || f.Slots > MaxSlots || f.Connections < 0 || f.Connections > MaxConnections {
		return &Error{Op: "check server", Kind: BadServer, Err: errors.Newf("slots (%d) and connections (%d) must be between 0 and %d", f.Slots, f.Connections, MaxSlots)}
	}
	return nil
}

// checkName checks a name that other instances decode and operators read in log lines.
func checkName(s string, required bool) error {
	switch {
	case len(s) > MaxNameBytes || required && s == "":
		return errors.Newf("a name of %d bytes; 1 to %d are allowed", len(s), MaxNameBytes)
	case !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl):
		return errors.Newf("the name %q has bytes that are not printable", s)
	}
	return nil
}

func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Newf("%.64q is not of the form host:port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Newf("%.64q has no port from 1 to 65535", address)
	}
	if err := checkName(host, true); err != nil {
		return err
	}
	if ip, err := netip.ParseAddr(host); err == nil && (ip.IsUnspecified() || ip.IsMulticast()) {
		return errors.Newf("%q is not the address of one machine", host)
	}
	return nil
}

// Usable returns the facts that pass Check, and calls skipped for each of the others.
func Usable(facts []ServerFacts, skipped func(ServerFacts, error)) []ServerFacts {
	out := make([]ServerFacts, 0, len(facts))
	for _, f := range facts {
		if err := f.Check(); err != nil {
			skipped(f, err)
			continue
		}
		out = append(out, f)
	}
	return out
}

// factList is a list of facts of which each can be decoded without the others. One that
// cannot be decoded becomes zero and fails Check.
type factList []ServerFacts

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *factList) UnmarshalCBOR(b []byte) error {
	facts, err := gwpeer.UnmarshalEach[ServerFacts](b)
	*l = facts
	return err
}

// Announcement is the body of a backend server's announcement.
type Announcement struct {
	ServerFacts
	Role   string `cbor:"9,keyasint" json:"role"`
	Term   uint64 `cbor:"10,keyasint" json:"term"`
	Offset uint64 `cbor:"11,keyasint" json:"offset"`
}

// sameFacts reports whether a and b are equal apart from the version.
func sameFacts(a, b ServerFacts) bool {
	a.Version, b.Version = 0, 0
	return a == b
}

// hash returns a hash of the facts, including the version.
func (f ServerFacts) hash() uint64 {
	d := xxhash.New()
	for _, s := range []string{f.Server, f.Group, f.DataCentre, f.Address} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	var b [32]byte
	binary.LittleEndian.PutUint64(b[:], f.Version)
	binary.LittleEndian.PutUint64(b[8:], uint64(f.Slots)<<32|uint64(uint32(f.Connections)))
	if f.Leaving {
		b[16] = 1
	}
	if f.Gone {
		b[16] |= 2
	}
	binary.LittleEndian.PutUint64(b[24:], f.Born)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// newer reports whether a replaces b, which are facts of the same server. Equal
// versions with different content come from two instances that both considered themselves
// the owner of the server; comparing hashes makes every instance keep the same facts.
func newer(a, b ServerFacts) bool {
	if c := cmp.Compare(a.Version, b.Version); c != 0 {
		return c > 0
	}
	return a.hash() > b.hash()
}

// directorySnapshot is an immutable state of the directory.
type directorySnapshot struct {
	// facts holds what is exchanged with other instances; it depends only on what was recorded.
	facts map[string]ServerFacts
	// servers and groups hold what the facts amount to: a server whose address a later started
	// one has taken is Gone, also if only another instance knew that.
	servers map[string]ServerFacts
	groups  map[string][]ServerFacts
	// byAddress holds the names of the servers at an address.
	byAddress map[string][]string
	digest    uint64
	// buckets holds a digest of each part of the facts, see factBuckets.
	buckets [factBuckets]uint32
}

// inDataCentre returns the names of the servers of a data centre that are not Gone.
func (s *directorySnapshot) inDataCentre(dataCentre string) []string {
	var out []string
	for _, f := range s.servers {
		if f.DataCentre == dataCentre && !f.Gone {
			out = append(out, f.Server)
		}
	}
	return out
}

// Directory holds the facts of all backend servers that have announced themselves to
// any instance.
//
// Reads load a snapshot without a lock, as changes are rare.
type Directory struct {
	mu      sync.Mutex
	current atomic.Pointer[directorySnapshot]
	changed chan struct{}
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{changed: make(chan struct{})}
	d.current.Store(&directorySnapshot{})
	return d
}

// Server returns the facts of the named server.
func (d *Directory) Server(name string) (ServerFacts, bool) {
	f, ok := d.current.Load().servers[name]
	return f, ok
}

// Group returns the servers of a group, ordered by name; the caller must not change the slice.
func (d *Directory) Group(name string) []ServerFacts { return d.current.Load().groups[name] }

// All returns the facts of all servers in no particular order, as they are exchanged with other
// instances.
func (d *Directory) All() []ServerFacts {
	return slices.Collect(maps.Values(d.current.Load().facts))
}

// Digest returns a hash of the content, for comparison with another instance's directory.
func (d *Directory) Digest() uint64 { return d.current.Load().digest }

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Announce records facts that a server announced to its owner and raises the version
// if they have changed. It returns the recorded facts and whether they have changed.
func (d *Directory) Announce(f ServerFacts) (ServerFacts, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.current.Load().facts[f.Server]
	if ok && sameFacts(old, f) {
		return old, false
	}
	f.Version = old.Version + 1
	d.store([]ServerFacts{f})
	return f, true
}

// Record records facts whose version the server itself has set, so that announcements
// may arrive at any instance and in any order, and returns the facts that have changed.
// A server whose address a later started one has taken is marked as Gone.
func (d *Directory) Record(f ServerFacts) []ServerFacts {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.current.Load()
	servers := current.facts
	var changed []ServerFacts
	for _, name := range current.byAddress[f.Address] {
		o := servers[name]
		if o.Server == f.Server || o.Gone {
			continue
		}
		if o.Born > f.Born {
			f.Gone = true
			continue
		}
		o.Gone = true
		o.Version++
		changed = append(changed, o)
	}
	old, known := servers[f.Server]
	if !known || f.Version > old.Version && !sameFacts(old, f) && f.Born >= old.Born {
		changed = append(changed, f)
	}
	return d.store(changed)
}

// Merge records facts from another instance and returns those that replaced older ones
// or were unknown.
func (d *Directory) Merge(facts []ServerFacts) []ServerFacts {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := d.current.Load().facts
	var fresh []ServerFacts
	for _, f := range facts {
		if old, ok := servers[f.Server]; !ok || newer(f, old) {
			fresh = append(fresh, f)
		}
	}
	return d.store(fresh)
}

// store adds facts and returns those of them that are kept.
func (d *Directory) store(facts []ServerFacts) []ServerFacts {
	if len(facts) == 0 {
		return nil
	}
	old := d.current.Load()
	next := old.clone()
	addresses, groups := make(map[string]bool), make(map[string]bool)
	for _, f := range facts {
		if before, known := next.facts[f.Server]; known {
			next.remove(before)
			addresses[before.Address], groups[before.Group] = true, true
		}
		next.add(f)
		addresses[f.Address] = true
	}
	for address := range addresses {
		next.dropReplaced(address, groups)
		next.derive(address, groups)
	}
	kept := slices.DeleteFunc(facts, func(f ServerFacts) bool { return next.facts[f.Server] != f })
	if len(kept) == 0 && len(next.facts) == len(old.facts) {
		return nil
	}
	next.deriveGroups(groups)
	d.current.Store(next)
	close(d.changed)
	d.changed = make(chan struct{})
	return kept
}

// clone returns a copy to change. Its slices are replaced, never modified.
func (s *directorySnapshot) clone() *directorySnapshot {
	next := *s
	next.facts, next.servers = cloneOf(s.facts), cloneOf(s.servers)
	next.groups, next.byAddress = cloneOf(s.groups), cloneOf(s.byAddress)
	return &next
}

func cloneOf[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func (s *directorySnapshot) add(f ServerFacts) {
	s.facts[f.Server] = f
	s.toggle(f)
	s.byAddress[f.Address] = append(slices.Clone(s.byAddress[f.Address]), f.Server)
}

func (s *directorySnapshot) remove(f ServerFacts) {
	delete(s.facts, f.Server)
	delete(s.servers, f.Server)
	s.toggle(f)
	names := slices.DeleteFunc(slices.Clone(s.byAddress[f.Address]), func(name string) bool { return name == f.Server })
	s.byAddress[f.Address] = names
	if len(names) == 0 {
		delete(s.byAddress, f.Address)
	}
}

// toggle adds facts to the digests or takes them out.
func (s *directorySnapshot) toggle(f ServerFacts) {
	h := f.hash()
	s.digest ^= h
	s.buckets[bucketOf(f.Server)] ^= uint32(h)
}

// runsPerAddress is the number of runs at one address whose facts are kept: the latest, and the one
// before it, without which a server that another one replaced would be used again if that one moved
// to another address and a peer that was away told of it.
const runsPerAddress = 2

// dropReplaced drops the facts of servers that others have replaced at an address, and adds their
// groups to those that change. What a peer or a saved file tells of one later is dropped again, so
// that it is used no more. Without this, the directory grew with the number of servers that there
// ever were.
func (s *directorySnapshot) dropReplaced(address string, groups map[string]bool) {
	names := s.byAddress[address]
	if len(names) <= runsPerAddress {
		return
	}
	runs := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return s.facts[name].Born == 0 })
	slices.SortFunc(runs, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.facts[b].Born, s.facts[a].Born), cmp.Compare(a, b))
	})
	for _, name := range runs[min(len(runs), runsPerAddress):] {
		groups[s.facts[name].Group] = true
		s.remove(s.facts[name])
	}
}

// derive sets what the facts of the servers at an address amount to, and adds their groups to those
// that change.
func (s *directorySnapshot) derive(address string, groups map[string]bool) {
	var latest uint64 // start
	for _, name := range s.byAddress[address] {
		latest = max(latest, s.facts[name].Born)
	}
	for _, name := range s.byAddress[address] {
		f := s.facts[name]
		f.Gone = f.Gone || f.Born != 0 && f.Born < latest
		s.servers[name] = f
		groups[f.Group] = true
	}
}

// deriveGroups sets the servers of the groups that change.
func (s *directorySnapshot) deriveGroups(groups map[string]bool) {
	for name := range groups {
		delete(s.groups, name)
	}
	for _, f := range s.servers {
		if groups[f.Group] {
			s.groups[f.Group] = append(s.groups[f.Group], f)
		}
	}
	for name := range groups {
		slices.SortFunc(s.groups[name], func(a, b ServerFacts) int { return cmp.Compare(a.Server, b.Server) })
	}
}
