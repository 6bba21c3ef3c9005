package gwcontrol

import (
	"maps"
	"sync"
	"sync/atomic"

	"gentianward.example/gentianward/internal/gwmanifest"
	"gentianward.example/gentianward/pkg/gwsession"
)

// GroupView is the replicated state of one group.
type GroupView struct {
	Group   string             `cbor:"1,keyasint"`
	Primary string             `cbor:"2,keyasint"`
	Term    uint64             `cbor:"3,keyasint"`
	Start   gwsession.Position `cbor:"4,keyasint"`
	// Changing means that a change of primary is running, during which no lease is granted.
	Changing bool `cbor:"5,keyasint"`
	// Index is the index in the replicated log of the group's last change.
	Index uint64 `cbor:"6,keyasint"`
	// Wait is why the change of primary cannot end unless an operator acts; empty if it can.
	Wait string `cbor:"7,keyasint,omitempty"`
}

// Diverged reports whether a server at position p has writes of an earlier term that are
// not part of the group's history.
func (g GroupView) Diverged(p gwsession.Position) bool {
	return p.Term < g.Term && p.Offset > g.Start.Offset
}

// View is the replicated state as one instance knows it; it is immutable.
type View struct {
	// Index is the index in the replicated log up to which the view is complete.
	Index uint64
	// Manifest is the accepted manifest with defaults filled in, or nil if there is none.
	Manifest *gwmanifest.Index
	Number   uint64
	Text     []byte
	Groups   map[string]GroupView
}

// Region returns the region of a data centre, or "" if the manifest does not name it.
func (v *View) Region(dataCentre string) string {
	if v.Manifest == nil {
		return ""
	}
	region, _ := v.Manifest.Region(dataCentre)
	return region
}

// ViewDelta holds the changes of a view between the indexes From and Index.
type ViewDelta struct {
	From   uint64      `cbor:"1,keyasint"`
	Index  uint64      `cbor:"2,keyasint"`
	Number uint64      `cbor:"3,keyasint"`
	Text   []byte      `cbor:"4,keyasint"`
	Groups []GroupView `cbor:"5,keyasint"`
	// Base is the number of the manifest that Text is encoded against and Digest the
	// xxHash of the decoded text; 0 if Text is not encoded. See Views.EncodeSince.
	Base   uint64 `cbor:"6,keyasint,omitempty"`
	Digest uint64 `cbor:"7,keyasint,omitempty"`
}

// Since returns the changes since the given index and manifest number.
func (v *View) Since(index, number uint64) ViewDelta {
	d := ViewDelta{From: index, Index: v.Index, Number: v.Number}
	if v.Number > number {
		d.Text = v.Text
	}
	for _, g := range v.Groups {
		if g.Index > index {
			d.Groups = append(d.Groups, g)
		}
	}
	return d
}

// With returns the view after applying d. The index, the manifest number and the state
// of each group never go back to earlier ones.
func (v *View) With(d ViewDelta, format ManifestFormat) (*View, error) {
	next := *v
	next.Index = max(v.Index, d.Index)
	if d.Number > v.Number && len(d.Text) > 0 {
		m, err := format.parseAccepted("accepted manifest", d.Text)
		if err != nil {
			return nil, &Error{Op: "apply view", Kind: BadManifest, Err: err}
		}
		next.Manifest, next.Number, next.Text = m.Index(), d.Number, d.Text
	}
	if len(d.Groups) > 0 {
		next.Groups = maps.Clone(v.Groups)
		if next.Groups == nil {
			next.Groups = make(map[string]GroupView, len(d.Groups))
		}
		for _, g := range d.Groups {
			if g.Index > next.Groups[g.Group].Index {
				next.Groups[g.Group] = g
			}
		}
	}
	return &next, nil
}

// Views holds the current view of one instance.
type Views struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
	changed chan struct{}
	format  ManifestFormat
	texts   manifestTexts
}

// ManifestFormat defines how the manifests of a deployment are parsed and ordered.
type ManifestFormat struct {
	// Parse parses a manifest; nil selects gwmanifest.ParseManifest.
	Parse func(name string, text []byte) (*gwmanifest.Manifest, error)
	// ParseAccepted parses a manifest that has been accepted, possibly by an earlier release that
	// accepted more than Parse; nil selects Parse.
	ParseAccepted func(name string, text []byte) (*gwmanifest.Manifest, error)
	// AnyLater means that a manifest replaces any other with a lower number, and that a
	// manifest whose number is not greater is acknowledged without effect. Otherwise the
	// number of a manifest must be the successor of the current one.
	AnyLater bool
}

func (f ManifestFormat) parse(name string, text []byte) (*gwmanifest.Manifest, error) {
	if f.Parse == nil {
		return gwmanifest.ParseManifest(name, text)
	}
	return f.Parse(name, text)
}

func (f ManifestFormat) parseAccepted(name string, text []byte) (*gwmanifest.Manifest, error) {
	if f.ParseAccepted == nil {
		return f.parse(name, text)
	}
	return f.ParseAccepted(name, text)
}

// NewViews returns a holder of an empty view, for manifests in the given format.
func NewViews(f ManifestFormat) *Views {
	v := &Views{changed: make(chan struct{}), format: f}
	v.current.Store(&View{})
	return v
}

// Current returns the current view, which is never nil.
func (v *Views) Current() *View { return v.current.Load() }

// Changed returns a channel that is closed at the next change.
func (v *Views) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Apply applies d to the view and reports whether anything changed. A delta that starts
// after the current index is refused with an error of kind Gap, as the changes in between
// would be missing.
func (v *Views) Apply(d ViewDelta) (bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.current.Load()
	if d.From > old.Index {
		return false, &Error{Op: "apply view", Kind: Gap}
	}
	next, err := old.With(d, v.format)
	if err != nil {
		return false, err
	}
	if next.Index == old.Index && next.Number == old.Number {
		return false, nil
	}
	if next.Number != old.Number {
		v.texts.add(next.Number, next.Text)
	}
	v.current.Store(next)
	close(v.changed)
	v.changed = make(chan struct{})
	return true, nil
}
