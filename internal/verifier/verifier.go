// Package verifier finds out which version is the newest on behalf of many calls, with
// few queries.
package verifier

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxWaiting bounds the calls that wait for a result. Each holds a connection of a
	// client that may send nothing but invalid keys.
	maxWaiting = 256
	// queryTimeout bounds a query. It allows for a second replica if the first does not
	// respond.
	queryTimeout = 600 * time.Millisecond
)

// Errors of calls that get no result.
var (
	ErrBusy    = errors.New("verifier: too many calls wait for the newest version")
	ErrTimeout = errors.New("verifier: the newest version is not known in time")
)

// A Verifier queries for the number of the newest version. One query answers all the
// calls that arrived before it began, and queries are spaced. It is safe for concurrent
// use.
type Verifier struct {
	query    func(ctx context.Context) (uint64, error)
	interval func() time.Duration

	lock sync.Mutex
	// next is the query that calls wait for that has not begun, or nil.
	next *query
	// scheduled reports whether a query is in progress or will begin.
	scheduled bool
	lastBegan time.Time
	waiting   int
}

// query is the result of one query, once done is closed.
type query struct {
	done   chan struct{}
	number uint64
	err    error
}

// New returns a new Verifier. The function query returns the number of a version at
// least as new as any that was accepted before it was called. The function interval
// returns the minimum time between the beginnings of two queries.
func New(query func(ctx context.Context) (uint64, error), interval func() time.Duration) *Verifier {
	return &Verifier{
		query:    query,
		interval: interval,
	}
}

// Newest returns the number of a version at least as new as any that was accepted
// before the call of Newest. It returns ErrBusy if too many calls wait already,
// ErrTimeout if ctx ends first, and otherwise the error of the query.
func (v *Verifier) Newest(ctx context.Context) (uint64, error) {
	q, ok := v.join()
	if !ok {
		return 0, ErrBusy
	}
	defer v.leave()
	select {
	case <-q.done:
		return q.number, q.err
	case <-ctx.Done():
		return 0, ErrTimeout
	}
}

// join returns the next query, and false if too many calls wait already.
func (v *Verifier) join() (*query, bool) {
	v.lock.Lock()
	defer v.lock.Unlock()
	if v.waiting >= maxWaiting {
		return nil, false
	}
	v.waiting++
	if v.next == nil {
		v.next = &query{
			done: make(chan struct{}),
		}
	}
	v.schedule()
	return v.next, true
}

func (v *Verifier) leave() {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.waiting--
}

// schedule begins the next query after the interval. It does nothing if no call waits
// for one, or if another one has not ended.
func (v *Verifier) schedule() {
	if v.scheduled || v.next == nil {
		return
	}
	v.scheduled = true
	time.AfterFunc(max(time.Until(v.lastBegan.Add(v.interval())), 0), v.run)
}

// run makes the next query.
func (v *Verifier) run() {
	v.lock.Lock()
	q := v.next
	v.next = nil
	v.lastBegan = time.Now()
	v.lock.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	q.number, q.err = v.query(ctx)
	close(q.done)
	v.lock.Lock()
	defer v.lock.Unlock()
	v.scheduled = false
	v.schedule()
}
