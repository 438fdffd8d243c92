package tracker

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// maxPace bounds the pace that a target reports of itself in both directions,
	// because a target may misreport it.
	maxPace = 4.0
	// paceTime is the time after which 1/e of the effect of a reported pace is left.
	// Targets are slow for about 600 ms at a time.
	paceTime = 300 * time.Millisecond
	// maxRelativeHold bounds the relative hold time of a target in both directions,
	// so that each target gets some calls, by which its hold time is measured again.
	maxRelativeHold = 5.0
	// freeTTL is how long a report of a free slot is passed on to others, and
	// maxFreeLoad the load above which it is not, because another call may have taken
	// the slot.
	freeTTL     = 200 * time.Millisecond
	maxFreeLoad = 0.8
)

// floatValue is a float64 that is safe for concurrent use.
type floatValue struct {
	bits atomic.Uint64
}

func (f *floatValue) load() float64 {
	return math.Float64frombits(f.bits.Load())
}

func (f *floatValue) store(value float64) {
	f.bits.Store(math.Float64bits(value))
}

// report is the last report of a target's load. Of concurrent updates a part may
// be lost until the next report.
type report struct {
	load, pace, hold floatValue
	// at is when the report arrived, or 0 if there was none.
	at atomic.Int64
	// number is the number of reports so far.
	number atomic.Int64
	// picks is the number of this proxy's calls that have begun since the report and
	// have not ended.
	picks atomic.Int64
}

// RecordReport records the load of a target that its node reported with a response
// or a refusal.
func (t *Tracker) RecordReport(target fireflymoor.Target, reported fireflymoor.LoadReport, now time.Time) {
	if _, known := t.reported.Load(target.Service); !known {
		t.reported.Store(target.Service, struct{}{})
	}
	e := t.entry(target, now)
	e.setLoad(reported.Load, now)
	e.zone.observeFull(reported.Load >= 1)
	if reported.Hold > 0 {
		e.zone.observeHold(reported.Hold)
		e.report.hold.store(float64(reported.Hold))
	}
	e.report.load.store(reported.Load)
	e.report.pace.store(min(max(reported.Pace, 1/maxPace), maxPace))
	e.report.at.Store(now.UnixNano())
	e.report.number.Add(1)
	e.report.picks.Store(0)
}

// HasReports reports whether a report of a target of the service was recorded.
func (t *Tracker) HasReports(service string) bool {
	_, ok := t.reported.Load(service)
	return ok
}

// FreeTarget returns the id of the least utilized of the targets that recently
// reported a free slot to this proxy, or an empty string if there is none. The caller
// sends a call there, which counts as a pick of this proxy until the next report.
func (t *Tracker) FreeTarget(targets []fireflymoor.Target, now time.Time) string {
	var free *entry
	id := ""
	lowest := maxFreeLoad
	for i := range targets {
		e := t.entry(targets[i], now)
		if now.UnixNano()-e.report.at.Load() > int64(freeTTL) {
			continue
		}
		if u := e.utilization(e.capacity(targets[i].Slots, now), now); u < lowest && !e.limit.isRefusing(now) {
			free, id, lowest = e, targets[i].ID, u
		}
	}
	if free != nil {
		free.report.picks.Add(1)
	}
	return id
}

// pick counts a call that begins until the returned function is called. A report
// that arrives meanwhile contains the call.
func (r *report) pick() func() {
	number := r.number.Load()
	r.picks.Add(1)
	return func() {
		if r.number.Load() == number {
			r.picks.Add(-1)
		}
	}
}

// retained returns which part of a report's effect is left if 1/e of it is left
// after lifetime, in nanoseconds.
func (r *report) retained(lifetime float64, now time.Time) float64 {
	at := r.at.Load()
	if at == 0 {
		return 0
	}
	return math.Exp(-max(float64(now.UnixNano()-at), 0) / lifetime)
}

// utilization returns the expected utilization of a target's capacity. After the
// time for which a call holds a slot, most calls that a report counted have ended.
func (e *entry) utilization(capacity float64, now time.Time) float64 {
	mean := e.zone.current(now)
	expected := mean + (e.report.load.load()-mean)*e.report.retained(e.zone.meanHold(), now)
	return expected + float64(max(e.report.picks.Load(), 0))/capacity
}

// relativeHold returns how long calls hold a slot of the target, as a multiple of
// the mean of its zone. The target's own report of its pace may only lengthen it,
// as the hold time is measured by the target's node.
func (e *entry) relativeHold(now time.Time) float64 {
	relative := 1.0
	if hold := e.report.hold.load(); hold > 0 {
		relative = hold / e.zone.meanHold()
	}
	if pace := 1 + (e.report.pace.load()-1)*e.report.retained(float64(paceTime), now); pace > 1 {
		relative = max(relative, pace)
	}
	return min(max(relative, 1/maxRelativeHold), maxRelativeHold)
}
