package retrier

import (
	"math"
	"sync"
)

// sampleWeight is the weight of the latest try in the moving average of refused
// tries. About the last thirty tries count.
const sampleWeight = 0.03

// A RefusalRate tracks the share of recent tries at each service that were
// refused, because no slot was free or the target was draining.
type RefusalRate struct {
	lock sync.Mutex
	// refusalRates holds the moving averages, from 0 to 1, by service.
	refusalRates map[string]float64
}

// NewRefusalRate returns a new RefusalRate.
func NewRefusalRate() *RefusalRate {
	return &RefusalRate{
		refusalRates: map[string]float64{},
	}
}

// Record adds a try at a service to the average.
func (r *RefusalRate) Record(service string, refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.refusalRates[service] += sampleWeight * (sample - r.refusalRates[service])
}

// MaxTries returns how many tries a call to a service may have, from 1 to
// limit. The number falls as the share of refused tries rises.
func (r *RefusalRate) MaxTries(service string, limit int) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return max(1, int(math.Ceil(float64(limit)*(1-r.refusalRates[service]))))
}
