package tracker

import (
	"sync"
	"time"
)

const (
	// baselineStep is the fraction by which each call moves the usual time of its
	// route.
	baselineStep = 0.05
	// maxRoutes bounds the number of known routes, because operators remove routes
	// and add others. When it is reached, all usual times are discarded and each
	// route starts again from its next call.
	maxRoutes = 4096
)

// baselines holds the usual time of the calls of each route. A target's slowness
// is a multiple of it, so that a route with long calls does not make its targets
// appear slow.
type baselines struct {
	lock  sync.Mutex
	times map[string]time.Duration
}

func newBaselines() *baselines {
	return &baselines{
		times: map[string]time.Duration{},
	}
}

// observe records the time of a call and returns it as a multiple of the previous
// usual time. The usual time moves in steps towards the median, so that a few
// slow targets do not raise it.
func (b *baselines) observe(route string, took time.Duration) float64 {
	took = max(took, time.Microsecond)
	b.lock.Lock()
	defer b.lock.Unlock()
	usual, known := b.times[route]
	switch {
	case !known:
		if len(b.times) >= maxRoutes {
			clear(b.times)
		}
		usual = took
		b.times[route] = took
	case took > usual:
		b.times[route] = time.Duration(float64(usual) * (1 + baselineStep))
	case took < usual:
		b.times[route] = time.Duration(float64(usual) / (1 + baselineStep))
	}
	return float64(took) / float64(usual)
}
