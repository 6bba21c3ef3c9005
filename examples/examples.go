// Package gwexamples holds the example manifests and settings of the two
// deployments, which the demo and the tests run.
package gwexamples

import "embed"

// Files holds one folder for each deployment, with manifest.jsonc and the
// settings of each instance.
//
//go:embed ecodour/*.jsonc hanbit/*.jsonc
var Files embed.FS
