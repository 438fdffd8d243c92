package rationer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// fractionUnits is the number of units of a fraction in messages.
const fractionUnits = 10000

// A Node admits the calls that arrive at one node, and reports them to the
// aggregator of its zone. Its methods may be called from any goroutine.
type Node struct {
	boot   uint64
	random *rand.Rand

	lock     sync.Mutex
	members  *Members
	byName   map[string]*meter
	byID     map[uint64]*meter
	channels map[int]*channel
	avoided  map[string]time.Time
	lastTick time.Time
	// startedAt is the time of the first tick with limits.
	startedAt time.Time
}

// channel is the state of the reports for one shard.
type channel struct {
	meters map[uint64]*meter
	number uint64
	// due is the time of the next report. sending is set while one is in flight.
	due     time.Time
	sending bool
	// unanswered is when the first report since the last reply was sent, or zero.
	unanswered time.Time
	// blindBefore is the number of the first report whose reply ends the
	// suspicion that grants are outdated.
	blindBefore uint64
	// lastBoot and lastNumber identify the last list of grants.
	lastBoot, lastNumber uint64
}

// A Report is a report to be sent to an aggregator.
type Report struct {
	To      Member
	Content *messenger.TenantReport
}

// NewNode returns a new Node without limits. boot is the node's boot number, by
// which aggregators recognize a restart.
func NewNode(members *Members, boot uint64, random *rand.Rand) *Node {
	return &Node{
		boot:     boot,
		random:   random,
		members:  members,
		byName:   map[string]*meter{},
		byID:     map[uint64]*meter{},
		channels: map[int]*channel{},
		avoided:  map[string]time.Time{},
	}
}

// Configure replaces the limits. Counts and grants of tenants that remain are kept.
func (n *Node) Configure(tenants []fireflymoor.Tenant, now time.Time) {
	n.lock.Lock()
	defer n.lock.Unlock()
	byName := map[string]*meter{}
	byID := map[uint64]*meter{}
	for _, l := range limitsOf(tenants) {
		if other := byID[l.id]; other != nil {
			byName[l.name] = other // two names with one id are limited together
			continue
		}
		m := n.byName[l.name]
		if m == nil {
			m = &meter{
				tokens:   1,
				filledAt: now,
				mode:     blind,
				credit:   n.random.Float64(),
				fraction: 1,
				phase:    n.random.Float64(),
			}
		}
		m.limit = l
		byName[l.name] = m
		byID[l.id] = m
	}
	n.byName = byName
	n.byID = byID
	n.assignShards(now)
}

// SetMembers replaces the view of the nodes.
func (n *Node) SetMembers(members *Members, now time.Time) {
	n.lock.Lock()
	defer n.lock.Unlock()
	reshard := members.shards != n.members.shards
	n.members = members
	if reshard {
		n.assignShards(now)
	}
}

// assignShards distributes the meters over channels.
func (n *Node) assignShards(now time.Time) {
	for _, c := range n.channels {
		c.meters = map[uint64]*meter{}
	}
	for id, m := range n.byID {
		m.shard = n.members.shardOf(id)
		c := n.channels[m.shard]
		if c == nil {
			c = &channel{
				meters: map[uint64]*meter{},
				due:    now.Add(time.Duration(n.random.Int64N(int64(reportInterval)))),
			}
			n.channels[m.shard] = c
		}
		c.meters[id] = m
	}
	for shard, c := range n.channels {
		if len(c.meters) == 0 {
			delete(n.channels, shard)
		}
	}
}

// Admit decides on a call that has arrived now. If it is not admitted, retryAfter is
// the estimated time until a call of the tenant will be. Tenants without a limit are
// always admitted.
func (n *Node) Admit(tenant string, now time.Time) (admitted bool, retryAfter time.Duration) {
	n.lock.Lock()
	defer n.lock.Unlock()
	m := n.byName[tenant]
	if m == nil {
		return true, 0
	}
	return m.admit(n.mode(m, now), n.even(m), now)
}

// Return gives back a call that was admitted and has not run.
func (n *Node) Return(tenant string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if m := n.byName[tenant]; m != nil {
		m.admitted--
		m.returned++
		m.tokens++
	}
}

// mode returns what the admission of a tenant's calls relies on.
func (n *Node) mode(m *meter, now time.Time) mode {
	c := n.channels[m.shard]
	switch {
	case now.Sub(n.lastTick) > suspensionGap, now.Sub(n.startedAt) < youngAge, c.blindBefore > 0,
		!c.unanswered.IsZero() && now.Sub(c.unanswered) > feedbackTimeout:
		return blind
	case m.fraction < 1 && now.Before(m.validUntil):
		return limited
	}
	return open
}

// Tick returns the reports that are due. Acknowledge or Fail must be called for each.
func (n *Node) Tick(now time.Time) []Report {
	n.lock.Lock()
	defer n.lock.Unlock()
	if len(n.byID) == 0 {
		n.lastTick = time.Time{}
		n.startedAt = time.Time{}
		return nil
	}
	switch {
	case n.startedAt.IsZero():
		n.startedAt = now
	case now.Sub(n.lastTick) > suspensionGap:
		n.forgetGrants()
	}
	n.lastTick = now
	var reports []Report
	for shard, c := range n.channels {
		if c.sending || now.Before(c.due) {
			continue
		}
		report := n.report(shard, c, now)
		if report == nil {
			continue
		}
		c.due = now.Add(reportInterval)
		c.sending = true
		if c.unanswered.IsZero() {
			c.unanswered = now
		}
		reports = append(reports, Report{
			To:      n.aggregator(shard, now),
			Content: report,
		})
	}
	return reports
}

// forgetGrants drops all grants after a suspension. The node uses its even share until
// a later report is answered.
func (n *Node) forgetGrants() {
	for _, c := range n.channels {
		c.blindBefore = c.number + 1
		for _, m := range c.meters {
			m.fraction = 1
		}
	}
}

// aggregator returns the first candidate that is not avoided, or the first one.
func (n *Node) aggregator(shard int, now time.Time) Member {
	ordered := n.members.order(n.members.self.Zone, shard)
	for i := range ordered {
		if !now.Before(n.avoided[ordered[i].Name]) {
			return ordered[i]
		}
	}
	return ordered[0]
}

// report returns a report of the calls that are not acknowledged yet, or nil if there
// are too few.
func (n *Node) report(shard int, c *channel, now time.Time) *messenger.TenantReport {
	report := &messenger.TenantReport{
		Node:   n.members.self.Name,
		Boot:   n.boot,
		Number: c.number + 1,
		Shard:  uint32(shard),

		UnixMilliseconds: now.UnixMilli(),
	}
	for id, m := range c.meters {
		admitted, refused := m.reported(n.step(m, now))
		if admitted == m.ackedAdmitted && refused == m.ackedRefused {
			continue
		}
		report.Tenants = append(report.Tenants, id)
		report.Admitted = append(report.Admitted, admitted)
		report.Refused = append(report.Refused, refused)
		report.NewAdmitted = append(report.NewAdmitted, admitted-m.ackedAdmitted)
		report.NewRefused = append(report.NewRefused, refused-m.ackedRefused)
	}
	if len(report.Tenants) == 0 && c.blindBefore == 0 {
		return nil
	}
	c.number++
	return report
}

// Acknowledge records that an aggregator has received a report and replied.
func (n *Node) Acknowledge(report *messenger.TenantReport, grants *messenger.TenantGrants, now time.Time) {
	n.lock.Lock()
	defer n.lock.Unlock()
	c := n.channels[int(report.GetShard())]
	if c == nil {
		return
	}
	c.sending = false
	c.unanswered = time.Time{}
	if report.GetNumber() >= c.blindBefore {
		c.blindBefore = 0
	}
	for i, id := range report.GetTenants() {
		m := n.byID[id]
		if m == nil {
			continue
		}
		m.ackedAdmitted = report.GetAdmitted()[i]
		m.ackedRefused = report.GetRefused()[i]
	}
	n.apply(c, grants, now)
	for _, id := range report.GetTenants() {
		if m := n.byID[id]; m != nil && n.mode(m, now) == open {
			m.refill(n.even(m), now)
		}
	}
}

// even returns the node's even share of a rate, in calls a second.
func (n *Node) even(m *meter) float64 {
	return m.limit.rate / float64(n.members.Len())
}

// step returns the number of calls in which a tenant's calls are reported.
func (n *Node) step(m *meter, now time.Time) int64 {
	if n.members.shards == 1 {
		return 1
	}
	if m.fraction < 1 && now.Before(m.validUntil) {
		return max(1, int64(m.limit.rate/limitedDivisor))
	}
	return max(1, int64(m.limit.rate/stepDivisor))
}

// Fail records that a report was not answered. The next one goes to another candidate.
func (n *Node) Fail(report Report, now time.Time) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.avoided[report.To.Name] = now.Add(avoidance)
	for name, until := range n.avoided {
		if now.After(until) {
			delete(n.avoided, name)
		}
	}
	if c := n.channels[int(report.Content.GetShard())]; c != nil {
		c.sending = false
		c.due = now
	}
}

// Receive applies a list of grants that an aggregator pushed.
func (n *Node) Receive(grants *messenger.TenantGrants, now time.Time) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if c := n.channels[int(grants.GetShard())]; c != nil {
		n.apply(c, grants, now)
	}
}

// apply replaces the grants of a shard, unless the list is older than the last one.
func (n *Node) apply(c *channel, grants *messenger.TenantGrants, now time.Time) {
	if grants.GetBoot() == c.lastBoot && grants.GetNumber() <= c.lastNumber || c.blindBefore > 0 {
		return
	}
	c.lastBoot = grants.GetBoot()
	c.lastNumber = grants.GetNumber()
	until := now.Add(time.Duration(grants.GetValidMilliseconds()) * time.Millisecond)
	listed := map[uint64]bool{}
	for i, id := range grants.GetTenants() {
		m := c.meters[id]
		if m == nil || i >= len(grants.GetFractions()) {
			continue
		}
		listed[id] = true
		m.fraction = float64(grants.GetFractions()[i]) / fractionUnits
		m.validUntil = until
	}
	for id, m := range c.meters {
		switch {
		case listed[id] || m.fraction == 1:
		case !grants.GetYoung():
			m.fraction = 1
		case now.Before(m.validUntil):
			m.validUntil = until
		}
	}
}

// Usage is a tenant's use of its limit at this node.
type Usage struct {
	// Tenant is the tenant's name.
	Tenant string
	// Rate is the limit in calls a second over all nodes.
	Rate float64
	// Admitted and Refused are the calls since the node's start, and Returned those of
	// the admitted ones that did not run.
	Admitted, Refused, Returned int64
	// Fraction is the part of the tenant's calls that is admitted.
	Fraction float64
	// Share is the part of the limit that this node's admitted calls use.
	Share float64
}

// Usages returns the use of all limits at this node.
func (n *Node) Usages(now time.Time) []Usage {
	n.lock.Lock()
	defer n.lock.Unlock()
	usages := make([]Usage, 0, len(n.byName))
	for name, m := range n.byName {
		fraction := 1.0
		if now.Before(m.validUntil) {
			fraction = m.fraction
		}
		usages = append(usages, Usage{
			Tenant:   name,
			Rate:     m.limit.rate,
			Admitted: m.admitted + m.returned,
			Refused:  m.refused,
			Returned: m.returned,
			Fraction: fraction,
			Share:    m.offered.get(now, offeredPeriod) * fraction / m.limit.rate,
		})
	}
	return usages
}
