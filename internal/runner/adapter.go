package runner

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/operator"
	"github.com/fireflymoor/fireflymoor/internal/target"
)

// An Adapter implements the HTTP protocol of the platform that a process runs
// on. It replaces the system's default protocol.
type Adapter interface {
	// KillDelay returns the time from SIGTERM to SIGKILL that the platform has stated in
	// the settings of a process, or 0 if it has not.
	KillDelay(settings loader.Settings) time.Duration
	// Dialect returns the encoding of call metadata in HTTP headers.
	Dialect() fireflymoor.Dialect
	// Ready returns the handler of readiness checks. unreadyReason returns why
	// the process should get no work, or "" if it is ready.
	Ready(unreadyReason func() string) http.Handler
	// Announcements returns the handler of target announcements.
	Announcements(targets *target.Registry) http.Handler
	// Operators returns the handler of operator requests.
	Operators(service *operator.Service) http.Handler
}

// An Option configures a process when it is created.
type Option func(*member)

// WithAdapter makes a process use the adapter that build returns.
func WithAdapter(build func(settings loader.Settings, log zerolog.Logger) Adapter) Option {
	return func(m *member) {
		m.adapter = build(m.settings, m.log)
	}
}

// dialect returns the adapter's dialect, or the default one without an adapter.
func (m *member) dialect() fireflymoor.Dialect {
	if m.adapter == nil {
		return annotator.NewDialect()
	}
	return m.adapter.Dialect()
}
