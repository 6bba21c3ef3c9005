package gwmanifest

import "slices"

// Index provides look-ups by name in a manifest with its defaults filled in. It is
// immutable and safe for concurrent use.
type Index struct {
	manifest           *Manifest
	classes            map[string]Class
	callers            map[string]Caller
	groupsBySelector   map[string]GroupRef
	groupsByName       map[string]GroupRef
	regionByDataCentre map[string]string
	voters             map[string]Voter
	// customers and keys are nil if callers need no API key.
	customers map[string]Customer
	keys      keyTable
}

// GroupRef is a group together with the name of its database.
type GroupRef struct {
	Group
	Database string
}

// Index returns an index of the manifest with its defaults filled in.
func (m *Manifest) Index() *Index {
	m = m.WithDefaults()
	x := &Index{
		manifest:           m,
		classes:            make(map[string]Class, len(m.Classes)),
		callers:            make(map[string]Caller, len(m.Callers)),
		groupsBySelector:   make(map[string]GroupRef, 2*len(m.Databases)),
		groupsByName:       make(map[string]GroupRef, len(m.Databases)),
		regionByDataCentre: map[string]string{},
		voters:             make(map[string]Voter, len(m.Voters)),
	}
	for _, c := range m.Classes {
		x.classes[c.Name] = c
	}
	for _, c := range m.Callers {
		x.callers[c.Name] = c
	}
	for _, v := range m.Voters {
		x.voters[v.Instance] = v
	}
	for _, r := range m.Regions {
		for _, d := range r.DataCentres {
			x.regionByDataCentre[d] = r.Name
		}
	}
	x.addGroups()
	x.addCustomers()
	return x
}

// addGroups adds the groups by their names and selectors. The name of a database goes before a
// selector "database/group", as names in converted manifests may contain slashes.
func (x *Index) addGroups() {
	for _, d := range x.manifest.Databases {
		for _, g := range d.Groups {
			ref := GroupRef{Group: g, Database: d.Name}
			x.groupsBySelector[d.Name+"/"+g.Name] = ref
			x.groupsByName[g.Name] = ref
		}
	}
	for _, d := range x.manifest.Databases {
		if len(d.Groups) > 0 {
			x.groupsBySelector[d.Name] = GroupRef{Group: d.Groups[0], Database: d.Name}
		}
	}
}

// Manifest returns the manifest with its defaults filled in and without the keys of customers.
func (x *Index) Manifest() *Manifest { return x.manifest }

// Class returns the class with the given name.
func (x *Index) Class(name string) (Class, bool) {
	c, ok := x.classes[name]
	return c, ok
}

// Caller returns the caller with the given name.
func (x *Index) Caller(name string) (Caller, bool) {
	c, ok := x.callers[name]
	return c, ok
}

// Group returns the group that a caller selects with "database", which selects the first group of
// the database, or else with "database/group".
func (x *Index) Group(selector string) (GroupRef, bool) {
	g, ok := x.groupsBySelector[selector]
	return g, ok
}

// GroupByName returns the group with the given name, which is unique in the manifest.
func (x *Index) GroupByName(name string) (GroupRef, bool) {
	g, ok := x.groupsByName[name]
	return g, ok
}

// Region returns the region of a data centre.
func (x *Index) Region(dataCentre string) (string, bool) {
	r, ok := x.regionByDataCentre[dataCentre]
	return r, ok
}

// Voter returns the voter that runs on the given instance.
func (x *Index) Voter(instance string) (Voter, bool) {
	v, ok := x.voters[instance]
	return v, ok
}

// Allows reports whether the caller may use the group, that is, whether c.Databases
// contains the group or its whole database.
func (c Caller) Allows(g GroupRef) bool {
	return slices.ContainsFunc(c.Databases, func(s string) bool {
		return s == g.Database || s == g.Database+"/"+g.Name
	})
}
