// Package retrier decides whether a call may be tried again.
package retrier

import (
	"sync"
	"time"
)

const (
	// span is how long a call counts for the budget.
	span = 10 * time.Second
	// buckets is the number of parts that the span is counted in.
	buckets = 10
	// freeRetries may be spent in a span whatever the share.
	freeRetries = 10
	percent     = 100
)

// A Budget lets retries be at most a share of recent calls.
type Budget struct {
	lock    sync.Mutex
	calls   [buckets]int
	retries [buckets]int
	at      int64
}

// NewBudget returns a new Budget.
func NewBudget() *Budget {
	return &Budget{}
}

// Call counts one call.
func (b *Budget) Call(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.calls[b.turn(now)]++
}

// Spend reports whether one more retry is within share percent of the recent
// calls, and counts it if so.
func (b *Budget) Spend(share int, now time.Time) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	i := b.turn(now)
	calls := 0
	retries := 0
	for j := range buckets {
		calls += b.calls[j]
		retries += b.retries[j]
	}
	if retries >= freeRetries && (retries+1)*percent > calls*share {
		return false
	}
	b.retries[i]++
	return true
}

// turn clears the buckets whose time has passed and returns the current one.
func (b *Budget) turn(now time.Time) int {
	at := now.UnixNano() / int64(span/buckets)
	for steps := min(at-b.at, buckets); steps > 0; steps-- {
		i := (at - steps + 1) % buckets
		b.calls[i] = 0
		b.retries[i] = 0
	}
	b.at = max(b.at, at)
	return int(at % buckets)
}
