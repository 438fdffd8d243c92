// Package tracker estimates the load of targets from what this proxy observes: its
// calls in flight, the load that responses report, and how long calls take.
package tracker

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// loadTTL is how long the last reported load of a target is used.
	loadTTL = 200 * time.Millisecond
	// refusalLoad is the load assumed of a target that refused a call, because more
	// calls wait there than it accepts.
	refusalLoad = 2.0
	// latencySmoothing is the weight of the newest call in the moving averages of
	// a target's latency and slowness.
	latencySmoothing = 0.2
	// A target is stalled if at least minStallCalls calls are in flight to it and
	// it has answered or refused none for both stallLatencyFactor times its
	// latency and minStallTime.
	minStallCalls      = 2
	stallLatencyFactor = 4
	minStallTime       = 150 * time.Millisecond
	// slownessHalfLife is the time without calls after which half of a target's
	// deviation from the usual time is left. After twice that time a third is
	// left. A target that was slow is thus tried again.
	slownessHalfLife = 2 * time.Second
)

// A Tracker keeps estimates for targets, each identified by its id and boot.
type Tracker struct {
	node    string
	zone    string
	entries sync.Map
	// zones maps a zoneKey to its *zoneLoad.
	zones sync.Map
	// reported has the names of the services of which a report was recorded.
	reported  sync.Map
	baselines *baselines
	// limits maps the id of a target to its *limit.
	limits sync.Map
}

type key struct {
	id   string
	boot uint64
}

type entry struct {
	firstSeen time.Time
	// zone is the load of the target's zone, kept here to save a lookup for each
	// pick.
	zone     *zoneLoad
	inFlight atomic.Int64
	load     atomic.Uint64
	loadAt   atomic.Int64
	latency  atomic.Int64
	// slowness has the bits of a float64 and is 0 until a call is answered.
	slowness   atomic.Uint64
	slownessAt atomic.Int64
	// progressAt is when the target last answered or refused a call, or when a
	// call began while no other was in flight, whichever is later.
	progressAt atomic.Int64
	report     report
	// limit outlives the entry, as it is the target's and not that of its node's boot.
	limit *limit
}

// New returns a new Tracker for the proxy of a node in an availability zone.
func New(node, zone string) *Tracker {
	return &Tracker{
		node:      node,
		zone:      zone,
		baselines: newBaselines(),
	}
}

func (t *Tracker) zoneLoadOf(target fireflymoor.Target) *zoneLoad {
	k := zoneKeyOf(target)
	if z, ok := t.zones.Load(k); ok {
		return z.(*zoneLoad)
	}
	z, _ := t.zones.LoadOrStore(k, &zoneLoad{})
	return z.(*zoneLoad)
}

func (t *Tracker) entry(target fireflymoor.Target, now time.Time) *entry {
	k := key{
		id:   target.ID,
		boot: target.Boot,
	}
	if e, ok := t.entries.Load(k); ok {
		return e.(*entry)
	}
	e, _ := t.entries.LoadOrStore(k, &entry{
		firstSeen: now,
		zone:      t.zoneLoadOf(target),
		limit:     t.limitOf(target.ID),
	})
	return e.(*entry)
}

// Begin counts a call as in flight to a target until the returned function is
// called.
func (t *Tracker) Begin(target fireflymoor.Target, now time.Time) func() {
	e := t.entry(target, now)
	if e.inFlight.Add(1) == 1 {
		e.progressAt.Store(now.UnixNano())
	}
	endPick := e.report.pick()
	return func() {
		e.inFlight.Add(-1)
		endPick()
	}
}

// SetLoad records the load that a target reported in a response.
func (t *Tracker) SetLoad(target fireflymoor.Target, load float64, now time.Time) {
	t.entry(target, now).setLoad(load, now)
}

func (e *entry) setLoad(load float64, now time.Time) {
	e.zone.observe(load, now)
	e.progressAt.Store(now.UnixNano())
	e.load.Store(math.Float64bits(load))
	e.loadAt.Store(now.UnixNano())
}

// RecordRefusal records that a target had no slot for a call.
func (t *Tracker) RecordRefusal(target fireflymoor.Target, now time.Time) {
	t.entry(target, now).setLoad(refusalLoad, now)
}

// RecordResponse records how long a call of a route to a target took.
func (t *Tracker) RecordResponse(target fireflymoor.Target, route string, took time.Duration, now time.Time) {
	e := t.entry(target, now)
	e.progressAt.Store(now.UnixNano())
	latency := float64(took)
	if before := e.latency.Load(); before > 0 {
		latency = movingAverage(float64(before), latency)
	}
	e.latency.Store(int64(latency))
	slowness := t.baselines.observe(route, took)
	if e.slowness.Load() > 0 {
		slowness = movingAverage(e.currentSlowness(now), slowness)
	}
	e.slowness.Store(math.Float64bits(slowness))
	e.slownessAt.Store(now.UnixNano())
}

// movingAverage returns the exponentially weighted moving average with the newest
// value included.
func movingAverage(mean, newest float64) float64 {
	return mean + latencySmoothing*(newest-mean)
}

// currentSlowness returns the slowness of a target, which decays towards 1 with
// the time since it was last measured.
func (e *entry) currentSlowness(now time.Time) float64 {
	bits := e.slowness.Load()
	if bits == 0 {
		return 1
	}
	age := float64(now.UnixNano() - e.slownessAt.Load())
	return 1 + (math.Float64frombits(bits)-1)*float64(slownessHalfLife)/(float64(slownessHalfLife)+max(age, 0))
}

// stalled reports whether calls are in flight to a target and it has answered or
// refused none for too long.
func (e *entry) stalled(now time.Time) bool {
	latency := time.Duration(e.latency.Load())
	if e.inFlight.Load() < minStallCalls || latency == 0 {
		return false
	}
	return now.UnixNano()-e.progressAt.Load() > int64(max(stallLatencyFactor*latency, minStallTime))
}

// Candidate returns a target with its estimates. Its weight grows from 0 to 1
// during slowStart, beginning when this proxy first saw the target.
func (t *Tracker) Candidate(target fireflymoor.Target, slowStart time.Duration, now time.Time) fireflymoor.Candidate {
	e := t.entry(target, now)
	load := 0.0
	if now.UnixNano()-e.loadAt.Load() < int64(loadTTL) {
		load = math.Float64frombits(e.load.Load())
	}
	capacity := e.capacity(target.Slots, now)
	utilization := e.utilization(capacity, now)
	if e.limit.isRefusing(now) {
		load = refusalLoad
		utilization = max(utilization, 1)
	}
	weight := 1.0
	if age := now.Sub(e.firstSeen); age < slowStart {
		weight = float64(age) / float64(slowStart)
	}
	return fireflymoor.Candidate{
		Target:       target,
		InFlight:     int(e.inFlight.Load()),
		Load:         load,
		ZoneLoad:     e.zone.current(now),
		ZoneFull:     e.zone.full.load(),
		Slowness:     e.currentSlowness(now),
		Utilization:  utilization,
		Capacity:     capacity,
		Limited:      e.limit.current(now) > 0,
		RelativeHold: e.relativeHold(now),
		Stalled:      e.stalled(now),
		Weight:       weight,
		SameZone:     t.IsSameZone(target),
		SameInstance: target.Node == t.node,
	}
}

// IsSameZone reports whether a target is in the proxy's availability zone.
func (t *Tracker) IsSameZone(target fireflymoor.Target) bool {
	return target.Zone == t.zone
}

// Retain drops all targets except the given ones, and the loads of zones
// without any of these.
func (t *Tracker) Retain(keep []fireflymoor.Target) {
	kept := map[key]bool{}
	zones := map[zoneKey]bool{}
	for i := range keep {
		zones[zoneKeyOf(keep[i])] = true
		kept[key{id: keep[i].ID, boot: keep[i].Boot}] = true
	}
	t.entries.Range(func(k, _ any) bool {
		if !kept[k.(key)] {
			t.entries.Delete(k)
		}
		return true
	})
	t.retainLimits(keep, time.Now())
	t.zones.Range(func(k, _ any) bool {
		if !zones[k.(zoneKey)] {
			t.zones.Delete(k)
		}
		return true
	})
}
