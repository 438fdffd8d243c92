package limiter

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// TestSlotsAndQueue checks that a call waits while all slots are in use, and that
// a call is refused when the queue is full.
func TestSlotsAndQueue(t *testing.T) {
	is := is.New(t)
	l := New(2, 1)
	is.NoErr(l.Acquire(t.Context(), Ticket{}))
	is.NoErr(l.Acquire(t.Context(), Ticket{}))
	queued := make(chan error)
	go func() { queued <- l.Acquire(t.Context(), Ticket{}) }()
	for l.Load() < 1.5 {
		time.Sleep(time.Millisecond)
	}
	is.True(errors.Is(l.Acquire(t.Context(), Ticket{}), ErrFull))
	l.Release(Ticket{}, time.Millisecond)
	is.NoErr(<-queued)
	is.Equal(l.InFlight(), 2)
}

// TestDeadlineInQueue checks that a waiting call is abandoned at its deadline and
// that no slot is lost.
func TestDeadlineInQueue(t *testing.T) {
	is := is.New(t)
	l := New(1, 5)
	is.NoErr(l.Acquire(t.Context(), Ticket{}))
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	is.True(errors.Is(l.Acquire(ctx, Ticket{}), ErrDeadline))
	l.Release(Ticket{}, time.Millisecond)
	is.Equal(l.InFlight(), 0)
	is.NoErr(l.Acquire(t.Context(), Ticket{}))
}

// TestDrain checks that draining refuses new calls and lets the calls in flight
// end.
func TestDrain(t *testing.T) {
	is := is.New(t)
	l := New(1, 5)
	is.NoErr(l.Acquire(t.Context(), Ticket{}))
	idle := l.Drain()
	is.True(errors.Is(l.Acquire(t.Context(), Ticket{}), ErrDraining))
	select {
	case <-idle:
		t.Fatal("idle before the call ended")
	default:
	}
	l.Release(Ticket{}, time.Millisecond)
	<-idle
}

// TestConcurrentCalls sends many concurrent calls through few slots and checks
// that no more calls than slots are in flight at any time.
func TestConcurrentCalls(t *testing.T) {
	is := is.New(t)
	l := New(3, 1000)
	var group sync.WaitGroup
	var lock sync.Mutex
	peak, inFlight := 0, 0
	for range 300 {
		group.Go(func() {
			if l.Acquire(context.Background(), Ticket{}) != nil {
				return
			}
			lock.Lock()
			inFlight++
			peak = max(peak, inFlight)
			lock.Unlock()
			lock.Lock()
			inFlight--
			lock.Unlock()
			l.Release(Ticket{}, time.Millisecond)
		})
	}
	group.Wait()
	is.True(peak <= 3)
	is.Equal(l.InFlight(), 0)
}

func BenchmarkAcquire(b *testing.B) {
	l := New(20, 40)
	b.ReportAllocs()
	for b.Loop() {
		_ = l.Acquire(context.Background(), Ticket{})
		l.Release(Ticket{}, time.Millisecond)
	}
}

// BenchmarkAcquireTenants acquires slots for many tenants in turn.
func BenchmarkAcquireTenants(b *testing.B) {
	l := New(20, 40)
	tickets := make([]Ticket, 79)
	for i := range tickets {
		tickets[i].Tenant = strconv.Itoa(i)
		tickets[i].Weight = 1
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ticket := tickets[i%len(tickets)]
		_ = l.Acquire(context.Background(), ticket)
		l.Release(ticket, time.Millisecond)
	}
}

// TestMaxWait fills a target whose calls hold a slot for 100 ms. A call that can be
// tried elsewhere must be refused at once, and another call must wait.
func TestMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(2, 10)
		ticket := Ticket{MaxWait: 5 * time.Millisecond}
		for range 2 {
			is.NoErr(l.Acquire(t.Context(), ticket))
			l.Release(ticket, 100*time.Millisecond)
		}
		for range 2 {
			is.NoErr(l.Acquire(t.Context(), ticket)) // a free slot is used
		}
		busy := &fireflymoor.BusyError{}
		is.True(errors.As(l.Acquire(t.Context(), ticket), &busy))
		is.Equal(busy.Wait, 50*time.Millisecond)
		go func() {
			time.Sleep(100 * time.Millisecond)
			l.Release(ticket, 100*time.Millisecond)
		}()
		is.NoErr(l.Acquire(t.Context(), Ticket{}))
		load, hold := l.Report(1)
		is.Equal(load, 0.5)
		is.Equal(hold, 100*time.Millisecond)
	})
}

// TestReturnedSlot guards against slots that are lost, and against waits that are
// estimated too short, because calls get a slot that are not sent to the target.
func TestReturnedSlot(t *testing.T) {
	is := is.New(t)
	l := New(1, 1)
	ticket := Ticket{
		Rank: -1,
	}
	is.NoErr(l.Acquire(t.Context(), ticket))
	l.Release(ticket, time.Second)
	for range 10 {
		is.NoErr(l.Acquire(t.Context(), ticket))
		l.Return(ticket)
	}
	load, hold := l.Report(0)
	is.Equal(load, 0.0)
	is.Equal(hold, time.Second)
	is.Equal(l.nested, 0)
}
