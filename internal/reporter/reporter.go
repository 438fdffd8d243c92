// Package reporter decides when and what the nodes of an availability zone report
// about the versions that they hold. Each node reports to the zone's reporters,
// which send the control replicas one summary for the whole zone.
package reporter

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// resendInterval is the time after which an unchanged report is sent again.
	resendInterval = 15 * time.Second
	// zoneResendInterval is the time after which an unchanged summary is sent
	// again.
	zoneResendInterval = 5 * time.Second
	// laggardGrace is the time that a new version has to reach all nodes before a
	// summary lists laggards, so that a normal change costs one summary.
	laggardGrace = time.Second
	// maxLaggards bounds the laggards listed in a summary.
	maxLaggards = 16
)

// A Reporter holds the last report that a node sent and, in a zone's reporter,
// the reports that it received. It is not safe for concurrent use.
type Reporter struct {
	zone string
	name string

	// number is the version of the last call of DueSummary, and numberSince the
	// time of the first call with this version.
	number      uint64
	numberSince time.Time

	lastReport    *messenger.HeldReport
	lastReceivers []string
	lastReportAt  time.Time
	received      map[string]receivedReport
	lastSummary   *messenger.ZoneReport
	lastSummaryAt time.Time
}

// receivedReport is the last report received from a node.
type receivedReport struct {
	report *messenger.HeldReport
	at     time.Time
}

// New returns a Reporter for the node with the given zone and name.
func New(zone, name string) *Reporter {
	return &Reporter{
		zone:     zone,
		name:     name,
		received: map[string]receivedReport{},
	}
}

// DueReceivers returns the reporters to which the node's report must be sent, or
// none if it is not due. A report is due if its held version, its refusal or the
// reporters have changed, or if it was last sent at least resendInterval ago.
func (r *Reporter) DueReceivers(report *messenger.HeldReport, reporters []*messenger.Fact, now time.Time) []*messenger.Fact {
	names := make([]string, 0, len(reporters))
	for _, f := range reporters {
		names = append(names, f.GetName())
	}
	unchanged := r.lastReport != nil &&
		r.lastReport.GetHeld() == report.GetHeld() &&
		r.lastReport.GetRefusal() == report.GetRefusal() &&
		slices.Equal(names, r.lastReceivers)
	if unchanged && now.Sub(r.lastReportAt) < resendInterval {
		return nil
	}
	r.lastReport = report
	r.lastReceivers = names
	r.lastReportAt = now
	return reporters
}

// Receive records a node's report. A report that arrives before the node is
// known to be alive counts once it is.
func (r *Reporter) Receive(report *messenger.HeldReport, now time.Time) {
	r.received[report.GetName()] = receivedReport{
		report: report,
		at:     now,
	}
}

// DueSummary returns the summary of how many of the zone's live nodes hold the
// version number, or nil if it is not due. A summary is due if its version or one
// of its counts has changed, or if it was last sent at least zoneResendInterval
// ago. One with laggards is not due before laggardGrace has passed.
func (r *Reporter) DueSummary(number uint64, nodes []*messenger.Fact, now time.Time) *messenger.ZoneReport {
	summary := r.aggregate(number, nodes)
	r.expire(nodes, now)
	if number != r.number {
		r.number = number
		r.numberSince = now
	}
	if summary.GetHolding() < summary.GetNodes() && now.Sub(r.numberSince) < laggardGrace {
		return nil
	}
	unchanged := r.lastSummary != nil &&
		r.lastSummary.GetNumber() == summary.GetNumber() &&
		r.lastSummary.GetNodes() == summary.GetNodes() &&
		r.lastSummary.GetHolding() == summary.GetHolding()
	if unchanged && now.Sub(r.lastSummaryAt) < zoneResendInterval {
		return nil
	}
	r.lastSummary = summary
	r.lastSummaryAt = now
	return summary
}

// aggregate counts the nodes that hold the version number or a newer one, and
// lists the first maxLaggards of the others, sorted by name. A report from
// another incarnation of a node does not count.
func (r *Reporter) aggregate(number uint64, nodes []*messenger.Fact) *messenger.ZoneReport {
	summary := &messenger.ZoneReport{
		Zone:     r.zone,
		Reporter: r.name,
		Number:   number,
		Nodes:    uint32(len(nodes)),
	}
	for _, f := range nodes {
		report := r.received[f.GetName()].report
		if report == nil || report.GetBoot() != f.GetBoot() {
			report = &messenger.HeldReport{
				Name: f.GetName(),
				Boot: f.GetBoot(),
			}
		}
		if report.GetHeld() >= number {
			summary.Holding++
			continue
		}
		summary.Lagging = append(summary.Lagging, report)
	}
	slices.SortFunc(summary.Lagging, func(a, b *messenger.HeldReport) int {
		return cmp.Compare(a.GetName(), b.GetName())
	})
	summary.Lagging = summary.GetLagging()[:min(len(summary.GetLagging()), maxLaggards)]
	return summary
}

// expire removes the reports of nodes that are not among the live ones and have
// not reported for two resend intervals.
func (r *Reporter) expire(nodes []*messenger.Fact, now time.Time) {
	if len(r.received) <= len(nodes) {
		return
	}
	live := map[string]bool{}
	for _, f := range nodes {
		live[f.GetName()] = true
	}
	for name, last := range r.received {
		if !live[name] && now.Sub(last.at) > 2*resendInterval {
			delete(r.received, name)
		}
	}
}
