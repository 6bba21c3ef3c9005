// Package gwexamples holds the example manifests and settings of two deployments, which
// the demo, the load generator and the tests run.
package gwexamples

import "embed"

// Files holds one folder per deployment, with manifest.jsonc and one settings file per
// instance.
//
//go:embed ecodour/*.jsonc hanbit/*.jsonc
var Files embed.FS
