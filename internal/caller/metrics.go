package caller

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// maxTenantLabels bounds the tenants that have series of their own. The first ones
	// with a call get them, and the others share those of otherTenants.
	maxTenantLabels = 200
	// otherTenants and noTenant are no names of tenants.
	otherTenants = "*"
	noTenant     = "-"
)

// Results of tenants' calls beside their outcomes.
const (
	resultUnauthorized = "unauthorized"
	resultLimited      = "limited"
)

// Metrics holds the metrics of calls from callers.
type Metrics struct {
	tenantCalls *prometheus.CounterVec
	lock        sync.Mutex
	// tenants holds the tenants that have series of their own.
	tenants     map[string]bool
	calls       *prometheus.CounterVec
	failedTries *prometheus.CounterVec
	claims      *prometheus.CounterVec
	picks       *prometheus.CounterVec
	departed    *prometheus.CounterVec
	limited     prometheus.Counter
	quarantined prometheus.Counter
	duration    prometheus.Histogram
}

// NewMetrics returns new Metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		tenants: map[string]bool{},
		tenantCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_tenant_calls_total",
			Help: "Callers' calls by tenant and by outcome or cause of refusal.",
		}, []string{"tenant", "result"}),
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
		departed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_departed_callers_total",
			Help: "Calls whose callers left before their answer, by where the calls were then.",
		}, []string{"stage"}),
		limited: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflymoor_limited_tries_total",
			Help: "Tries that came back from targets that state a limit, as they would have waited there.",
		}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "fireflymoor_call_seconds",
			Help:    "Time from a call's arrival to the head of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}),
	}
	m.quarantined = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflymoor_quarantined_calls_total",
		Help: "Tries that were not made because targets have ended under the same request.",
	})
	registry.MustRegister(m.quarantined, m.calls, m.tenantCalls, m.failedTries, m.claims, m.picks, m.departed, m.limited, m.duration)
	return m
}

// observe counts a call that ends now and records its duration.
func (m *Metrics) observe(outcome fireflymoor.Outcome, start time.Time) {
	m.calls.WithLabelValues(outcome.String()).Inc()
	m.duration.Observe(time.Since(start).Seconds())
}

// countTenant counts a call of a tenant. It ignores calls without one.
func (m *Metrics) countTenant(tenant, result string) {
	if tenant == "" {
		return
	}
	m.tenantCalls.WithLabelValues(m.tenantLabel(tenant), result).Inc()
}

// tenantLabel returns the label of a tenant's series.
func (m *Metrics) tenantLabel(tenant string) string {
	m.lock.Lock()
	defer m.lock.Unlock()
	switch {
	case m.tenants[tenant]:
		return tenant
	case len(m.tenants) >= maxTenantLabels:
		return otherTenants
	}
	m.tenants[tenant] = true
	return tenant
}
