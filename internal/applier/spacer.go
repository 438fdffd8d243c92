package applier

import "time"

const (
	// waitFactor is the wait before the next version, as a multiple of the time
	// that it took to put the last one in force. With a factor of 4, a burst of
	// versions takes at most a fifth of a small instance's processor.
	waitFactor = 4
	// minWait and maxWait bound this wait. A version must be in force within two
	// seconds of its acceptance, including the time that it takes to spread.
	minWait = 50 * time.Millisecond
	maxWait = 600 * time.Millisecond
)

// A Throttle limits the rate at which a proxy puts versions in force, so that of
// several versions that arrive during a wait only the newest is put in force.
// It is not safe for concurrent use.
type Throttle struct {
	nextAt time.Time
}

// Wait returns the remaining wait before the next version may be put in force,
// or 0 if there is none.
func (t *Throttle) Wait(now time.Time) time.Duration {
	return max(t.nextAt.Sub(now), 0)
}

// Applied records when putting a version in force began and ended.
func (t *Throttle) Applied(began, ended time.Time) {
	t.nextAt = ended.Add(min(max(waitFactor*ended.Sub(began), minWait), maxWait))
}
