package limiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// rateModel offers calls to a limiter and records when they begin.
type rateModel struct {
	limiter *Limiter
	work    time.Duration

	lock    sync.Mutex
	group   sync.WaitGroup
	began   map[int][]time.Time
	refused map[int]int
	slowest time.Duration
}

func newRateModel(slots int, work time.Duration) *rateModel {
	return &rateModel{
		limiter: New(slots, 1000),
		work:    work,
		began:   map[int][]time.Time{},
		refused: map[int]int{},
	}
}

// call makes a call of a rank that is useful within a second.
func (m *rateModel) call(ctx context.Context, rank int) {
	m.group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
		defer cancel()
		ticket := Ticket{
			Rank:      rank,
			Objective: time.Second,
		}
		arrived := time.Now()
		err := m.limiter.Acquire(ctx, ticket)
		m.lock.Lock()
		if err != nil {
			m.refused[rank]++
			m.slowest = max(m.slowest, time.Since(arrived))
			m.lock.Unlock()
			return
		}
		m.began[rank] = append(m.began[rank], time.Now())
		m.lock.Unlock()
		time.Sleep(m.work)
		m.limiter.Release(ticket, m.work)
	})
}

// mostInWindow returns the largest number of calls of all ranks that began in a window.
func (m *rateModel) mostInWindow(window time.Duration) int {
	var all []time.Time
	for _, began := range m.began {
		all = append(all, began...)
	}
	most := 0
	for _, from := range all {
		n := 0
		for _, at := range all {
			if d := at.Sub(from); 0 <= d && d <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestRateOverWindows offers three times a target's rate, at random times and in clumps.
// In no window of 4 s may more calls begin than the rate, with a half more and 5 calls,
// allows, and in the mean the target gets what it accepts.
func TestRateOverWindows(t *testing.T) {
	const duration, window = 16 * time.Second, 4 * time.Second
	for _, rate := range []float64{0.3, 1, 8, 50, 200} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := newRateModel(100, 100*time.Millisecond)
				m.limiter.SetRate(rate)
				random := rand.New(rand.NewPCG(38, 1))
				offered := max(3*rate, 3)
				for began := time.Now(); time.Since(began) < duration; {
					time.Sleep(time.Duration(random.ExpFloat64() / offered * 4 * float64(time.Second)))
					for range 4 {
						m.call(t.Context(), 0)
					}
				}
				m.group.Wait()
				served := float64(len(m.began[0]))
				is.True(m.mostInWindow(window) <= int(1.5*rate*window.Seconds())+5)
				is.True(served >= 0.9*rate*duration.Seconds()-1)
				is.True(m.slowest < 500*time.Millisecond) // what cannot begin in time is refused early
			})
		})
	}
}

// TestRateOrder offers more nested, urgent and other calls than the rate admits. Urgent
// calls go before the others, and nested calls get no more than half.
func TestRateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newRateModel(100, 20*time.Millisecond)
		m.limiter.SetRate(20)
		for range 200 {
			m.call(t.Context(), 2)
			m.call(t.Context(), 0)
			m.call(t.Context(), -1)
			time.Sleep(50 * time.Millisecond)
		}
		m.group.Wait()
		nested, urgent, other := len(m.began[-1]), len(m.began[0]), len(m.began[2])
		t.Logf("%d nested, %d urgent, %d other calls", nested, urgent, other)
		is.True(nested <= (nested+urgent+other)/2+1)
		is.True(urgent > 4*other)
	})
}

// TestRateRefusal checks that a refused call is told how long it would have waited for
// the rate, although slots are free.
func TestRateRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(10, 100)
		l.SetRate(0.5)
		ticket := Ticket{
			Objective: time.Second,
		}
		is.NoErr(l.Acquire(t.Context(), ticket)) // the first rate begins with one token
		busy := &fireflymoor.BusyError{}
		is.True(errors.As(l.Acquire(t.Context(), ticket), &busy))
		is.Equal(busy.Wait, 2*time.Second)
		is.True(l.Load() >= 1)
	})
}

// TestRateOfUnsentCall checks that a call that got a slot and is not sent leaves its
// token to the next one, and that the end of the rate admits those that wait.
func TestRateOfUnsentCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(10, 100)
		l.SetRate(5)
		is.NoErr(l.Acquire(t.Context(), Ticket{}))
		l.Return(Ticket{})
		is.NoErr(l.Acquire(t.Context(), Ticket{}))
		granted := make(chan error, 1)
		go func() { granted <- l.Acquire(t.Context(), Ticket{}) }()
		synctest.Wait()
		is.Equal(len(granted), 0)
		l.SetRate(0)
		is.NoErr(<-granted)
	})
}

// TestRateAfterPause checks that a rate that is stated again, or a process that was
// suspended, does not save up calls.
func TestRateAfterPause(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := rateLimit{}
	r.set(20, now)
	now = now.Add(time.Hour)
	r.set(20, now)
	taken := 0
	for r.take(now) {
		taken++
	}
	is.Equal(taken, 7) // two and a quarter of a second
	r.set(1e300, now)
	is.Equal(r.wait(1, now), time.Duration(1)) // no overflow
}

// TestRaisedRate checks that a call that waits for a token begins by the new rate if that
// is higher.
func TestRaisedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(10, 100)
		l.SetRate(5)
		is.NoErr(l.Acquire(t.Context(), Ticket{}))
		began := make(chan time.Time, 1)
		go func() {
			_ = l.Acquire(t.Context(), Ticket{})
			began <- time.Now()
		}()
		synctest.Wait()
		raised := time.Now()
		l.SetRate(1000)
		is.True((<-began).Sub(raised) <= 10*time.Millisecond)
	})
}

// TestNoCallHeldForRate guards against calls without an objective that wait for the token
// of a low rate until their deadline, while another target may have room.
func TestNoCallHeldForRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(10, 100)
		l.SetRate(0.5)
		is.NoErr(l.Acquire(t.Context(), Ticket{}))
		for _, rank := range []int{-1, 0} {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			began := time.Now()
			busy := &fireflymoor.BusyError{}
			is.True(errors.As(l.Acquire(ctx, Ticket{Rank: rank}), &busy))
			is.Equal(time.Since(began), time.Duration(0))
		}
	})
}
