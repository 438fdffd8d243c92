package retrier

import (
	"math"
	"sync"
)

// noteShare is the share of the newest try in the refused part of a service's
// tries: some thirty tries count.
const noteShare = 0.03

// A Pressure knows what part of the tries at each service is refused, for want
// of a slot or by a target that leaves.
type Pressure struct {
	lock    sync.Mutex
	refused map[string]float64
}

// NewPressure returns a new Pressure.
func NewPressure() *Pressure {
	return &Pressure{
		refused: map[string]float64{},
	}
}

// Note counts one try at a service.
func (p *Pressure) Note(service string, refused bool) {
	newest := 0.0
	if refused {
		newest = 1
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.refused[service] += noteShare * (newest - p.refused[service])
}

// Tries returns how many tries a call to a service is worth, of most: the more
// of them are refused, the fewer, but one.
func (p *Pressure) Tries(service string, most int) int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return max(1, int(math.Ceil(float64(most)*(1-p.refused[service]))))
}
