package tracker

import (
	"sync"
	"time"
)

const (
	// baselineStep is the part by which the usual time of a route moves with each
	// of its calls.
	baselineStep = 0.05
	// mostRoutes bounds the routes that are known: operators drop routes and
	// add others. Beyond it all are learnt anew, a call each.
	mostRoutes = 4096
)

// baselines knows how long the calls of each route usually take. A target's
// slowness is a multiple of it, so that a route whose calls take long by nature
// does not make its targets look slow.
type baselines struct {
	lock  sync.Mutex
	times map[string]time.Duration
}

func newBaselines() *baselines {
	return &baselines{
		times: map[string]time.Duration{},
	}
}

// note counts a call, and returns its time as a multiple of what was usual
// before. The usual time steps up and down to where half of the calls take
// longer, so that a few slow targets do not raise it.
func (b *baselines) note(route string, took time.Duration) float64 {
	took = max(took, time.Microsecond)
	b.lock.Lock()
	defer b.lock.Unlock()
	before, known := b.times[route]
	switch {
	case !known:
		if len(b.times) >= mostRoutes {
			clear(b.times)
		}
		before = took
		b.times[route] = took
	case took > before:
		b.times[route] = time.Duration(float64(before) * (1 + baselineStep))
	case took < before:
		b.times[route] = time.Duration(float64(before) / (1 + baselineStep))
	}
	return float64(took) / float64(before)
}
