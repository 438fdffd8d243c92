package retrier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBudget spends retries up to the share of recent calls, and gets them
// back as time passes.
func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBudget()
	for range 1000 {
		b.Call("service", now)
	}
	spent := 0
	for b.Spend("service", 20, now) {
		spent++
	}
	is.Equal(spent, 200)
	later := now.Add(span + time.Second)
	spent = 0
	for b.Spend("service", 20, later) {
		spent++
	}
	is.Equal(spent, freeRetries) // no recent calls: only the free ones
}

// TestBudgetOfEachService makes many calls to one service and few to another.
// The calls to the first give the second no retries: each service must bear
// its own.
func TestBudgetOfEachService(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBudget()
	for range 1000 {
		b.Call("busy", now)
	}
	for range 20 {
		b.Call("calm", now)
	}
	spent := 0
	for b.Spend("calm", 20, now) {
		spent++
	}
	is.Equal(spent, 4)
}
