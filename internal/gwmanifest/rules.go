package gwmanifest

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// value adds a problem with the value of a field.
func (c *checker) value(path, accepted, format string, args ...any) {
	c.at(c.find(path).StartOffset, KindValue, path, accepted, format, args...)
}

// missing adds a problem with an absent or empty field.
func (c *checker) missing(path, accepted string) {
	c.at(c.find(path).StartOffset, KindMissing, path, accepted, "the field is required")
}

func (c *checker) nonEmpty(path string, n int, what string) {
	if n == 0 {
		c.missing(path, "at least one "+what)
	}
}

func (c *checker) name(path, s string) { c.form(path, s, namePattern, nameForm) }

func (c *checker) form(path, s string, pattern *regexp.Regexp, form string) bool {
	if s == "" {
		c.missing(path, form)
		return false
	}
	if !pattern.MatchString(s) {
		c.value(path, form, "%q is not a valid name", s)
		return false
	}
	return true
}

// unique checks the form of a name and that it has not been seen.
func (c *checker) unique(seen map[string]string, path, s string, pattern *regexp.Regexp, form string) {
	if c.form(path, s, pattern, form) {
		c.distinct(seen, path, s)
	}
}

// distinct remembers where a value was seen and refuses its repetition.
func (c *checker) distinct(seen map[string]string, path, s string) {
	if first, ok := seen[s]; ok {
		c.value(path, "a value that is used once", "%q is already used by %s", s, first)
		return
	}
	seen[s] = path
}

func (c *checker) number(path string, n, lo, hi int) {
	if c.given(path) && (n < lo || n > hi) {
		c.value(path, fmt.Sprintf("%d to %d", lo, hi), "the value is %d", n)
	}
}

func (c *checker) span(path string, d Duration, lo, hi time.Duration) {
	if d.IsSet() && (d.Duration < lo || d.Duration > hi) {
		c.value(path, short(lo)+" to "+short(hi), "the value is %q", short(d.Duration))
	}
}

// short formats a duration without zero minutes and seconds.
func short(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func (c *checker) oneOf(path, s string, accepted ...string) {
	if c.given(path) && !slices.Contains(accepted, s) {
		c.value(path, strings.Join(accepted, ", "), "the value is %q", s)
	}
}

// maxListed bounds the names that an error lists as accepted.
const maxListed = 20

// reference adds a problem with a name that does not exist.
func (c *checker) reference(path, s, what string, known []string) {
	if s == "" {
		c.missing(path, list(known))
		return
	}
	c.value(path, list(known), "%s %q does not exist", what, s)
}

// list joins names, shortening a long list.
func list(names []string) string {
	if len(names) > maxListed {
		more := fmt.Sprintf("%d more", len(names)-maxListed)
		names = append(slices.Clone(names[:maxListed]), more)
	}
	return strings.Join(names, ", ")
}

func keys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
