package gwtelemetry

import "strings"

// Label is a name and a value that distinguish the series of one metric.
type Label struct{ Name, Value string }

// Bounds of labels.
const (
	maxLabelValueBytes = 128
	maxLabelValues     = 1024 // of one label of one metric
)

var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// escapeValue shortens a label value to the bound and escapes it for the text format.
func escapeValue(value string) string {
	if len(value) > maxLabelValueBytes {
		value = value[:maxLabelValueBytes]
	}
	return escaper.Replace(strings.ToValidUTF8(value, "\uFFFD"))
}

// metricName returns the name of a series: that of the metric with its labels.
func metricName(name string, labels ...Label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	sep := byte('{')
	for _, l := range labels {
		b.WriteByte(sep)
		b.WriteString(l.Name)
		b.WriteString(`="`)
		b.WriteString(escapeValue(l.Value))
		b.WriteByte('"')
		sep = ','
	}
	b.WriteByte('}')
	return b.String()
}

// boundLabel returns value, or "other" if it is new and the label already has
// maxLabelValues values. m.mu must be held.
func (m *Metrics) boundLabel(metric, label, value string) string {
	key := metric + "\x00" + label
	seen := m.labelValues[key]
	if seen == nil {
		seen = map[string]struct{}{}
		m.labelValues[key] = seen
	}
	if _, ok := seen[value]; ok {
		return value
	}
	if len(seen) >= maxLabelValues {
		return otherLabel
	}
	seen[value] = struct{}{}
	return value
}
