// Package ejector passes over targets that fail, by what this proxy itself
// has seen of them, whatever their health endpoints say.
package ejector

import (
	"sync"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// failuresToEject is the number of failures in a row that eject.
	failuresToEject = 3
	// firstEjection is how long the first ejection lasts; each further one
	// in a row lasts twice as long, up to lastEjection.
	firstEjection = 500 * time.Millisecond
	lastEjection  = 30 * time.Second
	// leftTime is how long a target that refused new work is passed over.
	leftTime = 2 * time.Second
	percent  = 100
)

// An Ejector remembers the failures of targets.
type Ejector struct {
	lock    sync.Mutex
	targets map[string]*record
}

type record struct {
	failures  int
	ejections int
	until     time.Time
	seen      time.Time
}

// New returns a new Ejector.
func New() *Ejector {
	return &Ejector{
		targets: map[string]*record{},
	}
}

// Succeeded notes that a target answered.
func (e *Ejector) Succeeded(id string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	delete(e.targets, id)
}

// Failed notes that a target, or the way to it, failed.
func (e *Ejector) Failed(id string, now time.Time) {
	e.lock.Lock()
	defer e.lock.Unlock()
	r := e.targets[id]
	if r == nil {
		r = &record{}
		e.targets[id] = r
	}
	r.seen = now
	r.failures++
	if r.failures < failuresToEject || now.Before(r.until) {
		return
	}
	span := min(firstEjection<<min(r.ejections, 10), lastEjection)
	r.until = now.Add(span)
	r.ejections++
}

// Left notes that a target refuses new work, before the overlay has said so.
func (e *Ejector) Left(id string, now time.Time) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.targets[id] = &record{
		until: now.Add(leftTime),
		seen:  now,
	}
}

// Keep returns the targets that are not ejected. It ejects no more than share
// percent of them, and never all.
func (e *Ejector) Keep(targets []fireflymoor.Target, share int, now time.Time) []fireflymoor.Target {
	e.lock.Lock()
	defer e.lock.Unlock()
	if len(e.targets) == 0 {
		return targets
	}
	most := len(targets) * share / percent
	kept := make([]fireflymoor.Target, 0, len(targets))
	for i := range targets {
		r := e.targets[targets[i].ID]
		if r != nil && now.Before(r.until) && most > 0 {
			most--
			continue
		}
		kept = append(kept, targets[i])
	}
	return kept
}
