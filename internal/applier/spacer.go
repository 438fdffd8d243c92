package applier

import "time"

const (
	// spaceFactor is how many times as long as putting a version in force took
	// the next one has to wait, so that a storm of versions takes a fifth of a
	// small instance's processor at most.
	spaceFactor = 4
	// leastSpace and mostSpace bound that wait. A version must be in force
	// within two seconds of its acceptance, on its way included.
	leastSpace = 50 * time.Millisecond
	mostSpace  = 600 * time.Millisecond
)

// A Spacer spaces the versions that a proxy puts in force. Of those that come
// in a storm only the newest is put in force. Its methods are called from one
// goroutine.
type Spacer struct {
	free time.Time
}

// Wait returns how long the next version has to wait, or 0.
func (s *Spacer) Wait(now time.Time) time.Duration {
	return max(s.free.Sub(now), 0)
}

// Applied notes that a version was put in force between two times.
func (s *Spacer) Applied(began, ended time.Time) {
	s.free = ended.Add(min(max(spaceFactor*ended.Sub(began), leastSpace), mostSpace))
}
