// Package tracker knows the load of targets as this proxy sees it: its own
// calls in flight and what each answer said last.
package tracker

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// loadLife is how long a target's last word on its load is believed.
	loadLife = 200 * time.Millisecond
	// full is the load of a target that refused a call: more wait there than it
	// takes.
	full = 2.0
	// latencyShare is the share of the newest call in a target's latency and
	// slowness.
	latencyShare = 0.2
	// A target is stalled if at least stallCalls calls are there and none has
	// come back for stallFactor times their latency, and for stallLeast.
	stallCalls  = 2
	stallFactor = 4
	stallLeast  = 150 * time.Millisecond
	// slownessHalfLife is the time without calls after which a target is taken
	// to be half as far from usual, and after twice that a third, so that one
	// that was slow is tried again.
	slownessHalfLife = 2 * time.Second
)

// A Tracker tracks targets by id and boot.
type Tracker struct {
	node    string
	zone    string
	entries sync.Map
	// zones holds the zoneLoad of each zoneKey.
	zones     sync.Map
	baselines *baselines
}

type key struct {
	id   string
	boot uint64
}

type entry struct {
	first time.Time
	// zone is that of the target, at hand for each pick.
	zone     *zoneLoad
	inFlight atomic.Int64
	load     atomic.Uint64
	loadAt   atomic.Int64
	latency  atomic.Int64
	// slowness is a float64, and 0 before any call has come back.
	slowness atomic.Uint64
	tookAt   atomic.Int64
	// moved is when a call last came back, or when the first of those that are
	// there went.
	moved atomic.Int64
}

// New returns a new Tracker for the proxy of a node in a zone.
func New(node, zone string) *Tracker {
	return &Tracker{
		node:      node,
		zone:      zone,
		baselines: newBaselines(),
	}
}

func (t *Tracker) zoneOf(target fireflymoor.Target) *zoneLoad {
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
		first: now,
		zone:  t.zoneOf(target),
	})
	return e.(*entry)
}

// Begin counts a call to a target until the returned function is called.
func (t *Tracker) Begin(target fireflymoor.Target, now time.Time) func() {
	e := t.entry(target, now)
	if e.inFlight.Add(1) == 1 {
		e.moved.Store(now.UnixNano())
	}
	return func() {
		e.inFlight.Add(-1)
	}
}

// SetLoad notes the load that a target's answer carried.
func (t *Tracker) SetLoad(target fireflymoor.Target, load float64, now time.Time) {
	t.entry(target, now).setLoad(load, now)
}

func (e *entry) setLoad(load float64, now time.Time) {
	e.zone.note(load, now)
	e.moved.Store(now.UnixNano())
	e.load.Store(math.Float64bits(load))
	e.loadAt.Store(now.UnixNano())
}

// Refused notes that a target had no slot for a call.
func (t *Tracker) Refused(target fireflymoor.Target, now time.Time) {
	t.entry(target, now).setLoad(full, now)
}

// Answered notes how long a call of a route to a target took.
func (t *Tracker) Answered(target fireflymoor.Target, route string, took time.Duration, now time.Time) {
	e := t.entry(target, now)
	e.moved.Store(now.UnixNano())
	latency := float64(took)
	if before := e.latency.Load(); before > 0 {
		latency = blend(float64(before), latency)
	}
	e.latency.Store(int64(latency))
	slowness := t.baselines.note(route, took)
	if e.slowness.Load() > 0 {
		slowness = blend(e.slownessNow(now), slowness)
	}
	e.slowness.Store(math.Float64bits(slowness))
	e.tookAt.Store(now.UnixNano())
}

// blend returns an average with the newest value in it.
func blend(before, newest float64) float64 {
	return before + latencyShare*(newest-before)
}

// slownessNow returns the slowness of a target, the nearer to usual the longer
// ago it was seen.
func (e *entry) slownessNow(now time.Time) float64 {
	bits := e.slowness.Load()
	if bits == 0 {
		return 1
	}
	age := float64(now.UnixNano() - e.tookAt.Load())
	return 1 + (math.Float64frombits(bits)-1)*float64(slownessHalfLife)/(float64(slownessHalfLife)+max(age, 0))
}

// stalled says whether calls are at a target and none comes back.
func (e *entry) stalled(now time.Time) bool {
	latency := time.Duration(e.latency.Load())
	if e.inFlight.Load() < stallCalls || latency == 0 {
		return false
	}
	return now.UnixNano()-e.moved.Load() > int64(max(stallFactor*latency, stallLeast))
}

// Candidate returns a target with its load. Its weight grows over slowStart
// from when this proxy first saw it.
func (t *Tracker) Candidate(target fireflymoor.Target, slowStart time.Duration, now time.Time) fireflymoor.Candidate {
	e := t.entry(target, now)
	load := 0.0
	if now.UnixNano()-e.loadAt.Load() < int64(loadLife) {
		load = math.Float64frombits(e.load.Load())
	}
	weight := 1.0
	if age := now.Sub(e.first); age < slowStart {
		weight = float64(age) / float64(slowStart)
	}
	return fireflymoor.Candidate{
		Target:   target,
		InFlight: int(e.inFlight.Load()),
		Load:     load,
		ZoneLoad: e.zone.now(now),
		Slowness: e.slownessNow(now),
		Stalled:  e.stalled(now),
		Weight:   weight,
		Local:    target.Zone == t.zone,
		Own:      target.Node == t.node,
	}
}

// Forget drops all targets but those given, and the loads of zones that have
// none of these.
func (t *Tracker) Forget(keep []fireflymoor.Target) {
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
	t.zones.Range(func(k, _ any) bool {
		if !zones[k.(zoneKey)] {
			t.zones.Delete(k)
		}
		return true
	})
}
