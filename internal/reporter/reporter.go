// Package reporter decides what the nodes of an availability zone tell of the
// version they hold: each node tells the zone's reporters, and these tell the
// control replicas one sum for the whole zone.
package reporter

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// repeat is how often an unchanged report is sent again.
	repeat = 15 * time.Second
	// zoneRepeat is how often an unchanged sum is sent again.
	zoneRepeat = 5 * time.Second
	// patience is how long a version may be on its way before a sum names
	// those that lack it, so that a change that goes well costs one sum.
	patience = time.Second
	// namedLaggards bounds the nodes that a sum names.
	namedLaggards = 16
)

// A Reporter holds what one node says and, in a zone's reporter, what it has
// heard. Its methods are called from one goroutine.
type Reporter struct {
	zone string
	name string

	number   uint64
	numberAt time.Time

	told   *messenger.HeldReport
	toldTo []string
	toldAt time.Time
	heard  map[string]heard
	sum    *messenger.ZoneReport
	sumAt  time.Time
}

// heard is the last report of a node.
type heard struct {
	report *messenger.HeldReport
	at     time.Time
}

// New returns a new Reporter for the node called name.
func New(zone, name string) *Reporter {
	return &Reporter{
		zone:  zone,
		name:  name,
		heard: map[string]heard{},
	}
}

// Tell returns the reporters to send the node's report to, or none if it is
// not due.
func (r *Reporter) Tell(report *messenger.HeldReport, reporters []*messenger.Fact, now time.Time) []*messenger.Fact {
	names := make([]string, 0, len(reporters))
	for _, f := range reporters {
		names = append(names, f.GetName())
	}
	same := r.told != nil &&
		r.told.GetHeld() == report.GetHeld() &&
		r.told.GetRefusal() == report.GetRefusal() &&
		slices.Equal(names, r.toldTo)
	if same && now.Sub(r.toldAt) < repeat {
		return nil
	}
	r.told = report
	r.toldTo = names
	r.toldAt = now
	return reporters
}

// Hear takes a node's report. It may come before the node is known to live: it
// counts as soon as it is.
func (r *Reporter) Hear(report *messenger.HeldReport, now time.Time) {
	r.heard[report.GetName()] = heard{
		report: report,
		at:     now,
	}
}

// Sum returns the sum over the zone's live nodes, or nil if it is not due.
func (r *Reporter) Sum(number uint64, nodes []*messenger.Fact, now time.Time) *messenger.ZoneReport {
	sum := r.add(number, nodes)
	r.forget(nodes, now)
	if number != r.number {
		r.number = number
		r.numberAt = now
	}
	if sum.GetHolding() < sum.GetNodes() && now.Sub(r.numberAt) < patience {
		return nil
	}
	same := r.sum != nil &&
		r.sum.GetNumber() == sum.GetNumber() &&
		r.sum.GetNodes() == sum.GetNodes() &&
		r.sum.GetHolding() == sum.GetHolding()
	if same && now.Sub(r.sumAt) < zoneRepeat {
		return nil
	}
	r.sum = sum
	r.sumAt = now
	return sum
}

func (r *Reporter) add(number uint64, nodes []*messenger.Fact) *messenger.ZoneReport {
	sum := &messenger.ZoneReport{
		Zone:     r.zone,
		Reporter: r.name,
		Number:   number,
		Nodes:    uint32(len(nodes)),
	}
	for _, f := range nodes {
		report := r.heard[f.GetName()].report
		if report == nil || report.GetBoot() != f.GetBoot() {
			report = &messenger.HeldReport{
				Name: f.GetName(),
				Boot: f.GetBoot(),
			}
		}
		if report.GetHeld() >= number {
			sum.Holding++
			continue
		}
		sum.Lagging = append(sum.Lagging, report)
	}
	slices.SortFunc(sum.Lagging, func(a, b *messenger.HeldReport) int {
		return cmp.Compare(a.GetName(), b.GetName())
	})
	sum.Lagging = sum.GetLagging()[:min(len(sum.GetLagging()), namedLaggards)]
	return sum
}

// forget drops the reports of nodes that are not there and have not reported
// for two repeats.
func (r *Reporter) forget(nodes []*messenger.Fact, now time.Time) {
	if len(r.heard) <= len(nodes) {
		return
	}
	there := map[string]bool{}
	for _, f := range nodes {
		there[f.GetName()] = true
	}
	for name, h := range r.heard {
		if !there[name] && now.Sub(h.at) > 2*repeat {
			delete(r.heard, name)
		}
	}
}
