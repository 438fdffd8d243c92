package retrier

import (
	"math"
	"sync"
)

// sampleWeight is the weight of the latest try in the moving average of refused
// tries. About the last thirty tries count.
const sampleWeight = 0.03

// A Pressure tracks the share of recent tries at each service that were
// refused, because no slot was free or the target was draining.
type Pressure struct {
	lock sync.Mutex
	// refusalRates holds the moving averages, from 0 to 1, by service.
	refusalRates map[string]float64
}

// NewPressure returns a new Pressure.
func NewPressure() *Pressure {
	return &Pressure{
		refusalRates: map[string]float64{},
	}
}

// Record adds a try at a service to the average.
func (p *Pressure) Record(service string, refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.refusalRates[service] += sampleWeight * (sample - p.refusalRates[service])
}

// MaxTries returns how many tries a call to a service may have, from 1 to
// limit. The number falls as the share of refused tries rises.
func (p *Pressure) MaxTries(service string, limit int) int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return max(1, int(math.Ceil(float64(limit)*(1-p.refusalRates[service]))))
}
