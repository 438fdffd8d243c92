// Package ejector implements outlier detection: it temporarily excludes targets
// that fail. It relies only on the calls of this proxy and not on the health
// endpoints of the targets.
package ejector

import (
	"sync"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// failuresToEject is the number of consecutive failures after which a target
	// is ejected.
	failuresToEject = 3
	// initialEjection is the duration of the first ejection. Each further
	// consecutive ejection lasts twice as long, up to maxEjection.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 30 * time.Second
	// leavingEjection is how long a target that refuses new calls is excluded.
	leavingEjection = 2 * time.Second
	// recordRetention is how long the record of a target is kept after its last
	// failure, and maxRecords the number of records above which older ones are
	// removed.
	recordRetention = 2 * maxEjection
	maxRecords      = 1000
	percent         = 100
)

// An Ejector records the failures of targets and ejects targets that fail.
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

// RecordSuccess records that a target answered a call, and ends its ejection.
func (e *Ejector) RecordSuccess(id string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	delete(e.targets, id)
}

// RecordFailure records that a target, or the connection to it, failed.
func (e *Ejector) RecordFailure(id string, now time.Time) {
	e.lock.Lock()
	defer e.lock.Unlock()
	r := e.targets[id]
	if r == nil {
		r = &record{}
		e.add(id, r, now)
	}
	r.seen = now
	r.failures++
	if r.failures < failuresToEject || now.Before(r.until) {
		return
	}
	duration := min(initialEjection<<min(r.ejections, 10), maxEjection)
	r.until = now.Add(duration)
	r.ejections++
}

// RecordDraining records that a target refuses new calls, which the proxy may
// detect before the overlay reports it.
func (e *Ejector) RecordDraining(id string, now time.Time) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.add(id, &record{
		until: now.Add(leavingEjection),
		seen:  now,
	}, now)
}

// add adds a record. If there are many, it removes those of targets that have not
// failed for long, such as targets that are gone.
func (e *Ejector) add(id string, r *record, now time.Time) {
	if len(e.targets) >= maxRecords {
		for other, old := range e.targets {
			if now.Sub(old.seen) > recordRetention {
				delete(e.targets, other)
			}
		}
	}
	e.targets[id] = r
}

// Filter returns the targets that are not ejected. It excludes at most share
// percent of the given targets, rounded down, and never all of them.
func (e *Ejector) Filter(targets []fireflymoor.Target, share int, now time.Time) []fireflymoor.Target {
	e.lock.Lock()
	defer e.lock.Unlock()
	if len(e.targets) == 0 {
		return targets
	}
	remaining := min(len(targets)*share/percent, len(targets)-1)
	kept := make([]fireflymoor.Target, 0, len(targets))
	for i := range targets {
		r := e.targets[targets[i].ID]
		if r != nil && now.Before(r.until) && remaining > 0 {
			remaining--
			continue
		}
		kept = append(kept, targets[i])
	}
	return kept
}
