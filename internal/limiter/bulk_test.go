package limiter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// offerNestedAndDirect sends short nested calls to a target of 9 slots, and one and a
// half times the direct calls that the slots serve. It returns the outcomes of the
// nested and of the direct calls.
func offerNestedAndDirect(bulk bool, nestedPerSecond int) (nested, direct rankResult) {
	const (
		slots      = 9
		nestedWork = 41 * time.Millisecond
		directWork = 130 * time.Millisecond
	)
	l := New(slots, 1000)
	send := func(ticket Ticket, perSecond int, work, timeout time.Duration, result *rankResult) {
		interval := time.Second / time.Duration(perSecond)
		for range int(overloadDuration / interval) {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				began := time.Now()
				err := l.Acquire(ctx, ticket)
				l.lock.Lock()
				result.sent++
				if err != nil {
					result.refused++
					result.slowestRefusal = max(result.slowestRefusal, time.Since(began))
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
	go send(Ticket{Rank: 1, Objective: 2 * time.Second, Bulk: bulk}, 3*slots*int(time.Second)/(2*int(directWork)), directWork, 4*time.Second, &direct)
	time.Sleep(directWork)
	send(Ticket{Rank: -1}, nestedPerSecond, nestedWork, 500*time.Millisecond, &nested)
	time.Sleep(overloadDuration)
	synctest.Wait()
	return nested, direct
}

// TestNestedBesideBulk saturates a target with bulk calls. Nested calls with short
// deadlines must be served, also if they need more than half of the slots, because
// each failed nested call wastes the work of its parent. The bulk calls must get the
// rest of the slots.
func TestNestedBesideBulk(t *testing.T) {
	for _, perSecond := range []int{40, 80, 120} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			nested, bulk := offerNestedAndDirect(true, perSecond)
			t.Logf("%d a second: nested %+v, bulk %+v", perSecond, nested, bulk)
			is.True(nested.refused < nested.sent/50)
			is.True(bulk.sent-bulk.refused > int(overloadDuration/(130*time.Millisecond))*9/3)
		})
	}
}

// TestDirectCallsKeepSlots does the same with direct calls that are not bulk. They
// must keep half of the slots.
func TestDirectCallsKeepSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nested, direct := offerNestedAndDirect(false, 200)
		t.Logf("nested %+v, direct %+v", nested, direct)
		is.True(nested.refused > nested.sent/4)
		is.True(direct.sent-direct.refused > int(overloadDuration/(130*time.Millisecond))*9*2/5)
	})
}

// TestBulkUsesFreeSlots sends only bulk calls. They must get all slots.
func TestBulkUsesFreeSlots(t *testing.T) {
	is := is.New(t)
	l := New(9, 10)
	for range 9 {
		is.NoErr(l.Acquire(t.Context(), Ticket{Bulk: true}))
	}
	is.Equal(l.InFlight(), 9)
}
