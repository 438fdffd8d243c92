// Package examples holds the sample template, values and settings.
package examples

import "embed"

// Files are the samples, by mesh.
//
//go:embed lima varna
var Files embed.FS
