package tracker

import (
	"math"
	"sync"
	"time"
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

// zoneLoad is the mean load of a zone's targets of one service, by all answers
// from them. A proxy among many hears of each target too seldom to know when it
// is full, and of all together often enough.
type zoneLoad struct {
	lock sync.Mutex
	mean float64
	at   time.Time
}

// note counts the load that one answer told.
func (z *zoneLoad) note(load float64, now time.Time) {
	z.lock.Lock()
	defer z.lock.Unlock()
	share := max(zoneShare, 1-z.left(now))
	z.mean += share * (load - z.mean)
	z.at = now
}

// now returns the mean load.
func (z *zoneLoad) now(now time.Time) float64 {
	z.lock.Lock()
	defer z.lock.Unlock()
	return z.mean * z.left(now)
}

// left is the part that the earlier answers still count.
func (z *zoneLoad) left(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(z.at)) / float64(zoneHalfLife))
}
