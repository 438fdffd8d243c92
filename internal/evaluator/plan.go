package evaluator

import (
	"math"
	"time"
)

const (
	// inForceDelay is the time after which a decision is in force at every node, and
	// minInForceDelay the time before which it is at none.
	inForceDelay    = 2 * time.Second
	minInForceDelay = time.Second
	// reportDelay is the time between the end of a call and the arrival of the
	// report that counts it: reports are sent once a second.
	reportDelay = 1500 * time.Millisecond
	// verdictReserve is the time between the verdict and the end of the duration:
	// inForceDelay and a reserve of a second.
	verdictReserve = 3 * time.Second
	// dropReserve is the time between the last share and the verdict. A share that
	// ends later would give calls whose reports arrive after the verdict.
	dropReserve     = 2500 * time.Millisecond
	shareResolution = 0.0001
	// droppedShare is the share between the last stage and the verdict. It is not 0,
	// to tell it from a roll-out that has not begun.
	droppedShare = shareResolution
	// maxPeakTime and minPeakTime bound the duration of the highest share.
	maxPeakTime = 5 * time.Second
	minPeakTime = 1500 * time.Millisecond
	// jitter is the time by which a share may last longer than planned on average
	// over the nodes.
	jitter = 400 * time.Millisecond
	// stageTime is the least time between two changes of the share.
	stageTime = 3 * time.Second
	// firstReports is how long reports have to arrive before the share grows, so that
	// every node has reported.
	firstReports = time.Second

	// The initial share is such that a version at it for the whole duration gets the
	// calls of 0.8 s, within the bounds: a few percent, and enough calls to judge by.
	initialTime     = 0.8
	minInitialShare = 0.03
	maxInitialShare = 0.08
	// singlePart is the part of the calls in the duration, and maxSingleShare the
	// greatest share, that a version gets if the duration is too short for a second
	// stage. A few percent would give too few calls to judge by.
	singlePart     = 0.08
	maxSingleShare = 0.2
	// maxPeakShare leaves the old version enough calls to compare with.
	maxPeakShare = 0.5
	// minGrowth is the least factor by which the share grows, as each change is a
	// change of the configuration.
	minGrowth = 1.25

	// A bad version may get 10% of the calls of the service and 50. The plan uses 90%
	// of the first, as the delays vary and reports may be lost, 45 of the second, and
	// takes 70% of the mean rate as the forecast for the rest of the duration. It leaves
	// chanceReserve standard deviations of the number of calls, as nodes pick the
	// version of each call at random.
	allowedShare   = 0.09
	allowedCalls   = 45
	chanceReserve  = 1.5
	forecastFactor = 0.7
	// middlePart is the part of the allowance that may be used before the peak.
	middlePart = 0.5
)

func (e *Evaluator) end() time.Time {
	return e.order.Started.Add(e.order.Duration)
}

// verdictTime returns the time of the verdict if there is no earlier one. Very short
// durations are divided, as they cannot contain the reserve.
func (e *Evaluator) verdictTime() time.Time {
	return e.end().Add(-min(verdictReserve, e.order.Duration/2))
}

func (e *Evaluator) initialShare() float64 {
	duration := e.order.Duration.Seconds()
	held := e.dropTime().Sub(e.order.Started)
	if held < stageTime+minPeakTime {
		return roundShare(min(singlePart*duration/(held+jitter).Seconds(), maxSingleShare))
	}
	return roundShare(min(max(initialTime/duration, minInitialShare), maxInitialShare))
}

// dropTime returns the time at which the share drops to wait for the verdict.
func (e *Evaluator) dropTime() time.Time {
	drop := e.verdictTime().Add(-dropReserve)
	if least := e.order.Started.Add(inForceDelay); drop.Before(least) {
		return least
	}
	return drop
}

// plannedShare returns the share of the stage that begins now, or 0 if none does. It
// is such that the new version stays within the allowance if all stages take place and
// a verdict against it comes at the verdict time.
func (e *Evaluator) plannedShare(now time.Time) float64 {
	first := e.evidence.first
	if first.IsZero() || now.Sub(first) < firstReports || now.Sub(e.changed) < stageTime {
		return 0
	}
	drop := e.dropTime()
	peak := drop.Add(-maxPeakTime)
	rate, allowance, used := e.exposure(now)
	if now.Before(peak) {
		if now.Add(stageTime).After(peak) {
			return 0
		}
		held := (peak.Sub(now) + jitter).Seconds()
		return roundShare((middlePart*allowance - used) / (rate * held))
	}
	if now.Add(minPeakTime).After(drop) {
		return 0
	}
	held := (drop.Sub(now) + jitter).Seconds()
	return roundShare((allowance - used) / (rate * held))
}

// exposure returns the greater of the present and the mean rate of calls, the calls that the new version
// may get in the whole duration, and those that it gets until a new share is in force.
func (e *Evaluator) exposure(now time.Time) (rate, allowance, used float64) {
	first := e.evidence.first.Add(-reportDelay)
	seen := max(now.Sub(first)-reportDelay/2, firstReports).Seconds()
	old, added := float64(e.evidence.total[0]), float64(e.evidence.total[1])
	mean := (old + added) / seen
	recent, _, start := e.evidence.recent()
	present := float64(recent[0]+recent[1]) / max(now.Sub(start), periodTime).Seconds()
	rate = max(mean, present)
	unseen := max(first.Sub(e.order.Started).Seconds(), 0)
	rest := max(e.end().Sub(now).Seconds(), 0)
	total := old + added + mean*unseen + forecastFactor*mean*rest
	used = added + rate*e.current.Share*(reportDelay+minInForceDelay).Seconds()
	if e.tookOver {
		used += rate * e.current.Share * unseen
	}
	allowance = allowedShare*total + allowedCalls
	rate += (math.Sqrt(old+added) + 1) / seen // as few calls give a low rate by chance
	return rate, allowance - chanceReserve*math.Sqrt(allowance), used
}

// roundShare rounds down to the resolution of shares and limits them.
func roundShare(share float64) float64 {
	return math.Floor(min(max(share, 0), maxPeakShare)/shareResolution) * shareResolution
}
