// Package gwtelemetry provides the logs and metrics of one instance.
//
// Logs are JSON lines with the attribute "instance". Each instance has its own set of
// metrics, so that those of several instances in one process do not mix. Metrics are
// served in the Prometheus text format, with durations in seconds. Label values are
// escaped, and their number is bounded: further values are counted under "other".
package gwtelemetry
