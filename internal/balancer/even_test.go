package balancer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
)

// maxNeedless is the accepted share of calls that wait while a target of the same
// service in the zone has a free slot.
const maxNeedless = 0.02

// observedLoad is the load of the busiest service of the deployment in which uneven
// load was observed. Nested calls hold slots longer than the work alone.
var observedLoad = modelOptions{
	seed:      1,
	targets:   []int{12, 12, 11},
	choosers:  []int{30, 30, 30},
	perSecond: 590,
	work:      280 * time.Millisecond,
	nested:    400 * time.Millisecond,
	duration:  25 * time.Second,
}

// measureBoth measures a load with two choices and with the even balancer.
func measureBoth(t *testing.T, options modelOptions) (twoChoices, even *modelResult) {
	t.Helper()
	options.even = false
	twoChoices = newModel(options).measure()
	options.even = true
	even = newModel(options).measure()
	t.Logf("two choices: %v", twoChoices)
	t.Logf("even:        %v", even)
	return twoChoices, even
}

// TestObservedLoad runs the observed load with nested calls that take longer and
// longer, which take up to 86% of the slots. Calls must hardly wait while another
// target has a free slot, and the utilization of the targets must be more even than
// with two choices.
func TestObservedLoad(t *testing.T) {
	for _, nested := range []time.Duration{0, 250 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(nested.String(), func(t *testing.T) {
			is := is.New(t)
			options := observedLoad
			options.nested = nested
			twoChoices, even := measureBoth(t, options)
			is.True(even.share(even.needless) < maxNeedless)
			is.True(even.variation < 0.9*twoChoices.variation)
			is.True(even.wait(0.99) <= max(twoChoices.wait(0.99)/2, 2*modelTransit))
		})
	}
}

// TestHerding has many choosers call few targets, so that all of them know which
// target was idle a moment ago. They must not overload it in turn.
func TestHerding(t *testing.T) {
	is := is.New(t)
	options := observedLoad
	options.targets = []int{3, 2, 2}
	options.perSecond = 118
	_, even := measureBoth(t, options)
	is.True(even.share(even.needless) < maxNeedless)
}

// TestStaleIdleReports delays all reports by a second, so that a target that reports
// to be idle may have filled up since.
func TestStaleIdleReports(t *testing.T) {
	is := is.New(t)
	options := observedLoad
	options.reportDelay = time.Second
	_, even := measureBoth(t, options)
	is.True(even.share(even.needless) < maxNeedless)
}

// TestMisreportingTargets has two of the targets of a zone misreport their loads. One
// claims to be idle and fast, the other one to be full and slow. Calls must not wait
// at the first, and the second must get some calls.
func TestMisreportingTargets(t *testing.T) {
	is := is.New(t)
	options := observedLoad
	options.even = true
	options.change = func(m *model) {
		m.targets[0].misreport = func(fireflymoor.LoadReport) fireflymoor.LoadReport {
			return fireflymoor.LoadReport{Hold: time.Millisecond, Pace: 0.01}
		}
		m.targets[1].misreport = func(report fireflymoor.LoadReport) fireflymoor.LoadReport {
			return fireflymoor.LoadReport{Load: 1, Hold: report.Hold, Pace: 100}
		}
	}
	m := newModel(options)
	even := m.measure()
	t.Logf("even: %v; calls of the targets: %d idle, %d full, %d honest", even, m.targets[0].calls, m.targets[1].calls, m.targets[2].calls)
	is.True(even.share(even.needless) < maxNeedless)
	is.True(even.share(even.redirected) < 0.2) // calls do not return to a target that sent them back
	is.True(m.targets[1].calls > 0)
}

// TestColdTarget adds a target that is slow for its first three seconds. No more
// calls may wait than without it, and it must get its share of the calls later.
func TestColdTarget(t *testing.T) {
	is := is.New(t)
	options := observedLoad
	var cold *modelTarget
	options.change = func(m *model) {
		m.at(warmUp, func() {
			cold = m.addTarget(zoneName(0), options.targets[0])
			cold.coldUntil = m.now.Add(3 * time.Second)
		})
	}
	_, even := measureBoth(t, options)
	is.True(even.share(even.needless) < maxNeedless)
	is.True(cold.calls > even.calls/36/4)
}

// TestDrainingTargets drains three targets of a zone, which the other nodes learn a
// second later. No call may fail or wait for it.
func TestDrainingTargets(t *testing.T) {
	is := is.New(t)
	options := observedLoad
	options.nested = 250 * time.Millisecond
	options.change = func(m *model) {
		m.at(warmUp, func() {
			for _, target := range m.targets[:3] {
				target.draining = true
			}
		})
		m.at(warmUp+time.Second, func() { m.targets = m.targets[3:] })
	}
	_, even := measureBoth(t, options)
	is.True(even.share(even.needless) < maxNeedless)
	is.Equal(even.failed, 0)
}

// TestZonesOfUnequalCapacity gives one zone fewer targets than its calls need. Its
// calls must use the slots of other zones, and hardly any calls of the larger zones
// may leave theirs.
func TestZonesOfUnequalCapacity(t *testing.T) {
	is := is.New(t)
	options := observedLoad
	options.targets = []int{15, 12, 8}
	twoChoices, even := measureBoth(t, options)
	is.True(even.share(even.needless) < maxNeedless)
	is.True(even.share(even.otherZone) < twoChoices.share(twoChoices.otherZone)*1.2)
}

// TestChoosersWithFewCalls spreads the calls over ten times the choosers, each of
// which hears of a target about every twenty seconds.
func TestChoosersWithFewCalls(t *testing.T) {
	is := is.New(t)
	options := observedLoad
	options.choosers = []int{300, 300, 300}
	_, even := measureBoth(t, options)
	is.True(even.share(even.needless) < maxNeedless)
}

// TestOverloadHasNoRedirection offers a third more calls than all targets serve. No
// target has a free slot then, so that calls that are sent back only use the links.
func TestOverloadHasNoRedirection(t *testing.T) {
	is := is.New(t)
	options := observedLoad
	options.perSecond = 1000
	twoChoices, even := measureBoth(t, options)
	is.True(even.share(even.redirected) < 0.1)
	is.True(even.share(even.failed) < twoChoices.share(twoChoices.failed)*1.1)
}
