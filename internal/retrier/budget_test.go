package retrier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBudget spends retries up to the share of recent calls. After the window
// has passed, only the minimum is available.
func TestBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBudget()
	for range 1000 {
		b.RecordCall("service", now)
	}
	spent := 0
	for b.Spend("service", 20, now) {
		spent++
	}
	is.Equal(spent, 200)
	later := now.Add(window + time.Second)
	spent = 0
	for b.Spend("service", 20, later) {
		spent++
	}
	is.Equal(spent, minRetries) // no recent calls: only the minimum
}

// TestBudgetIsPerService makes many calls to one service and few to another.
// Calls to the first must not add to the retry budget of the second.
func TestBudgetIsPerService(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBudget()
	for range 1000 {
		b.RecordCall("busy", now)
	}
	for range 20 {
		b.RecordCall("calm", now)
	}
	spent := 0
	for b.Spend("calm", 20, now) {
		spent++
	}
	is.Equal(spent, 4)
}
