package tracker

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// minZoneSmoothing is the minimum weight of the newest response in a zone's
	// load.
	minZoneSmoothing = 0.05
	// zoneHalfLife is the time after which earlier responses have half of their
	// weight. The assumed load of a zone that sends no responses is halved after
	// the same time.
	zoneHalfLife = 500 * time.Millisecond
	// holdSmoothing is the weight of the newest report in the mean hold time of a
	// zone.
	holdSmoothing = 0.05
	// fullSmoothing is the weight of the newest report in the share of full targets.
	// About the last thirty reports count.
	fullSmoothing = 0.03
	// initialHold is the assumed hold time before the first report.
	initialHold = 300 * time.Millisecond
)

// zoneKey identifies the targets of a service in an availability zone.
type zoneKey struct {
	service string
	zone    string
}

func zoneKeyOf(target fireflymoor.Target) zoneKey {
	return zoneKey{
		service: target.Service,
		zone:    target.Zone,
	}
}

// zoneLoad is the mean load of the targets of one service in a zone, taken from
// all their responses. One proxy among many receives too few responses from each
// target to detect that it is full, but enough from all of them together. Of
// concurrent updates one may be lost.
type zoneLoad struct {
	mean atomic.Uint64
	// hold is the mean hold time in nanoseconds, and full the share of recent reports
	// by full targets.
	hold, full floatValue
	updatedAt  atomic.Int64
}

// observe adds the load that a response reported.
func (z *zoneLoad) observe(load float64, now time.Time) {
	mean := math.Float64frombits(z.mean.Load())
	weight := max(minZoneSmoothing, 1-z.retained(now))
	z.mean.Store(math.Float64bits(mean + weight*(load-mean)))
	z.updatedAt.Store(now.UnixNano())
}

// current returns the mean load, decayed by the time since the last response.
func (z *zoneLoad) current(now time.Time) float64 {
	return math.Float64frombits(z.mean.Load()) * z.retained(now)
}

// retained returns the fraction of their weight that earlier responses still have.
func (z *zoneLoad) retained(now time.Time) float64 {
	age := max(float64(now.UnixNano()-z.updatedAt.Load()), 0)
	return float64(zoneHalfLife) / (float64(zoneHalfLife) + age)
}

// observeHold adds the hold time that a response reported.
func (z *zoneLoad) observeHold(hold time.Duration) {
	mean := z.hold.load()
	if mean == 0 {
		mean = float64(hold)
	}
	z.hold.store(mean + holdSmoothing*(float64(hold)-mean))
}

// meanHold returns the mean hold time in nanoseconds.
func (z *zoneLoad) meanHold() float64 {
	if mean := z.hold.load(); mean > 0 {
		return mean
	}
	return float64(initialHold)
}

// observeFull adds whether a target was full at its report.
func (z *zoneLoad) observeFull(full bool) {
	sample := 0.0
	if full {
		sample = 1
	}
	share := z.full.load()
	z.full.store(share + fullSmoothing*(sample-share))
}
