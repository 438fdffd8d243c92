package rationer

import (
	"math"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// nearInterval is the time between two exchanges with a zone while a tenant is near
	// its limit, and contactInterval otherwise. In zones with shards the latter is
	// largeContactInterval. When a tenant gets near its limit, the next exchange comes
	// after urgentInterval.
	nearInterval         = 250 * time.Millisecond
	contactInterval      = 500 * time.Millisecond
	largeContactInterval = time.Second
	urgentInterval       = 100 * time.Millisecond
	// contactTimeout is the time without contact after which a zone is taken to be cut
	// off.
	contactTimeout = time.Second
	// rateUnit is the unit of rates in messages, in calls a second.
	rateUnit = 0.1
)

// peer is the state of the contact with another zone.
type peer struct {
	// contactAt is the time of the last contact, and failingSince that of the first
	// request after it, or zero.
	contactAt, failingSince time.Time
	sentAt                  time.Time
	sending                 bool
	// redirect is the node to ask according to the last one asked, or empty.
	redirect string
	avoided  map[string]time.Time
	// last identifies the last sums of each aggregator of the zone.
	last map[string]sumsKey
}

// sumsKey orders the sums of one aggregator.
type sumsKey struct {
	boot, number uint64
}

// An Exchange is a request to the aggregator of another zone.
type Exchange struct {
	To      Member
	Content *messenger.TenantSums
}

func (s *shard) peer(zone string) *peer {
	p := s.peers[zone]
	if p == nil {
		p = &peer{
			avoided: map[string]time.Time{},
			last:    map[string]sumsKey{},
		}
		s.peers[zone] = p
	}
	return p
}

// cut reports whether the zone does not respond.
func (p *peer) cut(now time.Time) bool {
	return !p.failingSince.IsZero() && now.Sub(p.failingSince) > contactTimeout && now.Sub(p.contactAt) > contactTimeout
}

// contact returns which zones are in contact.
func (a *Aggregator) contact(s *shard, now time.Time) contact {
	c := contact{
		share: 1,
	}
	for zone, p := range s.peers {
		if _, exists := a.members.byZone[zone]; !exists || !p.cut(now) {
			continue
		}
		if c.cut == nil {
			c.cut = map[string]bool{}
		}
		c.cut[zone] = true
		c.share -= a.members.share(zone)
	}
	return c
}

// exchanges returns the requests to other zones that are due.
func (a *Aggregator) exchanges(s *shard, number int, now time.Time) []Exchange {
	var nearSince, nearUntil time.Time
	for _, l := range s.ledgers {
		if now.Before(l.nearUntil) && l.nearSince.After(nearSince) {
			nearSince = l.nearSince
		}
		if l.nearUntil.After(nearUntil) {
			nearUntil = l.nearUntil
		}
	}
	var due []Exchange
	for _, zone := range a.members.otherZones() {
		p := s.peer(zone)
		if p.sending || !a.due(p, nearSince, nearUntil, now) {
			continue
		}
		to, ok := a.target(p, zone, number, now)
		if !ok {
			continue
		}
		p.sending = true
		p.sentAt = now
		if p.failingSince.IsZero() {
			p.failingSince = now
		}
		due = append(due, Exchange{
			To:      to,
			Content: a.sums(s, number, nil, now),
		})
	}
	return due
}

// due reports whether the next exchange with a zone is due. The zone's own requests
// count, except that a tenant has got near its limit since the last exchange.
func (a *Aggregator) due(p *peer, nearSince, nearUntil, now time.Time) bool {
	last := p.contactAt
	if p.sentAt.After(last) {
		last = p.sentAt
	}
	switch {
	case nearSince.After(p.sentAt):
		return now.Sub(p.sentAt) >= urgentInterval
	case now.Before(nearUntil):
		return now.Sub(last) >= nearInterval
	case a.members.shards > 1:
		return now.Sub(last) >= largeContactInterval
	}
	return now.Sub(last) >= contactInterval
}

// target returns the node of another zone to ask.
func (a *Aggregator) target(p *peer, zone string, number int, now time.Time) (Member, bool) {
	if m, ok := a.members.byName[p.redirect]; ok && m.Zone == zone {
		return m, true
	}
	ordered := a.members.order(zone, number)
	for i := range ordered {
		if !now.Before(p.avoided[ordered[i].Name]) {
			return ordered[i], true
		}
	}
	if len(ordered) == 0 {
		return Member{}, false
	}
	return ordered[0], true
}

// sums returns the zone's sums of the tenants that are near their limit, and of those
// that are requested.
func (a *Aggregator) sums(s *shard, number int, requested []uint64, now time.Time) *messenger.TenantSums {
	a.number++
	sums := &messenger.TenantSums{
		Zone:       a.members.self.Zone,
		Aggregator: a.members.self.Name,
		Boot:       a.boot,
		Number:     a.number,
		Shard:      uint32(number),
	}
	if s == nil {
		return sums
	}
	for _, id := range requested {
		if l := s.ledgers[id]; l != nil {
			l.stayNear(requestedFor, now)
		}
	}
	for id, l := range s.ledgers {
		if now.After(l.nearUntil) {
			continue
		}
		admitted, offered := l.rates(now)
		sums.Tenants = append(sums.Tenants, id)
		sums.Admitted = append(sums.Admitted, l.admitted)
		sums.AdmittedRates = append(sums.AdmittedRates, uint32(math.Round(max(admitted, 0)/rateUnit)))
		sums.OfferedRates = append(sums.OfferedRates, uint32(math.Round(max(offered, 0)/rateUnit)))
	}
	return sums
}

// merge takes over the sums of another zone.
func (a *Aggregator) merge(s *shard, sums *messenger.TenantSums, now time.Time) {
	p := s.peer(sums.GetZone())
	p.contactAt = now
	p.failingSince = time.Time{}
	last := p.last[sums.GetAggregator()]
	if sums.GetBoot() < last.boot || sums.GetBoot() == last.boot && sums.GetNumber() <= last.number {
		return
	}
	p.last[sums.GetAggregator()] = sumsKey{
		boot:   sums.GetBoot(),
		number: sums.GetNumber(),
	}
	c := a.contact(s, now)
	for i, id := range sums.GetTenants() {
		if i >= min(len(sums.GetAdmitted()), len(sums.GetAdmittedRates()), len(sums.GetOfferedRates())) {
			return
		}
		l := a.ledger(s, int(sums.GetShard()), id, now)
		if l == nil {
			continue
		}
		l.advance(c, now)
		l.merge(sums.GetAggregator(), remote{
			zone:         sums.GetZone(),
			boot:         sums.GetBoot(),
			at:           now,
			admitted:     float64(sums.GetAdmitted()[i]),
			admittedRate: float64(sums.GetAdmittedRates()[i]) * rateUnit,
			offeredRate:  float64(sums.GetOfferedRates()[i]) * rateUnit,
		})
	}
}

// Exchange merges the sums of another zone's aggregator and returns those of this zone,
// or the name of the node to ask instead.
func (a *Aggregator) Exchange(sums *messenger.TenantSums, now time.Time) *messenger.TenantSums {
	a.lock.Lock()
	defer a.lock.Unlock()
	number := int(sums.GetShard())
	s := a.shards[number]
	serving := s != nil && now.Sub(s.lastReport) <= servingTimeout && a.decides(s, number, now)
	if number >= a.members.shards || !serving && !a.members.isFirst(number) {
		reply := a.sums(nil, number, nil, now)
		if ordered := a.members.order(a.members.self.Zone, number); len(ordered) > 0 {
			reply.Redirect = ordered[0].Name
		}
		return reply
	}
	if _, known := a.members.byZone[sums.GetZone()]; s != nil && known {
		a.merge(s, sums, now)
	}
	return a.sums(s, number, sums.GetTenants(), now)
}

// Exchanged records the reply to an exchange.
func (a *Aggregator) Exchanged(exchange Exchange, reply *messenger.TenantSums, now time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	s := a.shards[int(exchange.Content.GetShard())]
	if s == nil {
		return
	}
	p := s.peer(exchange.To.Zone)
	p.sending = false
	if reply.GetRedirect() == "" {
		a.merge(s, reply, now)
		return
	}
	p.avoid(exchange.To.Name, now)
	if now.Before(p.avoided[reply.GetRedirect()]) {
		return
	}
	p.redirect = reply.GetRedirect()
	p.sentAt = time.Time{}
}

// Unanswered records that an exchange failed. The next one goes to another candidate.
func (a *Aggregator) Unanswered(exchange Exchange, now time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	s := a.shards[int(exchange.Content.GetShard())]
	if s == nil {
		return
	}
	p := s.peer(exchange.To.Zone)
	p.sending = false
	p.avoid(exchange.To.Name, now)
}

// avoid makes other candidates be asked for some time.
func (p *peer) avoid(name string, now time.Time) {
	p.avoided[name] = now.Add(avoidance)
	p.redirect = ""
	for other, until := range p.avoided {
		if now.After(until) {
			delete(p.avoided, other)
		}
	}
}
