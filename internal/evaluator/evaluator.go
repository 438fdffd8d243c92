// Package evaluator decides the traffic share and the verdict of a roll-out from the
// responses of the old and the new version. docs/design/roll-out-decisions.md gives
// the reasons for the stages and tests.
package evaluator

import (
	"fmt"
	"time"
)

// A State is the state of a roll-out.
type State string

// The states of a roll-out. Completed and RolledBack are final.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled-back"
)

const (
	// rollBackScore is the score from which a version is rolled back at once, and
	// manyCallsScore that in a window of at least manyCalls calls to the new version.
	// The limit on calls after the 50th bad response does not allow waiting for more,
	// and slow targets have less weight in such a window.
	rollBackScore  = 7
	manyCallsScore = 4
	manyCalls      = 50
	// verdictScore is the score from which a version is rolled back at the verdict
	// time.
	verdictScore = 2.5
	// reduceScore is the score from which the share is reduced to the initial one.
	reduceScore = 4
	// holdScore is the score from which the share does not grow.
	holdScore = 2
	// minExpectedCalls is the number of calls to the new version, expected from its
	// share, from which their absence is evidence.
	minExpectedCalls = 10
	// minFirstCalls is the same number before any call is answered, while nodes may
	// not yet have the share in force.
	minFirstCalls = 5
	// growthFactor is how many times fewer calls than expected have to be answered to
	// keep the share from growing.
	growthFactor = 2
	// missingFactor is how many times fewer calls than expected have to be answered
	// to roll back a version at the verdict time.
	missingFactor = 10
	// minUntriedCalls is the number of calls to a service from which a version that
	// was never tried is not completed.
	minUntriedCalls = 50
	// settleTime is how long an evaluator that is new or was not called for as long
	// collects samples before its verdict, if the duration allows it.
	settleTime = 2 * time.Second
)

// A Sample sums the calls of one node on one route to one version of a service since
// the node's last report.
type Sample struct {
	Route string
	// New is whether the calls went to the version that is rolled out.
	New bool
	// Calls counts the calls that ended, and Failures those that ended with a
	// failure. Retries are counted as calls of their own or not at all, but in the
	// same way for both versions.
	Calls    int
	Failures int
	// LatencySum is the sum of the times to the response over the calls that did not
	// fail.
	LatencySum time.Duration
	// Slow counts the calls that took over twice the usual time of the route, if it
	// is known. The decision does not use it, as cold targets have many such calls.
	Slow int
}

// An Order is an operator's order to roll out a version.
type Order struct {
	Service string
	Version string
	// Started is the time at which the order was recorded. The roll-out ends within
	// Duration of it.
	Started  time.Time
	Duration time.Duration
}

// A Decision is the state of a roll-out and the share of the service's calls, from 0
// to 1 in steps of 0.0001, that go to the new version. Reason explains it to operators.
type Decision struct {
	State  State
	Share  float64
	Reason string
}

// An Evaluator decides on one roll-out. It is not safe for concurrent use.
type Evaluator struct {
	order    Order
	current  Decision
	evidence *evidence
	// began is the time of the first call of Observe or Decide, or of the first one
	// after an interruption. called is that of the last call.
	began  time.Time
	called time.Time
	// changed is the time of the last decision, or began. previous is the share
	// before that decision.
	changed  time.Time
	previous float64
	// tookOver is whether another evaluator decided before this one.
	tookOver bool
}

// New returns an Evaluator that continues from the current decision, which is the
// zero Decision or one without a share if the roll-out has just been ordered.
func New(order Order, current Decision) *Evaluator {
	if current.State == "" {
		current.State = Running
	}
	return &Evaluator{
		order:    order,
		current:  current,
		previous: current.Share,
		evidence: newEvidence(),
		tookOver: current.Share > 0,
	}
}

// Observe adds the samples of one report of a node, in the order in which the node
// sent them. It ignores samples with impossible counts, and a report that equals one
// of the last 10 s from the same node to the nanosecond of its latencies.
func (e *Evaluator) Observe(node string, samples []Sample, now time.Time) {
	e.begin(now)
	e.evidence.add(node, samples, e.settledShare(now), now)
}

// Decide returns the decision at the given time, and whether it differs from the one
// before. It has to be called several times a second, also without samples. The
// Evaluator takes a returned decision as current. If it could not be recorded,
// continue with a new Evaluator and the recorded decision.
func (e *Evaluator) Decide(now time.Time) (Decision, bool) {
	if e.current.State != Running {
		return e.current, false
	}
	e.begin(now)
	e.evidence.advance(now)
	next := e.next(now)
	if next.State == e.current.State && next.Share == e.current.Share {
		return e.current, false
	}
	e.previous = e.current.Share
	e.changed = now
	e.current = next
	return next, true
}

// begin notes the time of a call. After an interruption, such as a suspension of the
// process, the evidence is old and the verdict waits for new samples.
func (e *Evaluator) begin(now time.Time) {
	if e.began.IsZero() {
		e.changed = now
	}
	if e.began.IsZero() || now.Sub(e.called) >= settleTime {
		e.began = now
	}
	e.called = now
}

// settledShare returns the share that applied everywhere to the calls of the reports
// that arrive now.
func (e *Evaluator) settledShare(now time.Time) float64 {
	if now.Sub(e.changed) < inForceDelay+reportDelay {
		return min(e.previous, e.current.Share)
	}
	return e.current.Share
}

func (e *Evaluator) next(now time.Time) Decision {
	worst := e.evidence.worst()
	if worst.score >= rollBackScore {
		return rolledBack(worst.String())
	}
	if e.isVerdictDue(now) {
		return e.verdict(worst)
	}
	if !now.Before(e.dropTime()) {
		if e.current.Share <= droppedShare {
			return e.current
		}
		return Decision{
			State:  Running,
			Share:  droppedShare,
			Reason: "waits for the last reports",
		}
	}
	if e.current.Share == 0 {
		return Decision{
			State:  Running,
			Share:  e.initialShare(),
			Reason: "initial share",
		}
	}
	if initial := e.initialShare(); worst.score >= reduceScore && e.current.Share > initial {
		return Decision{
			State:  Running,
			Share:  initial,
			Reason: worst.String(),
		}
	}
	share := e.plannedShare(now)
	if worst.score >= holdScore || share < e.current.Share*minGrowth || e.isUnanswered() {
		return e.current
	}
	return Decision{
		State:  Running,
		Share:  share,
		Reason: fmt.Sprintf("no evidence against it in %d calls", e.evidence.total[1]),
	}
}

// isVerdictDue reports whether the verdict time has come. An evaluator that has just
// begun waits for samples unless that would exceed the duration.
func (e *Evaluator) isVerdictDue(now time.Time) bool {
	if now.Before(e.verdictTime()) {
		return false
	}
	if now.Sub(e.began) >= settleTime {
		return true
	}
	end := e.end()
	return !now.Before(end.Add(-inForceDelay)) && now.Before(end)
}

// verdict completes the roll-out unless something speaks against the new version.
func (e *Evaluator) verdict(worst finding) Decision {
	if worst.score >= verdictScore {
		return rolledBack(worst.String())
	}
	calls := e.evidence.total
	if isMissing(missingFactor, calls[1], e.evidence.expected) {
		return rolledBack(fmt.Sprintf("%d calls answered, %.0f expected", calls[1], e.evidence.expected))
	}
	if e.current.Share == 0 && calls[0] >= minUntriedCalls {
		return rolledBack("not tried")
	}
	return Decision{
		State:  Completed,
		Share:  1,
		Reason: fmt.Sprintf("no evidence against it in %d calls", calls[1]),
	}
}

// isUnanswered reports whether calls to the new version are not answered as expected,
// which holds the share: a version that is much slower is first seen by this.
func (e *Evaluator) isUnanswered() bool {
	calls, expected, _ := e.evidence.recent()
	total := e.evidence.total
	if total[1] == 0 && float64(total[0])*e.current.Share >= minFirstCalls {
		return true
	}
	return isMissing(growthFactor, calls[1], expected)
}

// isMissing reports whether the calls answered by the new version are the given
// factor fewer than expected from its share.
func isMissing(factor, calls int, expected float64) bool {
	return expected >= minExpectedCalls && float64(calls*factor) < expected
}

func rolledBack(reason string) Decision {
	return Decision{
		State:  RolledBack,
		Reason: reason,
	}
}
