package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor"
)

// Metrics holds the metrics of calls from callers.
type Metrics struct {
	calls       *prometheus.CounterVec
	failedTries *prometheus.CounterVec
	claims      *prometheus.CounterVec
	picks       *prometheus.CounterVec
	duration    prometheus.Histogram
}

// NewMetrics returns new Metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_calls_total",
			Help: "Callers' calls, by outcome.",
		}, []string{"outcome"}),
		failedTries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_failed_tries_total",
			Help: "Tries that got no answer, by outcome.",
		}, []string{"outcome"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_claims_total",
			Help: "Calls with an idempotency key, by what their keepers said.",
		}, []string{"result"}),
		picks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_picks_total",
			Help: "Choices of a target, by reason.",
		}, []string{"reason"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "fireflymoor_call_seconds",
			Help:    "Time from a call's arrival to the head of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}),
	}
	registry.MustRegister(m.calls, m.failedTries, m.claims, m.picks, m.duration)
	return m
}

// observe counts a call that ends now and records its duration.
func (m *Metrics) observe(outcome fireflymoor.Outcome, start time.Time) {
	m.calls.WithLabelValues(outcome.String()).Inc()
	m.duration.Observe(time.Since(start).Seconds())
}
