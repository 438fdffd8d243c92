// Package asserter checks invariants inside the running program.
package asserter

import (
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// An Asserter checks invariants of the system.
type Asserter interface {
	// Check reports a violation of the named invariant unless ok is true.
	Check(ok bool, invariant, detail string)
}

// Option changes how an Asserter reacts.
type Option func(*asserter)

// WithCountOnly keeps the process running after a violation. The violation is
// still logged and counted.
func WithCountOnly() Option {
	return func(a *asserter) { a.exit = func(int) {} }
}

// WithExit replaces os.Exit as the function that ends the process after a
// violation.
func WithExit(exit func(int)) Option {
	return func(a *asserter) { a.exit = exit }
}

// exitStatusViolation is the exit status of the process after a violation.
const exitStatusViolation = 70

type asserter struct {
	log        zerolog.Logger
	violations *prometheus.CounterVec
	exit       func(int)
}

// New returns a new Asserter. After a violation it logs and counts it and ends
// the process, unless the options say otherwise.
func New(log zerolog.Logger, registry prometheus.Registerer, options ...Option) Asserter {
	a := &asserter{
		log: log,
		violations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_invariant_violations_total",
			Help: "Violations of invariants, by invariant.",
		}, []string{"invariant"}),
		exit: os.Exit,
	}
	registry.MustRegister(a.violations)
	for _, option := range options {
		option(a)
	}
	return a
}

// Check implements Asserter.
func (a *asserter) Check(ok bool, invariant, detail string) {
	if ok {
		return
	}
	a.violations.WithLabelValues(invariant).Inc()
	a.log.Error().Str("invariant", invariant).Str("detail", detail).Msg("invariant: violated")
	a.exit(exitStatusViolation)
}
