package gwmanifest

import (
	"errors"
	"fmt"
)

// CheckSettings reports where the settings of an instance contradict the
// manifest: a data centre that does not exist or belongs to another region, or
// a voter with another address or without a data folder.
func (x *Index) CheckSettings(s *Settings) error {
	var errs []error
	add := func(field, accepted, format string, args ...any) {
		errs = append(errs, &Error{
			Op: "check settings", Kind: KindValue, File: s.file, Line: 1, Column: 1,
			Field: field, Accepted: accepted, Message: fmt.Sprintf(format, args...),
		})
	}
	region, ok := x.regions[s.DataCentre]
	switch {
	case !ok:
		add("dataCentre", list(keys(x.regions)), "data centre %q is not in the manifest", s.DataCentre)
	case region != s.Region:
		add("region", region, "data centre %q is not in region %q", s.DataCentre, s.Region)
	}
	v, ok := x.voters[s.Instance]
	if !ok {
		return errors.Join(errs...)
	}
	if v.Address != s.PeerAddress {
		add("peerAddress", v.Address, "the manifest lists voter %q with another address", s.Instance)
	}
	if v.DataCentre != "" && v.DataCentre != s.DataCentre {
		add("dataCentre", v.DataCentre, "the manifest lists voter %q in another data centre", s.Instance)
	}
	if s.DataFolder == "" {
		add("dataFolder", "the path of a folder", "the manifest lists %q as a voter", s.Instance)
	}
	return errors.Join(errs...)
}
