package target

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

const (
	// ownLoadTTL is how long the load that a target reports of itself is used.
	ownLoadTTL = 200 * time.Millisecond
	// maxExcess bounds by how much a target's own report may raise the load that its
	// node counts. Calls that were given up may still run at the target, but a target
	// that misreports must not get rid of all calls.
	maxExcess = 0.5
)

// ownLoad is the load that a target last reported of itself.
type ownLoad struct {
	lock sync.Mutex
	load fireflymoor.TargetLoad
	at   time.Time
	// paced is set once the target has reported its pace.
	paced bool
}

// record records the load that came with a response.
func (o *ownLoad) record(load fireflymoor.TargetLoad, now time.Time) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.load = load
	o.at = now
	o.paced = o.paced || load.Pace > 0
}

// current returns the last load, or the zero value if it is too old.
func (o *ownLoad) current(now time.Time) fireflymoor.TargetLoad {
	o.lock.Lock()
	defer o.lock.Unlock()
	if now.Sub(o.at) > ownLoadTTL {
		return fireflymoor.TargetLoad{}
	}
	return o.load
}

func (o *ownLoad) hasPace() bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.paced
}

// isEven reports whether the calls of the target are balanced evenly.
func (t *localTarget) isEven(balance fireflymoor.Balance) bool {
	return balance == fireflymoor.BalanceEven || balance == fireflymoor.BalanceAuto && t.own.hasPace()
}

// report returns the target's load without a number of calls that are about to end.
// The node's counts are combined with the target's own report.
func (t *localTarget) report(ending int, now time.Time) fireflymoor.LoadReport {
	load, hold := t.limiter.Report(ending)
	report := fireflymoor.LoadReport{
		Load: load,
		Hold: hold,
		Pace: 1,
	}
	own := t.own.current(now)
	if own.Slots > 0 {
		counted := float64(own.Running+own.Waiting-ending) / float64(own.Slots)
		report.Load = max(load, min(counted, load+maxExcess))
	}
	if own.Pace > 0 {
		report.Pace = own.Pace
	}
	return report
}

// addReport adds to the error of a refused call what the caller's node can use for
// its next choice.
func (s *Server) addReport(t *localTarget, err error) {
	busy := &fireflymoor.BusyError{}
	if !errors.As(err, &busy) {
		return
	}
	if busy.Limit, _ = t.limit.state(); busy.Limit > 0 {
		s.metrics.observeLimitRefusal()
	}
	if !t.isEven(s.registry.balance()) {
		return
	}
	report := t.report(0, time.Now())
	busy.Report = &report
	if s.findNeighbor != nil {
		busy.Neighbor = s.findNeighbor(t.announcement.Service)
	}
	s.metrics.observeRefusal(busy.Neighbor != "")
}

// Load returns the current load of a target of this instance. It reports false if
// the target is not announced here.
func (s *Server) Load(id string) (float64, bool) {
	now := time.Now()
	t, err := s.registry.find(id, now)
	if err != nil {
		return 0, false
	}
	return t.report(0, now).Load, true
}

// UseNeighbors makes the server name neighbors when it refuses calls. The function
// returns the id of a target of a service, at another node of the zone, that is known
// to have a free slot, or an empty string. UseNeighbors must be called before Forward.
func (s *Server) UseNeighbors(find func(service string) string) {
	s.findNeighbor = find
}

// balance returns how nodes choose the targets of calls.
func (r *Registry) balance() fireflymoor.Balance {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.configuration.Limits().Balance
}
