// Package rationer limits the rate of each tenant's calls, summed over all nodes.
// Every node admits calls by itself and counts them. In each availability zone one
// node, the aggregator, collects the counts, exchanges sums with the other zones and
// tells its nodes what fraction of a tenant's calls to admit. The package does no
// I/O and reads no clock. docs/design/tenant-limits.md derives its numbers.
package rationer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// TickInterval is how often the Tick methods must be called. A gap of more than
	// suspensionGap between two ticks means that the process was suspended.
	TickInterval  = 50 * time.Millisecond
	suspensionGap = time.Second
	// RequestTimeout bounds one request. It is short, as a request that is not
	// answered delays the failover to the next aggregator.
	RequestTimeout = 400 * time.Millisecond
	// avoidance is how long a node that did not answer is passed over.
	avoidance = 2 * time.Second

	// reportInterval is the time between two reports of a node to one aggregator.
	reportInterval = 250 * time.Millisecond
	// feedbackTimeout is how long calls may stay unacknowledged before the node
	// falls back to its even share, and how long a grant is valid.
	feedbackTimeout = time.Second
	// youngAge is the age from which an aggregator knows the recent calls.
	youngAge = time.Second
	// largeGrantValidity replaces feedbackTimeout for grants in large zones, where
	// lists are pushed less often.
	largeGrantValidity = 3 * time.Second

	// A tenant's level rises with rateFactor x rate + extraRate, up to
	// burst + extraBurst. Of the permitted excess of a tenth and 20 calls in 5 s
	// this takes 4% and 11 calls, and leaves the rest for late feedback.
	rateFactor = 1.02
	extraRate  = 0.6
	extraBurst = 8
	// minBurstTime is the least burst, in time at the rate. With less, late counts would
	// cause refusals below the limit.
	minBurstTime = 250 * time.Millisecond
	// Admission aims at a level of setPoint x depth, which it approaches within
	// correctionTime. The effect of the grants of the last feedbackDelay, which is not
	// counted yet, is anticipated: without that the level oscillates.
	setPoint       = 0.35
	correctionTime = 400 * time.Millisecond
	feedbackDelay  = 300 * time.Millisecond
	// maxDebt bounds how far a level may be negative, in seconds of the rate, as
	// a debt blocks all calls until it is paid.
	maxDebt = 0.8

	// largeZone is the number of nodes of a zone above which its tenants are
	// divided into shards with an aggregator each.
	largeZone = 64
	maxShards = 256
	// In large zones, calls are reported in steps of the rate / stepDivisor, and of the
	// rate / limitedDivisor while the tenant is limited. Coarser steps make the level
	// too uncertain: with an eighth of the rate, usual load was refused.
	stepDivisor    = 64
	limitedDivisor = 256

	// idBits is the number of bits of a name's hash that identify a tenant.
	idBits = 40
)

// limit is the rate limit of a tenant.
type limit struct {
	name string
	id   uint64
	// rate is in calls a second, burst in calls.
	rate, burst float64
}

// limitsOf returns the limits of the tenants that have one.
func limitsOf(tenants []fireflymoor.Tenant) []limit {
	var limits []limit
	for i := range tenants {
		t := &tenants[i]
		if t.Rate <= 0 {
			continue
		}
		limits = append(limits, limit{
			name:  t.Name,
			id:    idOf(t.Name),
			rate:  t.Rate,
			burst: t.Burst,
		})
	}
	return limits
}

// idOf returns the id of a tenant in messages.
func idOf(name string) uint64 {
	return xxhash.Sum64String(name) >> (64 - idBits)
}

// refill is the rate at which the level rises, in calls a second.
func (l limit) refill() float64 {
	return rateFactor*l.rate + extraRate
}

// depth is the highest level, in calls.
func (l limit) depth() float64 {
	return max(l.burst, minBurstTime.Seconds()*l.rate) + extraBurst
}

// allowed returns the calls a second that may be admitted at a level, if the fractions
// that were granted in the last feedbackDelay admit planned calls a second. share is the
// part of the limit that is left to the zones that are in contact, from 0 to 1.
func (l limit) allowed(level, planned, share float64) float64 {
	refill := l.refill() * share
	expected := level - (planned-refill)*feedbackDelay.Seconds()
	return max(0, refill+(min(expected, l.depth()*share)-setPoint*l.depth()*share)/correctionTime.Seconds())
}

// decayingRate estimates a rate of events, with exponentially decaying weights.
type decayingRate struct {
	value float64
	at    time.Time
}

// add counts n events.
func (r *decayingRate) add(n float64, now time.Time, period time.Duration) {
	r.value = r.get(now, period) + n/period.Seconds()
	r.at = now
}

// get returns the rate in events a second.
func (r *decayingRate) get(now time.Time, period time.Duration) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/period.Seconds())
}
