package responder

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// A limit is checked from limitNotice after the target has begun to state it, in all
	// windows of limitWindow. A window may have limitTolerance times the calls that
	// the limit allows, and limitSlack more.
	limitNotice    = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// maxStall is the longest gap between two ticks of a process that was not suspended.
	// A suspended process gets the calls of the meantime all at once.
	maxStall     = 500 * time.Millisecond
	tickInterval = 50 * time.Millisecond
)

// limitChecker checks that a stand-in target does not get more calls than the limit
// that it states.
type limitChecker struct {
	perSecond float64
	out       io.Writer

	lock     sync.Mutex
	ticked   time.Time
	from     time.Time
	arrivals []time.Time
	violated bool
}

func newLimitChecker(perSecond float64, out io.Writer, now time.Time) *limitChecker {
	return &limitChecker{
		perSecond: perSecond,
		out:       out,
		ticked:    now,
		from:      now.Add(limitNotice),
	}
}

// tick records that the process runs. If it has not for long, the check begins anew.
func (c *limitChecker) tick(now time.Time) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if now.Sub(c.ticked) > maxStall {
		c.from = now.Add(limitNotice)
		c.arrivals = nil
	}
	c.ticked = now
}

// arrive records a call, and writes a line if it is the first one beyond the limit.
func (c *limitChecker) arrive(now time.Time) {
	c.tick(now)
	c.lock.Lock()
	defer c.lock.Unlock()
	if now.Before(c.from) {
		return
	}
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) > limitWindow {
		c.arrivals = c.arrivals[1:]
	}
	allowed := int(limitTolerance*c.perSecond*limitWindow.Seconds()) + limitSlack
	if len(c.arrivals) > allowed && !c.violated {
		c.violated = true
		_, _ = fmt.Fprintf(c.out, "invariant: violated: %d calls in %s at a limit of %g a second, %d allowed\n",
			len(c.arrivals), limitWindow, c.perSecond, allowed)
	}
}
