package promoter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

var states = []fireflymoor.RolloutState{
	fireflymoor.RolloutRunning,
	fireflymoor.RolloutCompleted,
	fireflymoor.RolloutRolledBack,
}

// Metrics holds the metrics of roll-outs.
type Metrics struct {
	share *prometheus.GaugeVec
	state *prometheus.GaugeVec
	calls *prometheus.CounterVec
}

// NewMetrics returns new Metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fireflymoor_rollout_share",
			Help: "Share of a service's calls that go to the version that is rolled out, from 0 to 1.",
		}, []string{"team", "service"}),
		state: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fireflymoor_rollout_state",
			Help: "1 for the state of a service's last roll-out, 0 for the others.",
		}, []string{"team", "service", "state"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflymoor_rollout_calls_total",
			Help: "Calls reported to the leader during roll-outs, by version (old, new) and result.",
		}, []string{"team", "service", "version", "result"}),
	}
	registry.MustRegister(m.share, m.state, m.calls)
	return m
}

func (m *Metrics) setState(team string, rollout fireflymoor.Rollout) {
	m.share.WithLabelValues(team, rollout.Service).Set(rollout.Share)
	for _, state := range states {
		value := 0.0
		if state == rollout.State {
			value = 1
		}
		m.state.WithLabelValues(team, rollout.Service, string(state)).Set(value)
	}
}

func (m *Metrics) count(sample *messenger.EvidenceSample) {
	version := "old"
	if sample.GetToNew() {
		version = "new"
	}
	add := func(result string, count uint64) {
		m.calls.WithLabelValues(sample.GetTeam(), sample.GetService(), version, result).Add(float64(count))
	}
	add("failed", sample.GetFailures())
	add("slow", sample.GetSlow())
	add("good", sample.GetCalls()-min(sample.GetFailures()+sample.GetSlow(), sample.GetCalls()))
}
