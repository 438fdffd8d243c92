package limiter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minWeight is the least weight of a tenant in the order of waiting calls. A tenant
	// with weight 0 gets what others leave.
	minWeight = 1e-3
	// minCost is the least expected slot time of a call, in seconds.
	minCost = 1e-3
	// floorShare is the share of a tenant's calls that are granted a slot, relative to
	// that of all calls of the rank, below which the tenant's next call is treated as
	// if its tenant had been granted none. No tenant may fall below a quarter; the rest
	// is a margin, as the shares are moving averages.
	floorShare = 0.35
	// minFloorCalls is the number of recent calls from which a tenant's share is known.
	minFloorCalls = 4
	// flowInterval is how often the counts of recent calls are decayed, and flowDecay
	// what remains of them: calls count for about 10 s.
	flowInterval = time.Second
	flowDecay    = 0.9
	// minRecentCalls is the count of recent calls below which a tenant is forgotten.
	minRecentCalls = 0.05
)

// sharer orders the waiting calls of each rank by start-time fair queueing over
// tenants. A call's start tag is the larger of the virtual time, which is the start tag
// of the last call that got a slot, and the finish tag of its tenant's call before it.
// Its finish tag is later by its cost, the expected slot time divided by the tenant's
// weight. Tags are in seconds of slot time for a weight of 1. A tenant that used
// capacity that no other wanted owes nothing later, as the virtual time follows it.
type sharer struct {
	flows map[flowKey]*flow
	ranks map[int]*rankShare
	// decayedAt is when the counts were decayed last.
	decayedAt time.Time
}

// flowKey identifies a flow.
type flowKey struct {
	rank   int
	tenant string
}

// rankShare is the state of the calls of one rank.
type rankShare struct {
	virtual float64
	// offered and granted count the recent calls and those that got a slot.
	offered, granted float64
	// weight is the sum of the weights of the tenants with recent calls.
	weight float64
}

// flow is the state of one tenant's calls of one rank, or of the calls without a tenant.
type flow struct {
	rank *rankShare
	// shared is set for the calls without a tenant. They weigh as much as all tenants
	// with recent calls together, so that neither side starves the other.
	shared bool
	weight float64
	// finish is the finish tag of the last call that got a slot.
	finish float64
	// offered and granted count the recent calls and those that got a slot.
	offered, granted float64
	// meanHold is the moving average of the time for which calls hold a slot, or 0.
	meanHold time.Duration
}

// offer counts a call and returns its flow, or nil as long as no call has had a tenant:
// the calls of one rank are then served in the order of their arrival.
func (l *Limiter) offer(ticket Ticket) *flow {
	if l.sharer == nil && ticket.Tenant == "" {
		return nil
	}
	now := l.now()
	if l.sharer == nil {
		l.sharer = &sharer{
			flows:     map[flowKey]*flow{},
			ranks:     map[int]*rankShare{},
			decayedAt: now,
		}
	}
	l.sharer.decay(now)
	f := l.sharer.flow(ticket)
	f.offered++
	f.rank.offered++
	return f
}

// sendBack records that a call is refused because it can be tried at another target. It
// is not counted, as it may be served there.
func (f *flow) sendBack() {
	if f == nil {
		return
	}
	f.offered--
	f.rank.offered--
}

// flow returns the flow of a call, which is created if necessary.
func (s *sharer) flow(ticket Ticket) *flow {
	key := flowKey{
		rank:   ticket.Rank,
		tenant: ticket.Tenant,
	}
	f := s.flows[key]
	if f == nil {
		r := s.ranks[ticket.Rank]
		if r == nil {
			r = &rankShare{}
			s.ranks[ticket.Rank] = r
		}
		f = &flow{
			rank:   r,
			shared: ticket.Tenant == "",
		}
		s.flows[key] = f
	}
	if !f.shared {
		weight := max(ticket.Weight, minWeight)
		f.rank.weight += weight - f.weight
		f.weight = weight
	}
	return f
}

// decay decays the counts of recent calls once in a flowInterval, and forgets the
// tenants that have none.
func (s *sharer) decay(now time.Time) {
	if now.Sub(s.decayedAt) < flowInterval {
		return
	}
	s.decayedAt = now
	for _, r := range s.ranks {
		r.offered *= flowDecay
		r.granted *= flowDecay
		r.weight = 0
	}
	for key, f := range s.flows {
		f.offered *= flowDecay
		f.granted *= flowDecay
		if f.offered < minRecentCalls {
			delete(s.flows, key)
			continue
		}
		f.rank.weight += f.weight
	}
}

// cost returns the cost of a call by the estimates of its slot time that are known.
func (l *Limiter) cost(f *flow, ticket Ticket) float64 {
	hold := cmp.Or(f.meanHold, l.meanHoldByRank[ticket.Rank], l.meanHold, ticket.Objective/initialHoldDivisor)
	weight := f.weight
	if f.shared {
		weight = max(f.rank.weight, 1)
	}
	return max(hold.Seconds(), minCost) / weight
}

// isStarved reports whether calls of the flow get a slot far less often than others.
func (f *flow) isStarved() bool {
	return f.offered >= minFloorCalls && f.granted*f.rank.offered < floorShare*f.offered*f.rank.granted
}

// grantAtOnce records that a call got a slot without waiting.
func (l *Limiter) grantAtOnce(f *flow, ticket Ticket) {
	if f == nil {
		return
	}
	f.grant(max(f.finish, f.rank.virtual), l.cost(f, ticket))
}

// grant records that a call with a start tag and a cost got a slot.
func (f *flow) grant(start, cost float64) {
	f.granted++
	f.rank.granted++
	f.finish = start + cost
	f.rank.virtual = max(f.rank.virtual, start)
}

// tag sets the tags of a call that is about to wait.
func (l *Limiter) tag(w *waiter, f *flow, ticket Ticket) {
	if f == nil {
		return
	}
	if f.isStarved() && f.finish > f.rank.virtual {
		f.finish = f.rank.virtual
		l.retag(f)
	}
	w.flow = f
	w.arrived = f.rank.virtual
	w.cost = l.cost(f, ticket)
	previous := f.finish
	for _, other := range l.waiting {
		if other.flow == f {
			previous = other.start + other.cost
		}
	}
	w.start = max(w.arrived, previous)
}

// retag sets the tags of a flow's waiting calls again after one of them has left the
// queue without a slot, so that it does not count against the others.
func (l *Limiter) retag(f *flow) {
	if f == nil {
		return
	}
	previous := f.finish
	for _, w := range l.waiting {
		if w.flow == f {
			w.start = max(w.arrived, previous)
			previous = w.start + w.cost
		}
	}
	slices.SortStableFunc(l.waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.start, b.start))
	})
}

// before reports whether a waiting call gets its slot before one that arrived later.
func (w *waiter) before(later *waiter) bool {
	return w.rank < later.rank || w.rank == later.rank && w.start <= later.start
}
