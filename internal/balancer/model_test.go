package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
)

const (
	modelService = "service"
	modelSlots   = 18
	// modelTransit is the time of a message from one node to another.
	modelTransit = 2 * time.Millisecond
	// modelTries is how many targets a call may be sent to.
	modelTries = 3
	// modelMaxWait is the longest wait in a queue of a call that may be sent back.
	modelMaxWait = 5 * time.Millisecond
	// modelLateWait is the wait above which the node of a target refuses a call.
	modelLateWait = 200 * time.Millisecond
	// holdDivisor divides the newest call's part of the mean hold time.
	holdDivisor = 10
	// slowFactor is how many times longer a call takes that begins while its target
	// is slow for slowTime. A target is slow for slowShare of the time.
	slowFactor = 2.5
	slowTime   = 600 * time.Millisecond
	slowPause  = 3400 * time.Millisecond
	// coldFactor is how many times longer calls take at a cold target.
	coldFactor = 4
	// The model counts calls from warmUp on. It samples utilization each
	// sampleTime and averages it over windowSamples.
	warmUp        = 10 * time.Second
	sampleTime    = 50 * time.Millisecond
	windowSamples = 20
)

// modelOptions describe one run of the model.
type modelOptions struct {
	seed uint64
	// targets and choosers are the numbers in each zone.
	targets, choosers []int
	// perSecond is the number of calls a second.
	perSecond float64
	// work is the mean time of the work of a call at the usual speed, and nested the
	// mean time for which it then holds its slot while it waits for a nested call.
	work, nested time.Duration
	duration     time.Duration
	// even selects the even balancer with redirection instead of two choices.
	even bool
	// reportDelay is how long reports of loads are on their way in addition.
	reportDelay time.Duration
	// change alters the targets before the run.
	change func(m *model)
}

// modelEvent is something that happens at a time. Events of the same time happen
// in the order in which they were added.
type modelEvent struct {
	at       time.Time
	sequence int
	do       func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }

func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelTarget is a target with the queue of its node.
type modelTarget struct {
	fireflymoor.Target

	speed    float64
	slow     bool
	draining bool
	// coldUntil is until when calls take longer by coldFactor.
	coldUntil time.Time
	// misreport alters the target's reports, or is nil.
	misreport func(report fireflymoor.LoadReport) fireflymoor.LoadReport
	running   int
	waiting   []*modelCall
	// hold is the moving average of the time for which calls hold a slot.
	hold time.Duration
	// calls counts the calls that were served after warmUp.
	calls int
	// busy sums the utilization of the samples of a window.
	busy float64
}

// modelCall is a call on its way to a target.
type modelCall struct {
	chooser *modelChooser
	work    time.Duration
	nested  time.Duration
	tried   []*modelTarget
	// arrivedAt is when the call first reached a target's node.
	arrivedAt time.Time
	counted   bool
	// queued is set if the call waited in a queue, and needless if a target of the
	// zone had a free slot meanwhile.
	queued, needless bool
	mayRedirect      bool
	// sentAt is when the call was last sent.
	sentAt time.Time
	end    func()
}

// modelChooser is a node that chooses targets for its callers.
type modelChooser struct {
	node     string
	zone     string
	tracker  *tracker.Tracker
	refusals *retrier.RefusalRate
	// draining has the targets that refused a call because they are draining.
	draining []*modelTarget
}

// modelResult is what a run measures.
type modelResult struct {
	calls, queued, needless, redirected, otherZone, failed int
	waits                                                  []time.Duration
	// utilization is the mean of all samples, and variation the mean over windows of
	// the coefficient of variation among the targets.
	utilization, variation float64
	busiest                float64
}

func (r *modelResult) share(n int) float64 {
	return float64(n) / float64(max(r.calls, 1))
}

func (r *modelResult) wait(quantile float64) time.Duration {
	return r.waits[int(quantile*float64(len(r.waits)-1))].Round(100 * time.Microsecond)
}

// String returns the measures on one line.
func (r *modelResult) String() string {
	return fmt.Sprintf("utilization %.2f, waited while a slot was free %.4f, waited %.4f, refused %.4f, redirected %.3f, left the zone %.3f, variation %.3f, busiest/mean %.2f, wait p50 %v p99 %v p99.9 %v",
		r.utilization, r.share(r.needless), r.share(r.queued), r.share(r.failed), r.share(r.redirected), r.share(r.otherZone), r.variation, r.busiest,
		r.wait(0.5), r.wait(0.99), r.wait(0.999))
}

// model is a run of choosers and targets on a clock of its own.
type model struct {
	modelOptions

	rng      *rand.Rand
	now      time.Time
	start    time.Time
	end      time.Time
	balancer fireflymoor.Balancer
	sequence int
	events   modelEvents
	targets  []*modelTarget
	choosers []*modelChooser
	result   modelResult
	// samples and windows count those of utilization.
	samples, windows int
}

func zoneName(i int) string {
	return string(rune('a' + i))
}

func newModel(options modelOptions) *model {
	m := &model{
		modelOptions: options,
		rng:          rand.New(rand.NewPCG(options.seed, 1)),
		start:        time.Unix(1000, 0),
		balancer:     balancer.NewTwoChoices(),
	}
	if options.even {
		m.balancer = balancer.NewEven()
	}
	m.now = m.start
	m.end = m.start.Add(options.duration)
	for zone, count := range options.choosers {
		for i := range count {
			m.choosers = append(m.choosers, &modelChooser{
				node:     fmt.Sprint(zoneName(zone), i),
				zone:     zoneName(zone),
				tracker:  tracker.New(fmt.Sprint(zoneName(zone), i), zoneName(zone)),
				refusals: retrier.NewRefusalRate(),
			})
		}
	}
	for zone, count := range options.targets {
		for i := range count {
			m.addTarget(zoneName(zone), i)
		}
	}
	if options.change != nil {
		options.change(m)
	}
	return m
}

// addTarget adds a target on the node with a number in a zone.
func (m *model) addTarget(zone string, number int) *modelTarget {
	node := fmt.Sprint(zone, number)
	t := &modelTarget{
		Target: fireflymoor.Target{
			ID:      node + "/t",
			Service: modelService,
			Node:    node,
			Zone:    zone,
			Slots:   modelSlots,
		},
		speed: 0.55 + 0.65*m.rng.Float64(),
	}
	m.targets = append(m.targets, t)
	m.at(m.exponential(slowPause), func() { m.slowDown(t) })
	return t
}

func (m *model) at(after time.Duration, do func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{
		at:       m.now.Add(after),
		sequence: m.sequence,
		do:       do,
	})
}

func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.rng.ExpFloat64() * float64(mean))
}

// slowDown makes a target slow for slowTime, again and again.
func (m *model) slowDown(t *modelTarget) {
	t.slow = true
	m.at(slowTime, func() {
		t.slow = false
		m.at(m.exponential(slowPause), func() { m.slowDown(t) })
	})
}

// measure runs the model and returns its measures.
func (m *model) measure() *modelResult {
	m.at(0, m.newCall)
	m.at(0, m.sample)
	for len(m.events) > 0 && !m.now.After(m.end) {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
	slices.Sort(m.result.waits)
	m.result.utilization /= float64(m.samples)
	m.result.variation /= float64(m.windows)
	most, all := 0, 0
	for _, t := range m.targets {
		most, all = max(most, t.calls), all+t.calls
	}
	m.result.busiest = float64(most*len(m.targets)) / float64(all)
	return &m.result
}

// newCall sends a call from a random chooser, and schedules the next one.
func (m *model) newCall() {
	if m.now.After(m.end) {
		return
	}
	m.at(m.exponential(time.Duration(float64(time.Second)/m.perSecond)), m.newCall)
	// Work is spread log-normally.
	const deviation = 0.5
	call := &modelCall{
		chooser: m.choosers[m.rng.IntN(len(m.choosers))],
		work:    time.Duration(float64(m.work) * math.Exp(deviation*m.rng.NormFloat64()-deviation*deviation/2)),
		nested:  m.exponential(m.nested),
		counted: m.now.Sub(m.start) > warmUp,
	}
	m.send(call)
}

// send sends a call to the target that its chooser picks.
func (m *model) send(call *modelCall) {
	pick, _ := m.balancer.Pick(m.candidates(call), m.now)
	index := slices.IndexFunc(m.targets, func(t *modelTarget) bool { return t.ID == pick.Target.ID })
	t := m.targets[index]
	call.tried = append(call.tried, t)
	call.mayRedirect = m.even && pick.MayRedirect && len(call.tried) < call.chooser.refusals.MaxTries(modelService, modelTries)
	call.end = call.chooser.tracker.Begin(t.Target, m.now)
	sentAt := m.now
	transit := modelTransit
	if pick.Target.Node == call.chooser.node {
		transit = 0
	}
	m.at(transit, func() { m.arrive(call, t, sentAt) })
}

// candidates returns what the chooser of a call knows of the targets.
func (m *model) candidates(call *modelCall) []fireflymoor.Candidate {
	candidates := make([]fireflymoor.Candidate, 0, len(m.targets))
	for _, t := range m.targets {
		if slices.Contains(call.tried, t) || slices.Contains(call.chooser.draining, t) {
			continue
		}
		c := call.chooser.tracker.Candidate(t.Target, 0, m.now)
		if c.SameInstance {
			c.Utilization = t.load(0)
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// arrive hands a call to the node of its target.
func (m *model) arrive(call *modelCall, t *modelTarget, sentAt time.Time) {
	if call.arrivedAt.IsZero() {
		call.arrivedAt = m.now
	}
	expectedWait := t.hold * time.Duration(len(t.waiting)+1) / time.Duration(t.Slots)
	switch {
	case t.draining:
		call.chooser.draining = append(call.chooser.draining, t)
		m.at(modelTransit, func() {
			call.end()
			m.send(call)
		})
		return
	case t.running < t.Slots:
		m.run(call, t, sentAt)
		return
	case call.mayRedirect && expectedWait > modelMaxWait:
		m.sendBack(call, t, true)
		return
	case expectedWait > modelLateWait:
		m.sendBack(call, t, false)
		return
	}
	call.queued, call.sentAt = true, sentAt
	t.waiting = append(t.waiting, call)
	for _, other := range m.targets {
		if other.Zone == t.Zone && other.running < other.Slots {
			call.needless = true
		}
	}
}

// sendBack sends a call back to its chooser, which sends it elsewhere while it has
// tries left.
func (m *model) sendBack(call *modelCall, t *modelTarget, redirected bool) {
	if call.counted && redirected {
		m.result.redirected++
	}
	report := t.report(0)
	report.Load = max(report.Load, 1)
	m.at(modelTransit, func() {
		call.end()
		if m.even {
			call.chooser.tracker.RecordReport(t.Target, report, m.now)
		} else {
			call.chooser.tracker.RecordRefusal(t.Target, m.now)
		}
		if !redirected {
			call.chooser.refusals.Record(modelService, true)
		}
		switch {
		case len(call.tried) < call.chooser.refusals.MaxTries(modelService, modelTries):
			m.send(call)
		case call.counted:
			m.result.failed++
		}
	})
}

// load returns the load of a target without some of its calls.
func (t *modelTarget) load(without int) float64 {
	return float64(t.running+len(t.waiting)-without) / float64(t.Slots)
}

// report returns the report of the node of a target, without some of its calls.
func (t *modelTarget) report(without int) fireflymoor.LoadReport {
	report := fireflymoor.LoadReport{
		Load: t.load(without),
		Hold: t.hold,
		Pace: 1,
	}
	if t.slow {
		report.Pace = slowFactor
	}
	if t.misreport != nil {
		return t.misreport(report)
	}
	return report
}

// run runs a call on a slot of its target.
func (m *model) run(call *modelCall, t *modelTarget, sentAt time.Time) {
	t.running++
	if call.counted {
		m.result.calls++
		t.calls++
		m.result.waits = append(m.result.waits, m.now.Sub(call.arrivedAt))
		if call.queued {
			m.result.queued++
		}
		if call.needless {
			m.result.needless++
		}
		if t.Zone != call.chooser.zone {
			m.result.otherZone++
		}
	}
	speed := t.speed
	if t.slow {
		speed /= slowFactor
	}
	if m.now.Before(t.coldUntil) {
		speed /= coldFactor
	}
	held := time.Duration(float64(call.work)/speed) + call.nested
	m.at(held, func() { m.finish(call, t, sentAt, held) })
}

// finish ends a call and starts the next one of the queue.
func (m *model) finish(call *modelCall, t *modelTarget, sentAt time.Time, held time.Duration) {
	if t.hold == 0 {
		t.hold = held
	}
	t.hold += (held - t.hold) / holdDivisor
	load, report := t.load(0), t.report(1)
	m.at(modelTransit, func() {
		call.end()
		call.chooser.refusals.Record(modelService, false)
		call.chooser.tracker.RecordResponse(t.Target, "route", m.now.Sub(sentAt), m.now)
	})
	m.at(modelTransit+m.reportDelay, func() {
		if m.even {
			call.chooser.tracker.RecordReport(t.Target, report, m.now)
		} else {
			call.chooser.tracker.SetLoad(t.Target, load, m.now)
		}
	})
	t.running--
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		m.run(next, t, next.sentAt)
		return
	}
	for _, other := range m.targets {
		if other.Zone == t.Zone {
			for _, waiting := range other.waiting {
				waiting.needless = true
			}
		}
	}
}

// sample records the utilization of all targets.
func (m *model) sample() {
	if m.now.After(m.end) {
		return
	}
	m.at(sampleTime, m.sample)
	if m.now.Sub(m.start) < warmUp {
		return
	}
	m.samples++
	for _, t := range m.targets {
		u := float64(t.running) / float64(t.Slots)
		t.busy += u
		m.result.utilization += u / float64(len(m.targets))
	}
	if m.samples%windowSamples > 0 {
		return
	}
	m.windows++
	sum, squares := 0.0, 0.0
	for _, t := range m.targets {
		u := t.busy / windowSamples
		sum += u
		squares += u * u
		t.busy = 0
	}
	mean := sum / float64(len(m.targets))
	m.result.variation += math.Sqrt(max(squares/float64(len(m.targets))-mean*mean, 0)) / mean
}
