package tracker

import (
	"sync"
	"time"
)

const (
	// usualStep is the part by which the usual time of a route moves with each
	// of its calls.
	usualStep = 0.05
	// mostRoutes bounds the routes that are known: operators drop routes and
	// add others. Beyond it all are learnt anew, a call each.
	mostRoutes = 4096
)

// usual knows how long the calls of each route usually take. Calls of different
// routes to one target are told apart by it: one that takes long by nature does
// not make its target slow.
type usual struct {
	lock  sync.Mutex
	times map[string]time.Duration
}

func newUsual() *usual {
	return &usual{
		times: map[string]time.Duration{},
	}
}

// note counts a call, and returns its time as a multiple of what was usual
// before. The usual time steps up and down to where half of the calls take
// longer, so that a few slow targets do not raise it.
func (u *usual) note(route string, took time.Duration) float64 {
	took = max(took, time.Microsecond)
	u.lock.Lock()
	defer u.lock.Unlock()
	before, known := u.times[route]
	switch {
	case !known:
		if len(u.times) >= mostRoutes {
			clear(u.times)
		}
		before = took
		u.times[route] = took
	case took > before:
		u.times[route] = time.Duration(float64(before) * (1 + usualStep))
	case took < before:
		u.times[route] = time.Duration(float64(before) / (1 + usualStep))
	}
	return float64(took) / float64(before)
}
