package rationer

import (
	"time"
)

const (
	// usualPeriod and offeredPeriod are the averaging times of a node's usual
	// admitted rate and of its offered rate.
	usualPeriod   = 4 * time.Second
	offeredPeriod = time.Second
	// usualMargin is the ratio of the share that a node may use without grants to its
	// usual rate: limits are 1.6 times the usual load.
	usualMargin = 1.6
	// While a tenant is not limited, its bucket fills with openFactor times the
	// node's share and holds openTime of it, at least minOpenDepth calls: fewer
	// refuse usual calls that come in clusters by chance.
	openFactor   = 2
	openTime     = 500 * time.Millisecond
	minOpenDepth = 4
	// While it is limited, the bucket fills with limitedFactor times the granted
	// rate, so that a jump of the offered rate passes only in part.
	limitedFactor   = 1.25
	limitedTime     = 250 * time.Millisecond
	minLimitedDepth = 3

	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// minFraction bounds the estimated wait for a tenant of which nothing is
	// admitted at the moment.
	minFraction = 0.05
)

// mode is what a node's admission of a tenant's calls relies on.
type mode int

const (
	// open is the mode of tenants that no aggregator limits.
	open mode = iota
	// limited is the mode of tenants with a valid grant.
	limited
	// blind is the mode without feedback from an aggregator.
	blind
)

// meter is a node's state for one tenant.
type meter struct {
	limit limit
	shard int

	// admitted and refused are the calls since the node's start, and the
	// acknowledged ones those that an aggregator has received. Calls that were returned
	// do not count as admitted.
	admitted, refused, returned int64
	ackedAdmitted, ackedRefused int64
	// phase is the offset of the steps in which calls are reported, from 0 to 1.
	phase float64

	tokens   float64
	filledAt time.Time
	// mode is the mode of the last decision.
	mode mode
	// credit rises by the fraction with each call of a limited tenant. A call is
	// admitted when it reaches 1.
	credit   float64
	fraction float64
	// validUntil is the end of the validity of fraction.
	validUntil     time.Time
	usual, offered decayingRate
}

// bucket returns the rate and the depth of the local bucket. even is the node's even
// share of the rate, in calls a second.
func (m *meter) bucket(in mode, even float64, now time.Time) (rate, depth float64) {
	switch in {
	case blind:
		return even, max(1, even*openTime.Seconds())
	case limited:
		granted := m.fraction * m.offered.get(now, offeredPeriod)
		return limitedFactor * granted, max(minLimitedDepth, granted*limitedTime.Seconds())
	}
	share := max(even, usualMargin*m.usual.get(now, usualPeriod))
	return openFactor * share, max(minOpenDepth, share*openTime.Seconds())
}

// refill fills the bucket of a tenant that is not limited, as its calls are known to an
// aggregator now.
func (m *meter) refill(even float64, now time.Time) {
	_, depth := m.bucket(open, even, now)
	m.tokens = max(m.tokens, depth)
	m.filledAt = now
}

// admit decides on one call.
func (m *meter) admit(in mode, even float64, now time.Time) (bool, time.Duration) {
	m.offered.add(1, now, offeredPeriod)
	if in == open && m.mode == blind {
		m.refill(even, now)
	}
	m.mode = in
	rate, depth := m.bucket(in, even, now)
	m.tokens = min(depth, m.tokens+rate*max(0, now.Sub(m.filledAt).Seconds()))
	m.filledAt = now
	if in != open {
		m.usual.at = now // the usual rate is kept meanwhile
	}
	if in == limited {
		m.credit = min(m.credit+m.fraction, 1+m.fraction)
	}
	if m.tokens < 1 || in == limited && m.credit < 1 {
		m.refused++
		return false, m.retryAfter(in, rate, now)
	}
	if in == limited {
		m.credit--
	}
	m.tokens--
	m.admitted++
	if in == open {
		m.usual.add(1, now, usualPeriod)
	}
	return true, 0
}

// retryAfter estimates the time until this node admits the tenant's next call.
func (m *meter) retryAfter(in mode, rate float64, now time.Time) time.Duration {
	seconds := 0.0
	if m.tokens < 1 {
		seconds = (1 - m.tokens) / max(rate, 1/maxRetryAfter.Seconds())
	}
	if in == limited && m.credit < 1 {
		perSecond := max(m.fraction, minFraction) * max(m.offered.get(now, offeredPeriod), 1)
		seconds = max(seconds, (1-m.credit)/perSecond)
	}
	wait := time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	return max(wait, minRetryAfter)
}

// reported returns the counts for reports in steps. They are rounded from a random offset,
// so that their sums over many nodes have no bias.
func (m *meter) reported(step int64) (admitted, refused int64) {
	offset := int64(m.phase * float64(step))
	return (m.admitted + offset) / step * step, (m.refused + offset) / step * step
}
