package tracker

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// zoneShare is the least share of the newest answer in a zone's load.
	zoneShare = 0.05
	// zoneHalfLife is the time after which earlier answers count for half, and
	// after which a zone from which nothing comes is taken to be half as full.
	zoneHalfLife = 500 * time.Millisecond
)

// zoneKey names the targets of a service in an availability zone.
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

// zoneLoad is the mean load of a zone's targets of one service, by all answers
// from them. A proxy among many hears of each target too seldom to know when it
// is full, and of all together often enough. Of answers that come at the same
// moment one may be missed.
type zoneLoad struct {
	mean atomic.Uint64
	at   atomic.Int64
}

// note counts the load that one answer told.
func (z *zoneLoad) note(load float64, now time.Time) {
	before := math.Float64frombits(z.mean.Load())
	share := max(zoneShare, 1-z.left(now))
	z.mean.Store(math.Float64bits(before + share*(load-before)))
	z.at.Store(now.UnixNano())
}

// now returns the mean load.
func (z *zoneLoad) now(now time.Time) float64 {
	return math.Float64frombits(z.mean.Load()) * z.left(now)
}

// left is the part that the earlier answers still count.
func (z *zoneLoad) left(now time.Time) float64 {
	age := max(float64(now.UnixNano()-z.at.Load()), 0)
	return float64(zoneHalfLife) / (float64(zoneHalfLife) + age)
}
