// Package retrier limits retries and waits before them.
package retrier

import (
	"sync"
	"time"
)

const (
	// window is how long a call counts towards the budget.
	window = 10 * time.Second
	// buckets is the number of parts into which the window is divided.
	buckets = 10
	// minRetries is the number of retries allowed in a window regardless of the
	// share. Every node has this allowance, so it must be small for the sum
	// over all nodes to stay small.
	minRetries = 2
	percent    = 100
)

// A Budget limits the retries at each service to a share of the recent calls to
// it.
type Budget struct {
	lock     sync.Mutex
	services map[string]*serviceCounts
}

// serviceCounts holds the recent calls and retries of one service by bucket.
type serviceCounts struct {
	calls   [buckets]int
	retries [buckets]int
	// tick is the number of the current bucket since the epoch.
	tick int64
}

// NewBudget returns a new Budget.
func NewBudget() *Budget {
	return &Budget{
		services: map[string]*serviceCounts{},
	}
}

// counts returns the counts of a service. The lock must be held.
func (b *Budget) counts(service string) *serviceCounts {
	c := b.services[service]
	if c == nil {
		c = &serviceCounts{}
		b.services[service] = c
	}
	return c
}

// RecordCall counts a call to a service.
func (b *Budget) RecordCall(service string, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	c := b.counts(service)
	c.calls[c.advance(now)]++
}

// Spend reports whether a further retry at a service is within share percent of
// the recent calls to it, and counts the retry if so.
func (b *Budget) Spend(service string, share int, now time.Time) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	c := b.counts(service)
	i := c.advance(now)
	calls := 0
	retries := 0
	for j := range buckets {
		calls += c.calls[j]
		retries += c.retries[j]
	}
	if retries >= minRetries && (retries+1)*percent > calls*share {
		return false
	}
	c.retries[i]++
	return true
}

// advance clears the buckets that have left the window and returns the index of
// the current one.
func (c *serviceCounts) advance(now time.Time) int {
	tick := now.UnixNano() / int64(window/buckets)
	for steps := min(tick-c.tick, buckets); steps > 0; steps-- {
		i := (tick - steps + 1) % buckets
		c.calls[i] = 0
		c.retries[i] = 0
	}
	c.tick = max(c.tick, tick)
	return int(tick % buckets)
}
