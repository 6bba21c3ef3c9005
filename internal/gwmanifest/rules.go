package gwmanifest

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// addInvalid adds a problem for a field with an unacceptable value.
func (c *checker) addInvalid(path, accepted, format string, args ...any) {
	c.addProblem(c.nearestValue(path).StartOffset, KindValue, path, accepted, format, args...)
}

// addMissing adds a problem for an absent or empty field.
func (c *checker) addMissing(path, accepted string) {
	c.addProblem(c.nearestValue(path).StartOffset, KindMissing, path, accepted, "the field is required")
}

// checkNonEmpty checks that a list is not empty; what names one element.
func (c *checker) checkNonEmpty(path string, n int, what string) {
	if n == 0 {
		c.addMissing(path, "at least one "+what)
	}
}

func (c *checker) checkName(path, s string) { c.checkNameFormat(path, s, namePattern, nameFormat) }

// checkNameFormat checks that s matches the pattern and reports whether it does; format
// describes the pattern in the error.
func (c *checker) checkNameFormat(path, s string, pattern *regexp.Regexp, format string) bool {
	if s == "" {
		c.addMissing(path, format)
		return false
	}
	if !pattern.MatchString(s) {
		c.addInvalid(path, format, "%q is not a valid name", s)
		return false
	}
	return true
}

// checkUniqueName checks the format of a name and that it is not in seen yet.
func (c *checker) checkUniqueName(seen map[string]string, path, s string, pattern *regexp.Regexp, format string) {
	if c.checkNameFormat(path, s, pattern, format) {
		c.checkDistinct(seen, path, s)
	}
}

// checkDistinct checks that s is not in seen, which maps values to the paths of the fields
// that have them, and adds it.
func (c *checker) checkDistinct(seen map[string]string, path, s string) {
	if first, ok := seen[s]; ok {
		c.addInvalid(path, "a value that is used once", "%q is already used by %s", s, first)
		return
	}
	seen[s] = path
}

// checkNumber checks that a number, if the file contains it, is between lo and hi.
func (c *checker) checkNumber(path string, n, lo, hi int) {
	if c.isSet(path) && (n < lo || n > hi) {
		c.addInvalid(path, fmt.Sprintf("%d to %d", lo, hi), "the value is %d", n)
	}
}

// checkDurationRange checks that a duration, if set, is between lo and hi.
func (c *checker) checkDurationRange(path string, d Duration, lo, hi time.Duration) {
	if d.IsSet() && (d.Duration < lo || d.Duration > hi) {
		c.addInvalid(path, formatDuration(lo)+" to "+formatDuration(hi), "the value is %q", formatDuration(d.Duration))
	}
}

// formatDuration formats d without trailing zero minutes and seconds.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// checkOneOf checks that a string, if the file contains it, is an accepted one.
func (c *checker) checkOneOf(path, s string, accepted ...string) {
	if c.isSet(path) && !slices.Contains(accepted, s) {
		c.addInvalid(path, strings.Join(accepted, ", "), "the value is %q", s)
	}
}

// maxListedNames is the maximum number of accepted names in an error.
const maxListedNames = 20

// addUnknownName adds a problem for a field that refers to a name that does not exist;
// known are the existing ones.
func (c *checker) addUnknownName(path, s, what string, known []string) {
	if s == "" {
		c.addMissing(path, joinNames(known))
		return
	}
	c.addInvalid(path, joinNames(known), "%s %q does not exist", what, s)
}

// joinNames joins names with commas and shortens long lists.
func joinNames(names []string) string {
	if len(names) > maxListedNames {
		more := fmt.Sprintf("%d more", len(names)-maxListedNames)
		names = append(slices.Clone(names[:maxListedNames]), more)
	}
	return strings.Join(names, ", ")
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func indexPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
