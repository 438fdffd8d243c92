package limiter

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

const (
	overloadSlots     = 10
	overloadWork      = 60 * time.Millisecond
	overloadObjective = 200 * time.Millisecond
	overloadTimeout   = 500 * time.Millisecond
	overloadDuration  = 5 * time.Second
)

// rankResult counts the outcomes of the calls of one rank.
type rankResult struct {
	sent, inTime, late, refused int
	slowestRefusal              time.Duration
}

// offerLoad sends calls of each rank to a target at regular intervals for
// overloadDuration and returns their outcomes by rank.
func offerLoad(t *testing.T, perSecond map[int]int, objective time.Duration) map[int]*rankResult {
	t.Helper()
	l := New(overloadSlots, 1000)
	results := map[int]*rankResult{}
	for rank, rate := range perSecond {
		result := &rankResult{}
		results[rank] = result
		go func() {
			interval := time.Second / time.Duration(rate)
			for range int(overloadDuration / interval) {
				go makeCall(l, rank, objective, result)
				time.Sleep(interval)
			}
		}()
	}
	time.Sleep(overloadDuration + overloadTimeout)
	synctest.Wait()
	return results
}

// makeCall makes one call and records its outcome.
func makeCall(l *Limiter, rank int, objective time.Duration, result *rankResult) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), overloadTimeout)
	defer cancel()
	err := l.Acquire(ctx, Ticket{
		Rank:      rank,
		Objective: objective,
	})
	l.lock.Lock()
	result.sent++
	if err != nil {
		result.refused++
		result.slowestRefusal = max(result.slowestRefusal, time.Since(began))
	}
	l.lock.Unlock()
	if err != nil {
		return
	}
	time.Sleep(overloadWork)
	l.Release(Ticket{Rank: rank}, overloadWork)
	l.lock.Lock()
	defer l.lock.Unlock()
	if time.Since(began) <= overloadObjective {
		result.inTime++
		return
	}
	result.late++
}

// TestSustainedOverload sends a target one and a half times the calls that it can
// serve. Calls that it serves must be in time, and calls that it refuses must be
// refused early. Without an objective, calls wait until their deadlines and most
// of the served calls are late.
func TestSustainedOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got := offerLoad(t, map[int]int{1: 250}, overloadObjective)[1]
		capacity := int(overloadDuration / overloadWork * overloadSlots)
		is.True(got.inTime > capacity*9/10)
		is.True(got.late < got.sent/50)
		is.True(got.slowestRefusal < overloadObjective/8) // refusals are early and cost the caller little

		withoutObjective := offerLoad(t, map[int]int{1: 250}, 0)[1]
		is.True(withoutObjective.late > withoutObjective.inTime) // without an objective there is no early refusal
	})
}

// TestUrgentCallsGoFirst sends a target urgent calls within its capacity and the
// same number of other calls. The urgent calls must be served, and the other
// calls get the remaining capacity.
func TestUrgentCallsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got := offerLoad(t, map[int]int{0: 120, 2: 120}, overloadObjective)
		is.True(got[0].inTime > got[0].sent*98/100)
		is.True(got[2].inTime > 100) // the remaining capacity is about 47 calls a second
		is.True(got[2].refused > 0)
	})
}

// TestUrgentCallDisplacesLateCall queues an urgent call before a call that then
// cannot begin in time. The displaced call must be refused at once instead of
// waiting in vain.
func TestUrgentCallDisplacesLateCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(1, 10)
		is.NoErr(l.Acquire(t.Context(), Ticket{}))
		l.Release(Ticket{}, 100*time.Millisecond)
		is.NoErr(l.Acquire(t.Context(), Ticket{}))
		refused := make(chan time.Duration, 1)
		go func() {
			began := time.Now()
			err := l.Acquire(t.Context(), Ticket{
				Rank:      2,
				Objective: 450 * time.Millisecond,
			})
			is.True(errors.Is(err, fireflymoor.ErrBusy))
			refused <- time.Since(began)
		}()
		time.Sleep(20 * time.Millisecond)
		go func() {
			is.NoErr(l.Acquire(t.Context(), Ticket{Rank: 1}))
			l.Release(Ticket{}, 100*time.Millisecond)
		}()
		is.Equal(<-refused, 20*time.Millisecond)
		l.Release(Ticket{}, 100*time.Millisecond)
		synctest.Wait()
	})
}

// TestDrainRefusesLateCalls drains a target with calls in its queue. The calls
// that could not begin while the target still accepts work must be refused.
func TestDrainRefusesLateCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(1, 10)
		is.NoErr(l.Acquire(t.Context(), Ticket{}))
		l.Release(Ticket{}, time.Second)
		is.NoErr(l.Acquire(t.Context(), Ticket{}))
		results := make(chan error, 3)
		for range 3 {
			go func() { results <- l.Acquire(t.Context(), Ticket{}) }()
		}
		synctest.Wait()
		l.Drain()
		is.True(errors.Is(<-results, fireflymoor.ErrBusy))
		is.True(errors.Is(<-results, fireflymoor.ErrBusy))
		l.Release(Ticket{}, time.Second)
		is.NoErr(<-results)
	})
}

// TestNestedCallsLeaveSlots sends more nested calls than a target can serve. Other
// calls must still get about half of its slots.
func TestNestedCallsLeaveSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got := offerLoad(t, map[int]int{-1: 200, 1: 100}, overloadObjective)
		capacity := int(overloadDuration / overloadWork * overloadSlots)
		others := got[1].inTime + got[1].late
		is.True(others > capacity*2/5)
		is.True(others < capacity*3/5)
		is.True(got[-1].inTime+got[-1].late > capacity*2/5)
	})
}

// TestShortNestedCallsAreServed sends a target more long calls than it can serve,
// and short nested calls that fit in its slots beside them. The nested calls must
// be served, because each failed nested call wastes the work of its parent. The
// long calls must get the remaining slots.
func TestShortNestedCallsAreServed(t *testing.T) {
	const (
		slots      = 18
		nestedWork = 80 * time.Millisecond
		longWork   = 600 * time.Millisecond
		objective  = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(slots, 1000)
		nested, long := &rankResult{}, &rankResult{}
		send := func(ticket Ticket, interval, work, timeout time.Duration, result *rankResult) {
			for range int(2 * overloadDuration / interval) {
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					err := l.Acquire(ctx, ticket)
					l.lock.Lock()
					result.sent++
					if err != nil {
						result.refused++
					}
					l.lock.Unlock()
					if err == nil {
						time.Sleep(work)
						l.Release(ticket, work)
					}
				}()
				time.Sleep(interval)
			}
		}
		go send(Ticket{Rank: -1}, time.Second/84, nestedWork, 8*nestedWork, nested)
		go send(Ticket{Rank: 1, Objective: objective}, time.Second/30, longWork, 2*objective, long)
		time.Sleep(2*overloadDuration + 2*objective)
		synctest.Wait()
		is.True(nested.refused < nested.sent/50)
		is.True(long.sent-long.refused > int(2*overloadDuration/longWork)*slots/2)
	})
}
