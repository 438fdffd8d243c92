// Package quarantiner keeps requests away from targets under which targets have ended.
//
// A target's node reports which requests its target was serving when the target ended. One
// end says little, as a target may end for any reason, and all requests that it was serving
// are named. Under a request that keeps doing it, several targets end and none responds. A
// response clears a request.
//
// The decisions do no I/O and read no clock. What a process learns is spread to all others.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// trialEnds is the number of ends from which a request is refused for a short time,
	// and then sent to one target only and one at a time, and maxEnds that from which it is
	// refused for long.
	trialEnds = 2
	maxEnds   = 3
	// suspicionTime is how long ends that do not suffice for a refusal count. Targets
	// that end for other reasons rarely do so under the same request twice.
	suspicionTime = 2 * time.Minute
	// pauseTime is how long a request with trialEnds is refused. It gives targets the time
	// to come back before the trial may end one more.
	pauseTime = 10 * time.Second
	// holdTime is how long a request with maxEnds is refused that was sent again after
	// one of them. Without that, its targets may all have ended at once for another
	// reason, as they may for a popular request.
	holdTime = 10 * time.Minute
	// forgetTime is how long a refused request is remembered after its last end. Until
	// then it gets one trial at a time.
	forgetTime = time.Hour
	// TrialRetryDelay is how long callers are asked to wait while the same request is on
	// trial.
	TrialRetryDelay = 250 * time.Millisecond
	// maxRequests bounds the requests that are remembered.
	maxRequests = 4096
	// maxKnownEnds bounds the ends of a request that are remembered, and maxCleared those
	// that are remembered as cleared. Further ones are ignored: what is forgotten
	// would be news when it arrives again, and be passed on for good.
	maxKnownEnds = 32
	maxCleared   = 64
	// settleTime is the time after which no news of an end is on its way any more.
	settleTime = 10 * time.Second
	// maxSentEnds bounds the ends that are sent along with a call.
	maxSentEnds = 4
	// maxSpread bounds the ends that are sent to a new neighbor.
	maxSpread = 256
	// maxDescription bounds the description of a request, in bytes.
	maxDescription = 200
)

// A Decision tells what to do with a request.
type Decision int

// The decisions on a request.
const (
	// Free means that the request may be sent to any target.
	Free Decision = iota
	// Trial means that it may be sent to its trial target, once at a time.
	Trial
	// Refused means that it must not be sent.
	Refused
)

// String returns the decision as operators see it.
func (d Decision) String() string {
	return [...]string{"free", "trial", "refused"}[d]
}

// An Entry is a request as operators see it.
type Entry struct {
	Request     string    `json:"request"`
	Description string    `json:"description,omitempty"`
	Ends        int       `json:"ends"`
	State       string    `json:"state"`
	Since       time.Time `json:"since"`
	Until       time.Time `json:"until"`
	// Refusals counts the calls that this process has refused.
	Refusals uint64 `json:"refusals"`
}

// A Quarantiner holds the requests under which targets have ended. It is safe for
// concurrent use.
type Quarantiner struct {
	// active is the number of requests, so that nothing is computed while there are none.
	active  atomic.Int64
	lock    sync.Mutex
	records map[Fingerprint]*record
	spread  func(news *messenger.TargetEnds)
}

// New returns a new Quarantiner.
func New() *Quarantiner {
	return &Quarantiner{
		records: map[Fingerprint]*record{},
		spread:  func(*messenger.TargetEnds) {},
	}
}

// UseSpread makes the quarantiner pass what this process learns first to spread, which
// sends it to all neighbors. It must be called before other methods.
func (q *Quarantiner) UseSpread(spread func(news *messenger.TargetEnds)) {
	q.spread = spread
}

// IsActive reports whether there are any requests.
func (q *Quarantiner) IsActive() bool {
	return q.active.Load() > 0
}

// add records an end under a request, and reports whether it is news.
func (q *Quarantiner) add(f Fingerprint, e end) bool {
	r := q.records[f]
	if r == nil {
		if f == 0 || !q.makeRoom(e.at) {
			return false
		}
		r = &record{}
		q.records[f] = r
		q.active.Store(int64(len(q.records)))
	}
	if _, ok := r.cleared[e.id]; ok {
		return false
	}
	for i := range r.ends {
		if r.ends[i].id == e.id {
			news := e.repeat && !r.ends[i].repeat
			r.ends[i].repeat = r.ends[i].repeat || e.repeat
			return news
		}
	}
	if len(r.ends) >= maxKnownEnds {
		return false
	}
	r.ends = append(r.ends, e)
	return true
}

// makeRoom makes room for one more request: it removes those that are no longer needed,
// and if there are none, the oldest of those with one end. It reports false if there is no
// room.
func (q *Quarantiner) makeRoom(now time.Time) bool {
	if len(q.records) < maxRequests {
		return true
	}
	q.expire(now)
	oldest := Fingerprint(0)
	for f, r := range q.records {
		replaceable := len(r.ends) < trialEnds && !r.onTrial && now.Sub(r.touched()) >= settleTime
		if replaceable && (oldest == 0 || r.last().Before(q.records[oldest].last())) {
			oldest = f
		}
	}
	if len(q.records) >= maxRequests && oldest != 0 {
		delete(q.records, oldest)
	}
	return len(q.records) < maxRequests
}

// Expire forgets the requests that are no longer suspected.
func (q *Quarantiner) Expire(now time.Time) {
	if !q.IsActive() {
		return
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	q.expire(now)
}

func (q *Quarantiner) expire(now time.Time) {
	maps.DeleteFunc(q.records, func(_ Fingerprint, r *record) bool {
		return !r.onTrial && now.Sub(r.touched()) >= r.lifetime()
	})
	q.active.Store(int64(len(q.records)))
}

// An Admission is what is decided about one try of a request.
type Admission struct {
	Decision Decision
	// Ends are the ends that are known under the request. They are sent along with it.
	Ends []uint64
	// RetryAfter is how long the caller of a refused request should wait.
	RetryAfter time.Duration
}

// Admit decides at a caller's node about one try of a request. The description is kept
// for operators.
func (q *Quarantiner) Admit(f Fingerprint, description string, now time.Time) Admission {
	a := Admission{}
	q.lock.Lock()
	defer q.lock.Unlock()
	r := q.records[f]
	if r == nil {
		return a
	}
	r.description = description
	for i := range r.ends[:min(len(r.ends), maxSentEnds)] {
		a.Ends = append(a.Ends, r.ends[i].id)
	}
	a.Decision = r.decision(now)
	if a.Decision == Refused {
		a.RetryAfter = r.until().Sub(now)
		r.refusals++
	}
	return a
}

// Begin decides at a target's node whether a request may be sent to the target. It
// returns a function to call at the end of the request, and reports false if it must not be
// sent: it is refused, or it is on trial already.
func (q *Quarantiner) Begin(f Fingerprint, now time.Time) (func(), bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	r := q.records[f]
	if r == nil {
		return func() {}, true
	}
	switch r.decision(now) {
	case Free:
		return func() {}, true
	case Refused:
		r.refusals++
		return nil, false
	}
	if r.onTrial {
		r.refusals++
		return nil, false
	}
	r.onTrial = true
	return sync.OnceFunc(func() {
		q.lock.Lock()
		defer q.lock.Unlock()
		r.onTrial = false
	}), true
}

// Knows reports whether targets have ended under a request.
func (q *Quarantiner) Knows(f Fingerprint) bool {
	q.lock.Lock()
	defer q.lock.Unlock()
	r := q.records[f]
	return r != nil && len(r.ends) > 0
}

// Clear clears a request of all ends known here, such as after a response to it. It reports
// whether the request was held back, which others are told then.
func (q *Quarantiner) Clear(f Fingerprint, now time.Time) bool {
	q.lock.Lock()
	r := q.records[f]
	if r == nil || len(r.ends) == 0 {
		q.lock.Unlock()
		return false
	}
	held := len(r.ends) >= trialEnds
	message := &messenger.Clearance{
		Request: uint64(f),
	}
	for i := range r.ends {
		message.Ends = append(message.Ends, r.ends[i].id)
	}
	q.clear(f, message.GetEnds(), now)
	q.lock.Unlock()
	if held {
		q.spread(&messenger.TargetEnds{
			Clearances: []*messenger.Clearance{message},
		})
	}
	return held
}

// clear clears a request of ends, and reports whether that is news.
func (q *Quarantiner) clear(f Fingerprint, ids []uint64, now time.Time) bool {
	r := q.records[f]
	if r == nil {
		if f == 0 || len(ids) == 0 || !q.makeRoom(now) {
			return false
		}
		r = &record{}
		q.records[f] = r
		q.active.Store(int64(len(q.records)))
	}
	if r.cleared == nil {
		r.cleared = map[uint64]time.Time{}
	}
	if len(r.cleared) >= maxCleared {
		maps.DeleteFunc(r.cleared, func(_ uint64, at time.Time) bool { return now.Sub(at) >= settleTime })
	}
	news := false
	for _, id := range ids {
		if _, ok := r.cleared[id]; ok || len(r.cleared) >= maxCleared {
			continue
		}
		r.cleared[id] = now
		news = true
	}
	if news {
		r.clearedAt = now
		r.ends = slices.DeleteFunc(r.ends, func(e end) bool {
			_, ok := r.cleared[e.id]
			return ok
		})
	}
	return news
}

// Held returns how many requests are on trial or refused.
func (q *Quarantiner) Held(now time.Time) int {
	q.lock.Lock()
	defer q.lock.Unlock()
	held := 0
	for _, r := range q.records {
		if r.decision(now) != Free {
			held++
		}
	}
	return held
}

// Entries returns all requests under which targets have ended, those with the most ends
// first.
func (q *Quarantiner) Entries(now time.Time) []Entry {
	q.lock.Lock()
	defer q.lock.Unlock()
	entries := make([]Entry, 0, len(q.records))
	for f, r := range q.records {
		if len(r.ends) == 0 {
			continue
		}
		entry := Entry{
			Request:     f.String(),
			Description: r.description,
			Ends:        len(r.ends),
			State:       r.decision(now).String(),
			Since:       r.ends[0].at,
			Until:       r.last().Add(r.lifetime()),
			Refusals:    r.refusals,
		}
		if r.decision(now) == Refused {
			entry.Until = r.until()
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Ends, a.Ends), cmp.Compare(a.Request, b.Request))
	})
	return entries
}
