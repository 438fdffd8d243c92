package evaluator

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// periodTime is the resolution of the windows that the tests compare.
	periodTime = time.Second
	// maxPeriods is the number of periods kept apart. Older ones are merged.
	maxPeriods = 64
	// recentPeriods is the number of periods that give the present rate of calls, and
	// in which calls have to be answered for the share to grow.
	recentPeriods = 4
	// repeatTime is how long the hashes of a node's reports are kept to detect
	// repeated ones.
	repeatTime = 10 * time.Second
	// allRoutes is the name of the tests over all routes in reasons.
	allRoutes = "all routes"
)

// A tally sums the samples of one version on one route.
type tally struct {
	calls    int
	failures int
	// latency is the sum of latencies, and squares the sum over reports of their
	// squared sum by their number of responses, in seconds and their squares.
	latency float64
	squares float64
	reports int
}

func (t *tally) answered() int {
	return t.calls - t.failures
}

func (t *tally) add(o tally) {
	t.calls += o.calls
	t.failures += o.failures
	t.latency += o.latency
	t.squares += o.squares
	t.reports += o.reports
}

// A pair holds the tallies of the old and of the new version.
type pair [2]tally

// A period holds the samples that arrived within periodTime of its start, by route.
type period struct {
	start  time.Time
	routes map[string]*pair
	// calls counts the calls to the old and to the new version, and expected the calls
	// that the share lets expect for the new one.
	calls    [2]int
	expected float64
}

func newPeriod(start time.Time) *period {
	return &period{
		start:  start,
		routes: map[string]*pair{},
	}
}

func (p *period) pair(route string) *pair {
	if p.routes[route] == nil {
		p.routes[route] = &pair{}
	}
	return p.routes[route]
}

type reportID struct {
	node string
	hash [sha256.Size]byte
}

// evidence holds the samples of a roll-out by their time of arrival, as nodes have no
// common clock.
type evidence struct {
	periods []*period
	routes  []string
	// seen holds the reports of the last repeatTime with their times of arrival.
	seen map[reportID]time.Time
	// first is the time of the first sample, zero if there is none.
	first time.Time
	// firstNew is the time of the first sample of the new version.
	firstNew time.Time
	// total and expected are the sums of calls and expected over all periods.
	total    [2]int
	expected float64
}

func newEvidence() *evidence {
	return &evidence{
		seen: map[reportID]time.Time{},
	}
}

// add adds a report whose calls were made while the new version had at least the
// given share.
func (v *evidence) add(node string, samples []Sample, share float64, now time.Time) {
	v.advance(now)
	if v.isRepeated(node, samples, now) {
		return
	}
	current := v.periods[len(v.periods)-1]
	for _, s := range samples {
		if s.Calls <= 0 || s.Failures < 0 || s.Failures > s.Calls || s.LatencySum < 0 {
			continue
		}
		if v.first.IsZero() {
			v.first = now
		}
		if at, ok := slices.BinarySearch(v.routes, s.Route); !ok {
			v.routes = slices.Insert(v.routes, at, s.Route)
		}
		t := tally{
			calls:    s.Calls,
			failures: s.Failures,
		}
		if t.answered() > 0 {
			t.latency = s.LatencySum.Seconds()
			t.squares = t.latency * t.latency / float64(t.answered())
			t.reports = 1
		}
		version := 0
		if s.New {
			version = 1
			if v.firstNew.IsZero() {
				v.firstNew = now
			}
		}
		current.pair(s.Route)[version].add(t)
		v.total[version] += s.Calls
		v.expected += share * float64(s.Calls)
		current.calls[version] += s.Calls
		current.expected += share * float64(s.Calls)
	}
}

// advance begins a new period when the last one has ended.
func (v *evidence) advance(now time.Time) {
	n := len(v.periods)
	if n > 0 && now.Sub(v.periods[n-1].start) < periodTime {
		return
	}
	for id, at := range v.seen {
		if now.Sub(at) > repeatTime {
			delete(v.seen, id)
		}
	}
	v.periods = append(v.periods, newPeriod(now))
	if len(v.periods) <= maxPeriods {
		return
	}
	for route, p := range v.periods[0].routes {
		merged := v.periods[1].pair(route)
		merged[0].add(p[0])
		merged[1].add(p[1])
	}
	v.periods = slices.Delete(v.periods, 0, 1)
}

// isRepeated reports whether the node sent the same report before. Reports without a
// latency may be equal by chance and are never taken as repeated.
func (v *evidence) isRepeated(node string, samples []Sample, now time.Time) bool {
	var content []byte
	distinct := false
	for _, s := range samples {
		distinct = distinct || s.LatencySum > 0
		content = append(content, s.Route...)
		content = append(content, 0)
		content = strconv.AppendBool(content, s.New)
		for _, figure := range []int{s.Calls, s.Failures, int(s.LatencySum), s.Slow} {
			content = binary.AppendVarint(content, int64(figure))
		}
	}
	if !distinct {
		return false
	}
	id := reportID{
		node: node,
		hash: sha256.Sum256(content),
	}
	at, ok := v.seen[id]
	v.seen[id] = now
	return ok && now.Sub(at) <= repeatTime
}

// recent returns the calls to the old and to the new version of the last periods, the
// calls expected for the new one, and the start of these periods.
func (v *evidence) recent() (calls [2]int, expected float64, start time.Time) {
	last := v.periods[max(len(v.periods)-recentPeriods, 0):]
	for _, p := range last {
		calls[0] += p.calls[0]
		calls[1] += p.calls[1]
		expected += p.expected
	}
	return calls, expected, last[0].start
}

// A finding is the result of the test that speaks most against the new version.
type finding struct {
	score float64
	route string
	what  string
	calls int
}

func (f finding) String() string {
	return fmt.Sprintf("%s, %s: score %.1f in %d calls", f.what, f.route, f.score, f.calls)
}

func (f *finding) consider(score float64, route, what string, calls int) {
	if calls >= manyCalls && score >= manyCallsScore {
		score = max(score, rollBackScore)
	}
	if score <= f.score {
		return
	}
	*f = finding{
		score: score,
		route: route,
		what:  what,
		calls: calls,
	}
}

// worst returns the finding with the highest score, over all windows that end now.
func (v *evidence) worst() finding {
	var worst finding
	window := make([]pair, len(v.routes))
	for i := len(v.periods) - 1; i >= 0; i-- {
		if len(v.periods[i].routes) == 0 {
			continue
		}
		for j, route := range v.routes {
			if p := v.periods[i].routes[route]; p != nil {
				window[j][0].add(p[0])
				window[j][1].add(p[1])
			}
		}
		cold := v.firstNew.IsZero() || v.periods[i].start.Before(v.firstNew.Add(warmUpTime))
		v.test(window, len(v.periods)-i, cold, &worst)
	}
	return worst
}

// test makes the tests on one window: failures and latency, on each route and on all.
func (v *evidence) test(window []pair, periods int, cold bool, worst *finding) {
	var sum pair
	for j := range window {
		sum[0].add(window[j][0])
		sum[1].add(window[j][1])
	}
	prior := sum[0].failureShare(priorFailures)
	var failures, total float64
	var latencies comparison
	for j := range window {
		old, added := &window[j][0], &window[j][1]
		if added.calls == 0 {
			continue
		}
		usual := old.failureShare(prior)
		failures += usual * float64(added.calls)
		total += float64(added.calls)
		tolerated := tolerance(sum[1].failures-added.failures, sum[1].calls-added.calls, prior)
		worst.consider(failureScore(added.failures, added.calls, usual, tolerated), v.routes[j], "failures", added.calls)
		c := compareLatency(old, added)
		worst.consider(c.score(periods, cold), v.routes[j], "latency", c.calls)
		latencies.add(c)
	}
	if total > 0 {
		score := failureScore(sum[1].failures, sum[1].calls, failures/total, goodFailures)
		worst.consider(score, allRoutes, "failures", sum[1].calls)
	}
	worst.consider(latencies.score(periods, cold), allRoutes, "latency", latencies.calls)
}
