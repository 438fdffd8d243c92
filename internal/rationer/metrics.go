package rationer

import (
	"cmp"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxSeries is the number of tenants with metrics of their own, in the order of
	// their names. The others are summed up as otherTenants.
	maxSeries    = 200
	otherTenants = "(others)"
)

// A Collector collects the metrics of a Node.
type Collector struct {
	node     *Node
	calls    *prometheus.Desc
	rate     *prometheus.Desc
	fraction *prometheus.Desc
	share    *prometheus.Desc
}

// NewCollector returns a Collector of the metrics of node.
func NewCollector(node *Node) *Collector {
	return &Collector{
		node: node,
		calls: prometheus.NewDesc("fireflymoor_tenant_limited_calls_total",
			"Calls of tenants with a rate limit that arrived at this node, by what the limit decided.", []string{"tenant", "result"}, nil),
		rate: prometheus.NewDesc("fireflymoor_tenant_limit",
			"Limit of a tenant over all nodes, in calls a second.", []string{"tenant"}, nil),
		fraction: prometheus.NewDesc("fireflymoor_tenant_fraction",
			"Part of a tenant's calls that is admitted, 1 while it is below its limit.", []string{"tenant"}, nil),
		share: prometheus.NewDesc("fireflymoor_tenant_share",
			"Part of a tenant's limit that the calls admitted by this node use.", []string{"tenant"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.calls
	descriptions <- c.rate
	descriptions <- c.fraction
	descriptions <- c.share
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(metrics chan<- prometheus.Metric) {
	usages := c.node.Usages(time.Now())
	slices.SortFunc(usages, func(x, y Usage) int { return cmp.Compare(x.Tenant, y.Tenant) })
	others := Usage{
		Tenant: otherTenants,
	}
	for i := range usages {
		u := usages[i]
		if i >= maxSeries {
			others.Admitted += u.Admitted
			others.Refused += u.Refused
			others.Returned += u.Returned
			continue
		}
		c.collectCalls(metrics, u)
		metrics <- prometheus.MustNewConstMetric(c.rate, prometheus.GaugeValue, u.Rate, u.Tenant)
		metrics <- prometheus.MustNewConstMetric(c.fraction, prometheus.GaugeValue, u.Fraction, u.Tenant)
		metrics <- prometheus.MustNewConstMetric(c.share, prometheus.GaugeValue, u.Share, u.Tenant)
	}
	if len(usages) > maxSeries {
		c.collectCalls(metrics, others)
	}
}

func (c *Collector) collectCalls(metrics chan<- prometheus.Metric, u Usage) {
	for result, count := range map[string]int64{
		"admitted": u.Admitted,
		"refused":  u.Refused,
		"returned": u.Returned,
	} {
		metrics <- prometheus.MustNewConstMetric(c.calls, prometheus.CounterValue, float64(count), u.Tenant, result)
	}
}
