package gwcontrol

import "slices"

// VoterInstances returns the names of the instances whose voters or learners the replicated
// log names.
func (c *Consensus) VoterInstances() []string {
	st := c.Status()
	var out []string
	for _, id := range slices.Concat(st.Voters, st.Learners) {
		if name := voterName(id); !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
