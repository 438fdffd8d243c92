package runner

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/operator"
	"github.com/fireflymoor/fireflymoor/internal/target"
)

// An Adapter speaks the words of the platform that a process runs on, in
// place of the system's own.
type Adapter interface {
	// Dialect returns how callers and targets write what they say.
	Dialect() fireflymoor.Dialect
	// Ready returns the handler of questions of readiness. Unready says why
	// the process should get no work, or nothing.
	Ready(unready func() string) http.Handler
	// Announcements returns the handler of what targets say of themselves.
	Announcements(targets *target.Registry) http.Handler
	// Operators returns the handler of what operators ask.
	Operators(service *operator.Service) http.Handler
}

// An Option changes how a process is put together.
type Option func(*member)

// WithAdapter has a process speak through the adapter that build returns.
func WithAdapter(build func(settings loader.Settings, log zerolog.Logger) Adapter) Option {
	return func(m *member) {
		m.adapter = build(m.settings, m.log)
	}
}

// dialect returns the adapter's dialect, or the system's own.
func (m *member) dialect() fireflymoor.Dialect {
	if m.adapter == nil {
		return labeler.NewDialect()
	}
	return m.adapter.Dialect()
}
