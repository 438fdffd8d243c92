package coordinator

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// healthWindow is the period over which signs of a fault near this process are
	// counted, and maxHealthSigns the number of them above which its timeouts are
	// no evidence that another member has failed.
	healthWindow   = 4 * time.Second
	maxHealthSigns = 3
	// suspicionsPerSecond and suspicionBurst bound the suspicions that this process
	// raises, so that their flood cannot fill the links.
	suspicionsPerSecond = 1
	suspicionBurst      = 6
)

// health estimates how far this process can trust its own timeouts, as in
// Lifeguard. Signs of a fault near this process are links and dials that time out
// and suspicions of this process itself.
type health struct {
	signs   []time.Time
	limiter *rate.Limiter
}

// record records a sign of a fault near this process.
func (h *health) record(now time.Time) {
	h.signs = append(h.recent(now), now)
}

// good reports whether timeouts of this process are evidence that another member
// has failed.
func (h *health) good(now time.Time) bool {
	return len(h.recent(now)) <= maxHealthSigns
}

func (h *health) recent(now time.Time) []time.Time {
	h.signs = slices.DeleteFunc(h.signs, func(at time.Time) bool {
		return now.Sub(at) > healthWindow
	})
	return h.signs
}

// maySuspect reports whether this process may raise another suspicion, and counts
// it if so.
func (h *health) maySuspect(now time.Time) bool {
	if h.limiter == nil {
		h.limiter = rate.NewLimiter(suspicionsPerSecond, suspicionBurst)
	}
	return h.limiter.AllowN(now, 1)
}
