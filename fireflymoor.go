// Package fireflymoor distributes the configuration of a service mesh and
// carries callers' requests to targets that can serve them.
//
// The package holds what the parts of the system share: the interfaces of parts
// whose implementation can vary, and the immutable values that pass between
// parts. The implementations are below pkg/ and internal/.
package fireflymoor

import (
	"context"
	"net/http"
	"time"
)

// A Process is one process of the system. Run returns after ctx has ended and
// all work in progress is finished.
type Process interface {
	Run(ctx context.Context) error
}

// A Reloader reloads its settings from a changed file while it runs. Settings
// that cannot change in a running process take effect at its next start.
type Reloader interface {
	Reload(path string) error
}

// A Renderer renders a team's configuration from its template and values. The
// same inputs always give the same result. Its errors are Faults.
type Renderer interface {
	Render(team string, inputs Inputs) (Rendered, error)
}

// A Parser parses the rendered form of a team's configuration. Its errors are
// Faults.
type Parser interface {
	Parse(team, text string) (Configuration, error)
}

// A Balancer picks the target for a call. It reports false if no candidate can
// take a call.
type Balancer interface {
	Pick(candidates []Candidate, now time.Time) (Pick, bool)
}

// A Forwarder forwards one call to a target and returns its outcome. The
// response is nil unless the outcome is Answered.
type Forwarder interface {
	Forward(ctx context.Context, target Target, request *http.Request) (*http.Response, Outcome, error)
}

// A Viewer provides the current immutable View.
type Viewer interface {
	View() View
}
