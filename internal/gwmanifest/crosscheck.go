package gwmanifest

// CheckSettings reports where the settings of an instance contradict the manifest: a data
// centre that does not exist or belongs to another region, or a voter with a different
// address or data centre or without a data folder.
func (x *Index) CheckSettings(s *Settings) error {
	c := &checker{op: "check settings", file: s.file, text: s.text, root: s.root}
	region, ok := x.regionByDataCentre[s.DataCentre]
	switch {
	case !ok:
		c.addInvalid("dataCentre", joinNames(sortedKeys(x.regionByDataCentre)), "data centre %q is not in the manifest", s.DataCentre)
	case region != s.Region:
		c.addInvalid("region", region, "data centre %q is not in region %q", s.DataCentre, s.Region)
	}
	v, ok := x.voters[s.Instance]
	if !ok {
		return c.err()
	}
	if v.Address != s.PeerAddress {
		c.addInvalid("peerAddress", v.Address, "the manifest lists voter %q with another address", s.Instance)
	}
	if v.DataCentre != "" && v.DataCentre != s.DataCentre {
		c.addInvalid("dataCentre", v.DataCentre, "the manifest lists voter %q in another data centre", s.Instance)
	}
	if s.DataFolder == "" {
		c.addMissing("dataFolder", "the path of a folder, because the manifest lists the instance as a voter")
	}
	return c.err()
}
