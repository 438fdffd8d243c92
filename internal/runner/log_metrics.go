package runner

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor/internal/replicator"
)

// logMetrics are the metrics of the members of the replicated log.
type logMetrics struct {
	members, size, unresponsive prometheus.Gauge

	// noted are the members and the size that were logged last.
	noted     []string
	notedSize int
}

func newLogMetrics(registry prometheus.Registerer) *logMetrics {
	m := &logMetrics{
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "fireflymoor_log_members",
			Help: "Members of the replicated log, a quorum of which must store each change.",
		}),
		size: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "fireflymoor_log_size",
			Help: "Members of the replicated log while none is being replaced. 0 if members are not replaced.",
		}),
		unresponsive: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "fireflymoor_log_unresponsive_members",
			Help: "Members of the replicated log that do not reply to this replica. 0 if it does not lead.",
		}),
	}
	registry.MustRegister(m.members, m.size, m.unresponsive)
	return m
}

// update takes over the status of the log. It reports whether the members or the size have
// changed since the last time.
func (m *logMetrics) update(status replicator.Status) bool {
	var names []string
	for _, member := range status.Members {
		names = append(names, member.GetName())
	}
	slices.Sort(names)
	m.members.Set(float64(len(names)))
	m.size.Set(float64(status.Size))
	m.unresponsive.Set(float64(len(status.Unresponsive)))
	changed := status.Size != m.notedSize || !slices.Equal(names, m.noted)
	m.noted, m.notedSize = names, status.Size
	return changed
}

// refreshLog refreshes the replication peers and the metrics of the log.
func (c *control) refreshLog() {
	c.refreshPeers()
	status := c.controller.Status()
	if c.logMetrics.update(status) {
		c.log.Info().Strs("members", c.logMetrics.noted).Int("size", status.Size).
			Strs("unresponsive", status.Unresponsive).Msg("control: members changed")
	}
}
