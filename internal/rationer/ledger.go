package rationer

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which offered and admitted rates are measured. It is
	// longer, up to maxRateWindow, if it has fewer than minRateCalls calls.
	// sampleInterval is the least time between two samples.
	rateWindow     = 500 * time.Millisecond
	minRateWindow  = 250 * time.Millisecond
	maxRateWindow  = 2 * time.Second
	minRateCalls   = 8
	sampleInterval = 40 * time.Millisecond
	// extrapolation bounds how long the rate of another zone is taken to go on
	// after its last sums.
	extrapolation = time.Second
	// remoteTimeout is the age at which the sums of another zone are dropped, and
	// baselineTimeout the age from which new ones are not compared with them.
	remoteTimeout   = 1500 * time.Millisecond
	baselineTimeout = 3 * time.Second
	mergeFactor     = 2
	// A zone's calls are near the limit if they exceed nearFactor of the zone's
	// share of it, and nearRate calls a second for small tenants. They are also
	// near it if the level is below nearLevel of the depth. They stay near it for
	// nearTime.
	nearFactor   = 0.75
	nearRate     = 0.5
	nearLevel    = 0.5
	nearTime     = 3 * time.Second
	requestedFor = 500 * time.Millisecond
	// minNearDepth is the number of calls that may exceed the rate of near calls.
	minNearDepth = 2
	// settleTime is how long a tenant must have been below its limit to leave the
	// list of limited tenants.
	settleTime = time.Second
)

// sample is the number of calls known at a time.
type sample struct {
	at                time.Time
	admitted, offered int64
}

// remote is what is known of a tenant's calls from another aggregator.
type remote struct {
	zone     string
	boot     uint64
	at       time.Time
	admitted float64
	// charged is what of admitted and its extrapolation the level has paid for.
	charged                   float64
	admittedRate, offeredRate float64
}

// ledger is an aggregator's state for one tenant.
type ledger struct {
	limit limit
	shard int
	// level is the number of calls that may be admitted at once, in all zones.
	level float64
	at    time.Time
	// admitted and offered are the zone's calls that the aggregator knows of.
	admitted, offered int64
	samples           []sample
	// remotes holds what other aggregators have counted, by their names.
	remotes map[string]*remote
	// spare is the bucket of calls that keep the zone from being near the limit.
	spare   float64
	spareAt time.Time
	// nearSince and nearUntil are when the zone's calls got near the limit last, and
	// until when they count as such.
	nearSince, nearUntil time.Time
	// fraction is the part of the calls to be admitted, and recent its average over the
	// last feedbackDelay.
	fraction, recent     float64
	decidedAt, limitedAt time.Time
	// pushed is the fraction of the last list that was pushed to all nodes.
	pushed float64
	// over is set while the tenant is logged as over its limit.
	over bool
}

// contact is the state of the contacts with other zones for one shard.
type contact struct {
	// share is the part of the limits left to the zones in contact, from 0 to 1.
	share float64
	// cut holds the zones that are not in contact.
	cut map[string]bool
}

// newLedger returns the ledger of a tenant whose earlier calls are known if the
// aggregator is not young.
func newLedger(l limit, shard int, young bool, now time.Time) *ledger {
	level := l.depth()
	if young {
		level = min(level, setPoint*l.burst+extraBurst)
	}
	return &ledger{
		limit:    l,
		shard:    shard,
		level:    level,
		at:       now,
		samples:  []sample{{at: now.Add(-minRateWindow)}},
		remotes:  map[string]*remote{},
		spare:    minNearDepth,
		spareAt:  now,
		fraction: 1,
		recent:   1,
		pushed:   1,
	}
}

// advance brings the level up to date. A zone that is cut off is charged its share
// of the limit.
func (l *ledger) advance(c contact, now time.Time) {
	if elapsed := now.Sub(l.at).Seconds(); elapsed > 0 {
		l.level += l.limit.refill() * c.share * elapsed
		l.at = now
	}
	for name, r := range l.remotes {
		if c.cut[r.zone] {
			r.charged = r.admitted
			continue
		}
		if now.Sub(r.at) > remoteTimeout {
			l.level += r.charged - r.admitted
			delete(l.remotes, name)
			continue
		}
		known := r.admitted + r.admittedRate*min(now.Sub(r.at), extrapolation).Seconds()
		l.level -= known - r.charged
		r.charged = known
	}
	l.level = max(min(l.level, l.limit.depth()*c.share), -maxDebt*l.limit.rate)
}

// count adds calls of the zone. zoneShare is the zone's part of the nodes.
func (l *ledger) count(admitted, refused int64, zoneShare float64, now time.Time) {
	l.admitted += admitted
	l.offered += admitted + refused
	l.level -= float64(admitted)
	s := sample{
		at:       now,
		admitted: l.admitted,
		offered:  l.offered,
	}
	if last := len(l.samples) - 1; last > 0 && now.Sub(l.samples[last].at) < sampleInterval {
		l.samples[last].admitted = s.admitted
		l.samples[last].offered = s.offered
	} else {
		l.samples = append(l.samples, s)
	}
	share := l.limit.rate * zoneShare
	depth := max(minNearDepth, l.limit.burst*zoneShare/4)
	l.spare = min(depth, l.spare+(nearFactor*share+nearRate)*now.Sub(l.spareAt).Seconds())
	l.spare -= float64(admitted + refused)
	l.spareAt = now
	if l.spare < 0 || l.level < nearLevel*l.limit.depth() {
		l.spare = max(l.spare, 0)
		if now.After(l.nearUntil) {
			l.nearSince = now
		}
		l.stayNear(nearTime, now)
	}
}

// stayNear makes the tenant be near its limit for at least the duration.
func (l *ledger) stayNear(duration time.Duration, now time.Time) {
	if until := now.Add(duration); until.After(l.nearUntil) {
		l.nearUntil = until
	}
}

// rates returns the admitted and offered calls a second of the zone.
func (l *ledger) rates(now time.Time) (admitted, offered float64) {
	last := l.samples[len(l.samples)-1]
	for len(l.samples) > 2 {
		age := now.Sub(l.samples[1].at)
		if age <= rateWindow || age <= maxRateWindow && last.offered-l.samples[1].offered < minRateCalls {
			break
		}
		l.samples = l.samples[1:]
	}
	if len(l.samples) < 2 {
		return 0, 0
	}
	first, next := l.samples[0], l.samples[1]
	// The calls up to the next sample arrived within one report interval.
	began := first.at
	if earliest := next.at.Add(-reportInterval); began.Before(earliest) {
		began = earliest
	}
	seconds := max(last.at.Sub(began), now.Sub(last.at), minRateWindow).Seconds()
	return max(0, float64(last.admitted-first.admitted)/seconds), max(0, float64(last.offered-first.offered)/seconds)
}

// decide sets the fraction of the calls that may be admitted.
func (l *ledger) decide(c contact, now time.Time) {
	l.advance(c, now)
	_, offered := l.rates(now)
	for _, r := range l.remotes {
		if !c.cut[r.zone] {
			offered += r.offeredRate
		}
	}
	weight := math.Exp(-max(0, now.Sub(l.decidedAt).Seconds()) / feedbackDelay.Seconds())
	l.recent = l.fraction + (l.recent-l.fraction)*weight
	l.decidedAt = now
	l.fraction = 1
	if allowed := l.limit.allowed(l.level, offered*l.recent, c.share); offered > allowed {
		l.fraction = allowed / offered
		l.limitedAt = now
	}
}

// listed reports whether the tenant is on the list of limited tenants.
func (l *ledger) listed(now time.Time) bool {
	return !l.limitedAt.IsZero() && now.Sub(l.limitedAt) < settleTime
}

// merge takes over the sums of another aggregator. The calls that it has admitted since
// the last sums are charged up to mergeFactor times what its rate explains: when a
// partition ends, sums that were held back arrive at once, and their calls were charged
// as the zone's share of the limit.
func (l *ledger) merge(name string, r remote) {
	known := l.remotes[name]
	if known == nil || known.boot != r.boot || r.at.Sub(known.at) > baselineTimeout {
		r.charged = r.admitted
	} else {
		explained := max(known.admittedRate, r.admittedRate) * r.at.Sub(known.at).Seconds()
		r.charged = max(known.charged, r.admitted-mergeFactor*explained-1)
	}
	l.remotes[name] = &r
}
