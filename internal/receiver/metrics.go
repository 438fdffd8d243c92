package receiver

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// The buckets of the ages of calls begin at minAgeSeconds and double.
	minAgeSeconds = 0.05
	ageBuckets    = 9
)

// Metrics holds the metrics of calls from other nodes.
type Metrics struct {
	age prometheus.Histogram
}

// NewMetrics returns new Metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		age: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "fireflymoor_call_age_seconds",
			Help:    "Time that calls of other nodes were on their way beyond the usual, a lower bound.",
			Buckets: prometheus.ExponentialBuckets(minAgeSeconds, 2, ageBuckets),
		}),
	}
	registry.MustRegister(m.age)
	return m
}

// observeAge records how old a call was when it was received.
func (m *Metrics) observeAge(age time.Duration) {
	if m != nil {
		m.age.Observe(age.Seconds())
	}
}
