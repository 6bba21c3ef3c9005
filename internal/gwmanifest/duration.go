package gwmanifest

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

const durationFormat = `a number with a unit (ns, us, ms, s, m, h), such as "200ms"`

// Duration is a time span that the file contains as a string such as "200ms". It records
// whether it was set, which distinguishes "0s" from an omitted field.
type Duration struct {
	time.Duration
	set bool
}

// NewDuration returns a Duration that counts as set.
func NewDuration(d time.Duration) Duration { return Duration{Duration: d, set: true} }

// IsSet reports whether the file contains the field.
func (d Duration) IsSet() bool { return d.set }

// Or returns d if it is set and otherwise def.
func (d Duration) Or(def time.Duration) Duration {
	if d.set {
		return d
	}
	return NewDuration(def)
}

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(formatDuration(d.Duration)) }

// UnmarshalJSON decodes a string such as "200ms".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Newf("a duration is %s", durationFormat)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Newf("%q is not a duration", s)
	}
	*d = NewDuration(v)
	return nil
}
