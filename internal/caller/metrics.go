package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor"
)

// Metrics counts callers' calls.
type Metrics struct {
	ended    *prometheus.CounterVec
	failed   *prometheus.CounterVec
	claims   *prometheus.CounterVec
	duration prometheus.Histogram
}

// NewMetrics returns new Metrics in registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_calls_total",
			Help: "Callers' calls, by outcome.",
		}, []string{"outcome"}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_failed_tries_total",
			Help: "Tries that got no answer, by outcome.",
		}, []string{"outcome"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_claims_total",
			Help: "Calls with an idempotency key, by what their keepers said.",
		}, []string{"result"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "fireflymoor_call_seconds",
			Help:    "Time from a call's arrival to the head of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}),
	}
	registry.MustRegister(m.ended, m.failed, m.claims, m.duration)
	return m
}

func (m *Metrics) observe(outcome fireflymoor.Outcome, began time.Time) {
	m.ended.WithLabelValues(outcome.String()).Inc()
	m.duration.Observe(time.Since(began).Seconds())
}
