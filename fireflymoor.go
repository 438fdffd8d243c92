// Package fireflymoor distributes the configuration of a service mesh and
// carries callers' requests to targets that can serve them.
//
// The package holds what the parts of the system share: the interfaces of
// what varies and the immutable values that pass between parts. The
// implementations are below pkg/ and internal/.
package fireflymoor

import (
	"context"
	"net/http"
	"time"
)

// A Process is one process of the system. Run returns once ctx has ended and
// all work that was begun is finished.
type Process interface {
	Run(ctx context.Context) error
}

// A Reloader takes the settings in a file that has changed while it runs. What
// cannot change in a running process takes effect at its next start.
type Reloader interface {
	Reload(path string) error
}

// A Renderer makes a team's configuration from its template and values. The
// same inputs always give the same result; errors are Faults.
type Renderer interface {
	Render(team string, inputs Inputs) (Rendered, error)
}

// A Parser reads the rendered form of a team's configuration. Errors are
// Faults.
type Parser interface {
	Parse(team, text string) (Configuration, error)
}

// A Balancer picks the target for a call. It reports false when no candidate
// can take one.
type Balancer interface {
	Pick(candidates []Candidate, now time.Time) (Pick, bool)
}

// A Forwarder carries one call to a target and says how it ended. The
// response is nil unless the outcome is Answered.
type Forwarder interface {
	Forward(ctx context.Context, target Target, request *http.Request) (*http.Response, Outcome, error)
}

// A Viewer hands out the current immutable View.
type Viewer interface {
	View() View
}
