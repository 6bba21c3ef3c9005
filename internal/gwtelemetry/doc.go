// Package gwtelemetry provides the logs and metrics of one instance.
//
// Logs are JSON lines with the attribute "instance". Metrics are kept in one
// set per instance, so that several instances in one process do not mix, and
// are served in the Prometheus text format. Durations are in seconds. Label
// values are escaped and their number is bounded: values beyond the bound are
// counted under "other".
package gwtelemetry
