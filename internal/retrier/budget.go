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
	// freeRetries may be spent in a span whatever the share. All nodes have
	// them, and together they must stay small.
	freeRetries = 2
	percent     = 100
)

// A Budget lets the retries at each service be at most a share of the recent
// calls to it.
type Budget struct {
	lock     sync.Mutex
	services map[string]*account
}

// account counts the calls and retries of one service.
type account struct {
	calls   [buckets]int
	retries [buckets]int
	at      int64
}

// NewBudget returns a new Budget.
func NewBudget() *Budget {
	return &Budget{
		services: map[string]*account{},
	}
}

func (b *Budget) account(service string) *account {
	a := b.services[service]
	if a == nil {
		a = &account{}
		b.services[service] = a
	}
	return a
}

// Call counts one call to a service.
func (b *Budget) Call(service string, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	a := b.account(service)
	a.calls[a.turn(now)]++
}

// Spend reports whether one more retry at a service is within share percent of
// the recent calls to it, and counts it if so.
func (b *Budget) Spend(service string, share int, now time.Time) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	a := b.account(service)
	i := a.turn(now)
	calls := 0
	retries := 0
	for j := range buckets {
		calls += a.calls[j]
		retries += a.retries[j]
	}
	if retries >= freeRetries && (retries+1)*percent > calls*share {
		return false
	}
	a.retries[i]++
	return true
}

// turn clears the buckets whose time has passed and returns the current one.
func (a *account) turn(now time.Time) int {
	at := now.UnixNano() / int64(span/buckets)
	for steps := min(at-a.at, buckets); steps > 0; steps-- {
		i := (at - steps + 1) % buckets
		a.calls[i] = 0
		a.retries[i] = 0
	}
	a.at = max(a.at, at)
	return int(at % buckets)
}
