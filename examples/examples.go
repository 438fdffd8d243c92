// Package examples embeds sample templates, values and settings.
package examples

import "embed"

// Files holds the samples, in one folder for each mesh.
//
//go:embed lima varna
var Files embed.FS
