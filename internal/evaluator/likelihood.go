package evaluator

import (
	"math"
	"time"
)

const (
	// goodFailures and badFailures are the shares of calls that fail in addition to
	// those that fail at the old version: at most for a good version, of which one
	// target in five may fail half of its calls, and at least for a bad one.
	goodFailures = 0.10
	badFailures  = 0.28
	// goodRouteFailures replaces goodFailures for one route if the other routes, with
	// minOtherCalls calls or more, have no additional failures.
	goodRouteFailures = 0.04
	minOtherCalls     = 20
	// coldSlowness and badColdSlowness are the ratios of mean latencies: at most for a
	// good version, whose cold targets take twice as long for their work, and at
	// least for a bad one, which takes three times as long for it. The latency
	// contains more than the work.
	coldSlowness    = 1.9
	badColdSlowness = 2.8
	// goodSlowness and badSlowness are the same ratios for samples that arrive more
	// than warmUpTime after the first call to the new version.
	goodSlowness = 1.5
	badSlowness  = 2.5
	warmUpTime   = 10 * time.Second
	// minFailures is the number of failures below which there is no evidence. Two of
	// two calls fail by chance on one of many routes and windows.
	minFailures = 3
	// priorFailures is the share of failures of a version without calls, and
	// priorCalls the number of calls that outweighs a prior share.
	priorFailures = 0.01
	priorCalls    = 10
	// minLatencies is the number of responses of each version from which latencies
	// are compared.
	minLatencies = 8
	// minVariation is the least squared coefficient of variation of latencies, and
	// unknownVariation the least one if fewer than minReports reports show it.
	minVariation     = 0.16
	unknownVariation = 1
	minReports       = 6
	// targetVariance is the variance of the logarithm of the ratio that remains with
	// any number of calls in one period, as targets are slow for a second at times.
	// It falls with the number of periods to minTargetVariance.
	targetVariance    = 0.04
	minTargetVariance = 0.006
	// shortWindowHandicap is deducted from the score of a window of one period, and a
	// part of it from longer ones: the sum of one second's latencies is far from
	// normal if a few targets are slow.
	shortWindowHandicap = 3
)

// failureShare returns the share of calls that fail, drawn towards the prior share.
func (t *tally) failureShare(prior float64) float64 {
	return (float64(t.failures) + prior*priorCalls) / float64(t.calls+priorCalls)
}

// tolerance returns the share of calls on one route that may fail at a good version in
// addition to the usual one. A faulty target also fails calls on the other routes, of
// which the given number failed.
func tolerance(failures, calls int, usual float64) float64 {
	if calls < minOtherCalls {
		return goodFailures
	}
	others := float64(failures+1)/float64(calls) - usual // few calls show less
	return min(max(others, 0)+goodRouteFailures, goodFailures)
}

// failureScore returns the logarithm of the likelihood ratio of a bad to a good version
// of which some calls fail, given the share that usually fails and the one that is
// tolerated in addition.
func failureScore(failures, calls int, usual, tolerated float64) float64 {
	if failures < minFailures {
		return 0
	}
	share := float64(failures) / float64(calls)
	good := usual + (1-usual)*tolerated
	bad := usual + (1-usual)*badFailures
	return float64(calls) * (divergence(share, min(share, good)) - divergence(share, max(share, bad)))
}

// divergence returns the Kullback-Leibler divergence of two Bernoulli distributions.
func divergence(p, q float64) float64 {
	d := 0.0
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}

// A comparison holds the sum of latencies of the new version in seconds, the sum
// expected from the old version's mean, and their variances.
type comparison struct {
	calls            int
	observed         float64
	expected         float64
	observedVariance float64
	expectedVariance float64
}

func (c *comparison) add(o comparison) {
	c.calls += o.calls
	c.observed += o.observed
	c.expected += o.expected
	c.observedVariance += o.observedVariance
	c.expectedVariance += o.expectedVariance
}

// compareLatency compares the latencies of one route, or returns the zero comparison
// if the old version has too few responses.
func compareLatency(old, added *tally) comparison {
	if old.answered() < minLatencies || added.answered() == 0 || old.latency == 0 {
		return comparison{}
	}
	n, m := float64(added.answered()), float64(old.answered())
	expected := n * old.latency / m
	oldVariation := old.variation()
	addedVariation := max(added.variation(), oldVariation)
	return comparison{
		calls:            added.answered(),
		observed:         added.latency,
		expected:         expected,
		observedVariance: addedVariation * added.latency * added.latency / n,
		expectedVariance: oldVariation * expected * expected / m,
	}
}

// variation returns the squared coefficient of variation of one call's latency, from
// the spread between reports.
func (t *tally) variation() float64 {
	if t.latency == 0 {
		return unknownVariation
	}
	n := float64(t.answered())
	mean := t.latency / n
	variance := 0.0
	if t.reports > 1 {
		variance = max(t.squares-t.latency*mean, 0) / float64(t.reports-1)
	}
	least := minVariation
	if t.reports < minReports {
		least = unknownVariation
	}
	return max(variance/(mean*mean), least)
}

// score returns the logarithm of the likelihood ratio of a bad to a good version, in a
// window of the given number of periods in which targets may be cold or not.
func (c *comparison) score(periods int, cold bool) float64 {
	if c.calls < minLatencies || c.observed == 0 || c.expected == 0 {
		return 0
	}
	good, bad := goodSlowness, badSlowness
	if cold {
		good, bad = coldSlowness, badColdSlowness
	}
	variance := max(targetVariance/float64(periods), minTargetVariance) +
		c.observedVariance/(c.observed*c.observed) + c.expectedVariance/(c.expected*c.expected)
	ratio := math.Log(c.observed / c.expected)
	overGood := max(ratio-math.Log(good), 0)
	underBad := max(math.Log(bad)-ratio, 0)
	return (overGood*overGood-underBad*underBad)/(2*variance) - shortWindowHandicap/float64(periods)
}
