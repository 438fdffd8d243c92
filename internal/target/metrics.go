package target

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// The buckets of the time in the queue begin at minQueueSeconds and double.
	minQueueSeconds = 0.001
	queueBuckets    = 12
)

// Metrics holds the metrics of calls at the targets of an instance.
type Metrics struct {
	queued   prometheus.Histogram
	sentBack *prometheus.CounterVec
	departed *prometheus.CounterVec
	sent     *prometheus.CounterVec
	refused  prometheus.Counter
}

// NewMetrics returns new Metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		queued: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "fireflymoor_queue_seconds",
			Help:    "Time that calls waited for a slot of a target of this instance.",
			Buckets: prometheus.ExponentialBuckets(minQueueSeconds, 2, queueBuckets),
		}),
		sentBack: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_sent_back_total",
			Help: "Calls that a full target's node sent back, by whether it named another target.",
		}, []string{"neighbor"}),
		departed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_departed_calls_total",
			Help: "Calls to targets of this instance whose connection ended before their answer, by where the calls were then.",
		}, []string{"stage"}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_target_calls_total",
			Help: "Calls sent to targets of this instance, by whether the target stated a limit then.",
		}, []string{"limited"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflymoor_limit_refusals_total",
			Help: "Calls to targets of this instance that were refused, as they would have waited, while the target stated a limit.",
		}),
	}
	registry.MustRegister(m.queued, m.sentBack, m.departed, m.sent, m.refused)
	return m
}

// Stages of a call at the target's node at which the end of its connection is noticed.
const (
	// stageQueue is the wait for a slot, stageSlot when the call got one, and
	// stageTarget while the target works on it.
	stageQueue  = "queue"
	stageSlot   = "slot"
	stageTarget = "target"
)

// observeDeparture counts a call whose connection has ended.
func (m *Metrics) observeDeparture(stage string) {
	if m != nil {
		m.departed.WithLabelValues(stage).Inc()
	}
}

// observeWait records how long a call waited for its slot.
func (m *Metrics) observeWait(wait time.Duration) {
	if m != nil {
		m.queued.Observe(wait.Seconds())
	}
}

// observeLimitRefusal counts a call that was refused while its target stated a limit.
func (m *Metrics) observeLimitRefusal() {
	if m != nil {
		m.refused.Inc()
	}
}

// observeRefusal counts a call that was sent back.
func (m *Metrics) observeRefusal(named bool) {
	if m == nil {
		return
	}
	neighbor := "none"
	if named {
		neighbor = "named"
	}
	m.sentBack.WithLabelValues(neighbor).Inc()
}
