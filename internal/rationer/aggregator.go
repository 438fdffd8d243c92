package rationer

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// servingTimeout is the time without reports after which a node that is not the
	// first candidate is no aggregator any more.
	servingTimeout = 3 * time.Second
	// While tenants are limited, nodes that have had no list for pushInterval get one,
	// in zones with shards after largePushInterval. All nodes get one when a fraction
	// has fallen below pushRatio of the one pushed before.
	pushInterval      = 400 * time.Millisecond
	largePushInterval = 2 * time.Second
	pushRatio         = 0.7
	// logSettleTime is how long a tenant must be below its limit to be logged so.
	logSettleTime = 2 * time.Second
	// A node that is not the first candidate decides after maxFailures reports in a row
	// could not be forwarded, for decideTime.
	maxFailures = 3
	decideTime  = 2 * time.Second
	// maxForwards bounds the reports that wait to be forwarded.
	maxForwards = 256
)

// An Aggregator collects the counts of the nodes that report to this one, and decides
// what fraction of each tenant's calls they admit. Its methods may be called from any
// goroutine.
type Aggregator struct {
	boot uint64

	lock     sync.Mutex
	members  *Members
	limits   map[uint64]limit
	shards   map[int]*shard
	nodes    map[string]*reportingNode
	number   uint64
	lastTick time.Time
	// firstSince is when this node became the first candidate of its zone, or zero. It
	// is not maintained in zones with shards.
	firstSince time.Time
}

// shard is the state of one shard that the aggregator serves or has served.
type shard struct {
	ledgers map[uint64]*ledger
	peers   map[string]*peer
	// since is when reports began to reach this node, and lastReport the time of the last
	// report.
	since, lastReport time.Time
	// heard is when nodes last got a list of grants.
	heard map[string]time.Time
	// forwards are reports for the first candidate, which their senders did not reach.
	// failures counts those in a row that it did not receive. Until decideUntil this
	// node decides in its place.
	forwards    []*messenger.TenantReport
	failures    int
	decideUntil time.Time
}

// reportingNode holds the last counts of a node.
type reportingNode struct {
	boot uint64
	// sentAt is when the last report was sent, by the node's clock: messages may be held
	// back for long. recent is set if the one before was sent shortly before it.
	sentAt  time.Time
	recent  bool
	numbers map[uint32]uint64
	counts  map[uint64]counts
}

// counts are calls since a node's start.
type counts struct {
	admitted, refused int64
}

// A Push is a list of grants to be sent to a node.
type Push struct {
	To      Member
	Content *messenger.TenantGrants
}

// A Change is a tenant that has gone over its limit or has come back.
type Change struct {
	// Tenant is the tenant's name.
	Tenant string
	// Over is set if the tenant has gone over its limit.
	Over bool
	// Rate is the limit, and Offered what the zone's callers send, in calls a second.
	Rate, Offered float64
	// Fraction is the part of the calls that is admitted.
	Fraction float64
}

// Work is what an aggregator has to do after a tick.
type Work struct {
	// Exchanges are requests to other zones. Exchanged or Unanswered must be called
	// for each.
	Exchanges []Exchange
	// Forwards are reports of nodes that did not reach the first candidate. Forwarded
	// must be called for each.
	Forwards []Report
	// Pushes are lists for nodes. Losing one does no harm.
	Pushes []Push
	// Changes are to be logged.
	Changes []Change
}

// NewAggregator returns an Aggregator without limits.
func NewAggregator(members *Members, boot uint64) *Aggregator {
	return &Aggregator{
		boot:    boot,
		members: members,
		limits:  map[uint64]limit{},
		shards:  map[int]*shard{},
		nodes:   map[string]*reportingNode{},
	}
}

// Configure replaces the limits. Levels of tenants that remain are kept.
func (a *Aggregator) Configure(tenants []fireflymoor.Tenant) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.limits = map[uint64]limit{}
	for _, l := range limitsOf(tenants) {
		if _, taken := a.limits[l.id]; !taken {
			a.limits[l.id] = l
		}
	}
	for _, s := range a.shards {
		for id, l := range s.ledgers {
			limit, ok := a.limits[id]
			if !ok {
				delete(s.ledgers, id)
				continue
			}
			l.limit = limit
		}
	}
}

// SetMembers replaces the view of the nodes.
func (a *Aggregator) SetMembers(members *Members) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if members.shards != a.members.shards {
		a.shards = map[int]*shard{}
	}
	a.members = members
	for name := range a.nodes {
		if _, ok := members.byName[name]; !ok {
			delete(a.nodes, name)
		}
	}
}

// serve returns the state of a shard for which a report has arrived. It begins anew
// if the node was not the aggregator meanwhile.
func (a *Aggregator) serve(number int, now time.Time) *shard {
	s := a.shards[number]
	if s == nil || now.Sub(s.lastReport) > servingTimeout && !a.members.isFirst(number) {
		s = &shard{
			ledgers: map[uint64]*ledger{},
			peers:   map[string]*peer{},
			since:   now,
			heard:   map[string]time.Time{},
		}
		if !a.firstSince.IsZero() {
			s.since = a.firstSince // had there been calls, they would have been reported
		}
		a.shards[number] = s
	}
	s.lastReport = now
	return s
}

// young reports whether the calls before a shard was served may still count.
func (s *shard) young(now time.Time) bool {
	return now.Sub(s.since) < youngAge
}

// ledger returns the ledger of a tenant, or nil if it has no limit.
func (a *Aggregator) ledger(s *shard, number int, id uint64, now time.Time) *ledger {
	l := s.ledgers[id]
	if l != nil {
		return l
	}
	limit, ok := a.limits[id]
	if !ok {
		return nil
	}
	l = newLedger(limit, number, s.young(now), now)
	s.ledgers[id] = l
	return l
}

// Receive counts the calls of a report and returns the list of grants. A report that
// was received before is not counted again.
func (a *Aggregator) Receive(report *messenger.TenantReport, now time.Time) *messenger.TenantGrants {
	a.lock.Lock()
	defer a.lock.Unlock()
	number := int(report.GetShard())
	if number >= a.members.shards {
		return &messenger.TenantGrants{
			Shard: report.GetShard(),
			Young: true,
		}
	}
	s := a.serve(number, now)
	c := a.contact(s, now)
	zoneShare := a.members.share(a.members.self.Zone)
	n := a.accept(report)
	behind := false
	for i, id := range report.GetTenants() {
		if n == nil || !complete(report, i) {
			break
		}
		admitted, refused := n.count(report, i)
		l := a.ledger(s, number, id, now)
		if l == nil {
			behind = true
			continue
		}
		l.advance(c, now)
		l.count(admitted, refused, zoneShare, now)
		l.decide(c, now)
	}
	switch {
	case report.GetForwarded():
	case a.members.isFirst(number):
		s.heard[report.GetNode()] = now
	case len(s.forwards) < maxForwards && now.Add(decideTime/2).After(s.decideUntil):
		forward := proto.CloneOf(report)
		forward.Forwarded = true
		s.forwards = append(s.forwards, forward)
	}
	grants := a.grants(s, number, c, now)
	// A node that holds a newer configuration may have limits that are unknown here.
	grants.Young = grants.GetYoung() || behind
	return grants
}

// complete reports whether all lists of a report have an element at i.
func complete(report *messenger.TenantReport, i int) bool {
	return i < min(len(report.GetAdmitted()), len(report.GetRefused()), len(report.GetNewAdmitted()), len(report.GetNewRefused()))
}

// accept returns the counts of the node that has sent a report, or nil if the report is
// not newer than the last one.
func (a *Aggregator) accept(report *messenger.TenantReport) *reportingNode {
	n := a.nodes[report.GetNode()]
	if n == nil || n.boot < report.GetBoot() {
		n = &reportingNode{
			boot:    report.GetBoot(),
			numbers: map[uint32]uint64{},
			counts:  map[uint64]counts{},
		}
		a.nodes[report.GetNode()] = n
	}
	if n.boot > report.GetBoot() || report.GetNumber() <= n.numbers[report.GetShard()] {
		return nil
	}
	sentAt := time.UnixMilli(report.GetUnixMilliseconds())
	n.recent = sentAt.Sub(n.sentAt) < baselineTimeout
	n.sentAt = sentAt
	n.numbers[report.GetShard()] = report.GetNumber()
	return n
}

// count returns the calls of a report's element that were not counted yet: those since the
// last report. If that is long ago, the node may have reported to another aggregator
// meanwhile, and only the calls count that none has acknowledged.
func (n *reportingNode) count(report *messenger.TenantReport, i int) (admitted, refused int64) {
	id := report.GetTenants()[i]
	reported := counts{
		admitted: report.GetAdmitted()[i],
		refused:  report.GetRefused()[i],
	}
	admitted, refused = report.GetNewAdmitted()[i], report.GetNewRefused()[i]
	if known, ok := n.counts[id]; ok {
		admitted, refused = reported.admitted-known.admitted, reported.refused-known.refused
		if !n.recent {
			admitted = min(admitted, report.GetNewAdmitted()[i])
			refused = min(refused, report.GetNewRefused()[i])
		}
	}
	n.counts[id] = reported
	return admitted, refused
}

// grants returns the list of the limited tenants of a shard.
func (a *Aggregator) grants(s *shard, number int, c contact, now time.Time) *messenger.TenantGrants {
	a.number++
	validity := feedbackTimeout
	if a.members.shards > 1 {
		validity = largeGrantValidity
	}
	grants := &messenger.TenantGrants{
		Aggregator:        a.members.self.Name,
		Boot:              a.boot,
		Number:            a.number,
		Shard:             uint32(number),
		Young:             s.young(now) || !a.decides(s, number, now),
		ValidMilliseconds: uint32(validity.Milliseconds()),
	}
	if !a.decides(s, number, now) {
		return grants
	}
	for id, l := range s.ledgers {
		if !l.listed(now) {
			continue
		}
		l.decide(c, now)
		if l.fraction < 1 || l.listed(now) && !grants.GetYoung() {
			grants.Tenants = append(grants.Tenants, id)
			grants.Fractions = append(grants.Fractions, uint32(l.fraction*fractionUnits))
		}
	}
	return grants
}

// Tick returns what is to be done now.
func (a *Aggregator) Tick(now time.Time) Work {
	a.lock.Lock()
	defer a.lock.Unlock()
	if now.Sub(a.lastTick) > suspensionGap {
		a.shards = map[int]*shard{}
		a.firstSince = time.Time{}
	}
	a.lastTick = now
	switch {
	case a.members.shards > 1 || !a.members.isFirst(0):
		a.firstSince = time.Time{}
	case a.firstSince.IsZero():
		a.firstSince = now
	}
	work := Work{}
	for number, s := range a.shards {
		if now.Sub(s.lastReport) > servingTimeout {
			continue
		}
		if !a.members.isFirst(number) {
			work.Forwards = append(work.Forwards, a.forwards(s, number)...)
		}
		if !a.decides(s, number, now) {
			continue
		}
		c := a.contact(s, now)
		fallen := false
		for _, l := range s.ledgers {
			if l.listed(now) || l.over {
				l.decide(c, now)
			}
			if l.fraction < pushRatio*l.pushed {
				fallen = true
			}
			work.Changes = l.appendChange(work.Changes, now)
		}
		work.Pushes = append(work.Pushes, a.pushes(s, number, c, fallen, now)...)
		work.Exchanges = append(work.Exchanges, a.exchanges(s, number, now)...)
	}
	return work
}

// forwards returns the reports to be forwarded.
func (a *Aggregator) forwards(s *shard, number int) []Report {
	var reports []Report
	for _, report := range s.forwards {
		reports = append(reports, Report{
			To:      a.members.order(a.members.self.Zone, number)[0],
			Content: report,
		})
	}
	s.forwards = nil
	return reports
}

// Forwarded records whether the first candidate has received a forwarded report.
func (a *Aggregator) Forwarded(report Report, received bool, now time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	s := a.shards[int(report.Content.GetShard())]
	switch {
	case s == nil:
	case received:
		s.failures = 0
		s.decideUntil = time.Time{}
	default:
		s.failures++
		if s.failures < maxFailures {
			return
		}
		s.failures = 0
		if !now.Before(s.decideUntil) {
			s.since = now
		}
		s.decideUntil = now.Add(decideTime)
	}
}

// decides reports whether this node decides for a shard, rather than the first candidate.
func (a *Aggregator) decides(s *shard, number int, now time.Time) bool {
	return a.members.isFirst(number) || now.Before(s.decideUntil)
}

// appendChange appends the change of a tenant that has gone over its limit or has been
// below it for some time.
func (l *ledger) appendChange(changes []Change, now time.Time) []Change {
	over := l.over
	switch {
	case l.fraction < 1:
		over = true
	case now.Sub(l.limitedAt) > logSettleTime:
		over = false
	}
	if over == l.over {
		return changes
	}
	l.over = over
	_, offered := l.rates(now)
	return append(changes, Change{
		Tenant:   l.limit.name,
		Over:     over,
		Rate:     l.limit.rate,
		Offered:  offered,
		Fraction: l.fraction,
	})
}

// pushes returns the lists for the nodes of the zone that need one: all if a fraction
// has fallen, and otherwise those that have had none for some time.
func (a *Aggregator) pushes(s *shard, number int, c contact, fallen bool, now time.Time) []Push {
	if !slices.ContainsFunc(values(s.ledgers), func(l *ledger) bool { return l.listed(now) }) || s.young(now) && !fallen {
		for _, l := range s.ledgers {
			l.pushed = 1
		}
		return nil
	}
	interval := pushInterval
	if a.members.shards > 1 {
		interval = largePushInterval
	}
	var pushes []Push
	var grants *messenger.TenantGrants
	zone := a.members.byZone[a.members.self.Zone]
	for i := range zone {
		if !zone[i].Alive || !fallen && now.Sub(s.heard[zone[i].Name]) < interval {
			continue
		}
		if grants == nil {
			grants = a.grants(s, number, c, now)
		}
		s.heard[zone[i].Name] = now
		pushes = append(pushes, Push{
			To:      zone[i],
			Content: grants,
		})
	}
	if fallen {
		for _, l := range s.ledgers {
			l.pushed = l.fraction
		}
	}
	return pushes
}

func values(ledgers map[uint64]*ledger) []*ledger {
	list := make([]*ledger, 0, len(ledgers))
	for _, l := range ledgers {
		list = append(list, l)
	}
	return list
}
