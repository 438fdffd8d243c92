package tracker

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// limitTTL is how long a target's limit is used after it was last heard of. A
	// target that is not called because of it is thus tried again.
	limitTTL = 5 * time.Second
	// maxRefusedTime bounds the time for which a target that refused a call because of
	// its limit is passed over.
	maxRefusedTime = time.Second
)

// limit is the limit that a target last stated.
type limit struct {
	// rate is in calls per second, or 0 if the target states no limit.
	rate floatValue
	// at is when the limit was last stated, in Unix nanoseconds.
	at atomic.Int64
	// refusedUntil is the time until which a refused call would have waited.
	refusedUntil atomic.Int64
}

// limitOf returns the limit of the target with an id, which is created if necessary.
func (t *Tracker) limitOf(id string) *limit {
	if l, ok := t.limits.Load(id); ok {
		return l.(*limit)
	}
	l, _ := t.limits.LoadOrStore(id, &limit{})
	return l.(*limit)
}

// retainLimits drops the limits of all targets except the given ones and those heard of
// recently, whose node may be restarting.
func (t *Tracker) retainLimits(keep []fireflymoor.Target, now time.Time) {
	kept := map[string]bool{}
	for i := range keep {
		kept[keep[i].ID] = true
	}
	t.limits.Range(func(id, l any) bool {
		if !kept[id.(string)] && l.(*limit).current(now) == 0 {
			t.limits.Delete(id)
		}
		return true
	})
}

// RecordLimit records the limit that a target states, in calls per second, or that it
// states none if the rate is 0. The call whose response or refusal says so was sent at
// sentAt. One without a limit ends the limit only if its call was sent after the limit
// was last stated.
func (t *Tracker) RecordLimit(target fireflymoor.Target, rate float64, sentAt, now time.Time) {
	l := t.entry(target, now).limit
	if rate == 0 && (l.rate.load() == 0 || sentAt.UnixNano() < l.at.Load()) {
		return
	}
	l.rate.store(rate)
	l.at.Store(now.UnixNano())
}

// RecordLimitRefusal records that a target's limit did not admit a call, which would
// have waited for a time.
func (t *Tracker) RecordLimitRefusal(target fireflymoor.Target, wait time.Duration, now time.Time) {
	t.entry(target, now).limit.refusedUntil.Store(now.Add(min(wait, maxRefusedTime)).UnixNano())
}

// Limit returns the limit of a target in calls per second, or 0 if none is known.
func (t *Tracker) Limit(target fireflymoor.Target, now time.Time) float64 {
	return t.entry(target, now).limit.current(now)
}

var limitDescription = prometheus.NewDesc("fireflymoor_known_limit",
	"Calls per second that a target of any instance accepts, as this node knows it.", []string{"target"}, nil)

// Describe implements prometheus.Collector.
func (*Tracker) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- limitDescription
}

// Collect implements prometheus.Collector.
func (t *Tracker) Collect(metrics chan<- prometheus.Metric) {
	now := time.Now()
	t.limits.Range(func(id, l any) bool {
		if rate := l.(*limit).current(now); rate > 0 {
			metrics <- prometheus.MustNewConstMetric(limitDescription, prometheus.GaugeValue, rate, id.(string))
		}
		return true
	})
}

func (l *limit) current(now time.Time) float64 {
	if now.UnixNano()-l.at.Load() > int64(limitTTL) {
		return 0
	}
	return l.rate.load()
}

// isRefusing reports whether the target's limit admits no call at this moment.
func (l *limit) isRefusing(now time.Time) bool {
	return now.UnixNano() < l.refusedUntil.Load()
}

// capacity returns the slots of a target that calls can use at the rate of its limit: as
// many as calls of that rate hold on average.
func (e *entry) capacity(slots int, now time.Time) float64 {
	capacity := float64(max(slots, 1))
	rate := e.limit.current(now)
	if rate == 0 {
		return capacity
	}
	hold := time.Duration(e.latency.Load())
	if hold == 0 {
		hold = initialHold
	}
	return min(capacity, rate*hold.Seconds())
}
