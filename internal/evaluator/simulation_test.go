package evaluator

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const tick = 100 * time.Millisecond

// A load describes a simulated service, its faults and the faults of the reports.
type load struct {
	duration time.Duration
	rate     float64 // calls a second
	nodes    int
	targets  int // of each version
	routes   []float64
	// failures and slowness are those of the new version, on the last route only if
	// routeOnly is set, and from the given share on.
	failures, slowness float64
	routeOnly          bool
	from               float64
	// onset is the least and greatest time at which a version turns bad, as parts of
	// the time until the verdict.
	onset [2]float64
	// failing is the number of targets of each version that fail half of their calls
	// for a while, slow the share of targets that take 2.5 times as long for a while.
	failing [2]int
	slow    float64
	// together is whether the targets of both versions fail at the same time.
	together bool
	noise    float64 // share of calls that fail at both versions
	cold     time.Duration
	spread   float64 // of the logarithm of latencies
	// lost, repeated and late are the shares of reports.
	lost, repeated, late float64
	// change is the time of a change of the leader, if leaves is set, as a part of the
	// duration.
	change float64
	leaves bool
	// surge is the factor of the rate from 40% to 70% of the duration.
	surge float64
}

type outcome struct {
	good      bool
	duration  time.Duration
	state     State
	reason    string
	inForce   time.Duration // of the verdict, after the order
	added     int           // calls to the new version until the end of the duration
	total     int
	lastAdded time.Duration
	fiftieth  time.Duration // of the 50th bad response, or 0
}

type switchover struct {
	at    time.Duration
	share float64
}

type simulation struct {
	load
	random    *rand.Rand
	start     time.Time
	evaluator *Evaluator
	current   Decision
	shares    [][]switchover     // by node
	pending   []map[int][]Sample // by node, second, and route and version
	phase     []time.Duration
	arrivals  map[time.Duration][]report
	bads      []time.Duration
	turns     time.Duration
	trouble   [2][2]time.Duration // of failing targets, by version
	outcome
}

type report struct {
	node    int
	samples []Sample
}

func (l load) run(seed uint64) outcome {
	s := &simulation{
		load:     l,
		random:   rand.New(rand.NewPCG(seed, 1)),
		start:    time.Unix(1000, 0),
		shares:   make([][]switchover, l.nodes),
		arrivals: map[time.Duration][]report{},
	}
	order := Order{
		Started:  s.start,
		Duration: l.duration,
	}
	s.evaluator = New(order, Decision{})
	verdict := s.evaluator.verdictTime().Sub(s.start).Seconds()
	s.turns = time.Duration((l.onset[0] + s.random.Float64()*(l.onset[1]-l.onset[0])) * verdict * 1e9)
	for v := range s.trouble {
		from := time.Duration(s.random.Float64() * 0.7 * float64(l.duration))
		s.trouble[v] = [2]time.Duration{from, from + l.duration/3}
	}
	if l.together {
		s.trouble[1] = s.trouble[0]
	}
	for range l.nodes {
		s.phase = append(s.phase, time.Duration(s.random.IntN(10))*tick)
		s.pending = append(s.pending, map[int][]Sample{})
	}
	change := time.Duration(l.change * float64(l.duration)).Truncate(tick)
	if !l.leaves {
		change = 0
	}
	for now := time.Duration(0); now < l.duration+10*time.Second; now += tick {
		leaderless := change > 0 && now >= change-time.Second && now < change
		if change > 0 && now == change {
			s.evaluator = New(order, s.current)
		}
		s.step(now, leaderless)
	}
	s.finish()
	return s.outcome
}

func (s *simulation) step(now time.Duration, leaderless bool) {
	rate := s.rate
	if s.surge > 0 && now > s.load.duration*4/10 && now < s.load.duration*7/10 {
		rate *= s.surge
	}
	for range s.poisson(rate * tick.Seconds()) {
		s.call(s.random.IntN(s.nodes), now)
	}
	for n := range s.nodes {
		if now%time.Second == s.phase[n] {
			s.report(n, now)
		}
	}
	if leaderless {
		delete(s.arrivals, now)
		return
	}
	for _, r := range s.arrivals[now] {
		s.evaluator.Observe(strconv.Itoa(r.node), r.samples, s.start.Add(now))
	}
	delete(s.arrivals, now)
	if now%(200*time.Millisecond) != 0 {
		return
	}
	d, changed := s.evaluator.Decide(s.start.Add(now))
	if !changed {
		return
	}
	s.current = d
	for n := range s.shares {
		at := now + time.Second + time.Duration(s.random.IntN(11))*tick
		s.shares[n] = append(s.shares[n], switchover{
			at:    at,
			share: d.Share,
		})
		if d.State != Running {
			s.inForce = max(s.inForce, at)
		}
	}
}

func (s *simulation) call(node int, now time.Duration) {
	share := 0.0
	for _, o := range s.shares[node] {
		if o.at <= now {
			share = o.share
		}
	}
	version := 0
	if s.random.Float64() < share {
		version = 1
	}
	if now < s.load.duration {
		s.total++
		s.added += version
	}
	route := s.pick()
	failures, slowness := s.quality(version, now)
	bad := false
	if version == 1 {
		s.lastAdded = now
		if now >= s.turns && share >= s.from && (!s.routeOnly || route == len(s.routes)-1) {
			failures += s.failures
			slowness *= max(s.slowness, 1)
			bad = s.slowness > 1
		}
	}
	failed := s.random.Float64() < failures
	latency := time.Duration(float64(20+60*(route+1)) * 1e6 * slowness * math.Exp(s.spread*s.random.NormFloat64()))
	if version == 1 && (failed || bad) {
		s.bads = append(s.bads, now+latency)
	}
	s.count(node, 2*route+version, failed, latency, now+latency)
}

// quality returns the share of failures and the slowness of a random target of a good
// version.
func (s *simulation) quality(version int, now time.Duration) (failures, slowness float64) {
	target := s.random.IntN(s.targets)
	failures, slowness = s.noise, 1
	if target < s.failing[version] && now >= s.trouble[version][0] && now < s.trouble[version][1] {
		failures = 0.5
	}
	if s.slow > 0 && s.isSlow(version, target, now) {
		slowness = 2.5
	}
	if version == 1 && now < s.cold {
		slowness *= 2
	}
	return failures, slowness
}

// isSlow reports whether a target is slow now, which lasts for a second at a time.
func (s *simulation) isSlow(version, target int, now time.Duration) bool {
	r := rand.New(rand.NewPCG(uint64(s.turns), uint64(now/time.Second)*1000+uint64(target*2+version)))
	return r.Float64() < s.slow
}

func (s *simulation) pick() int {
	x := s.random.Float64()
	for i, w := range s.routes {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(s.routes) - 1
}

// count adds a call to the report of the second in which it ends.
func (s *simulation) count(node, key int, failed bool, latency, end time.Duration) {
	second := int((end - s.phase[node] + time.Second) / time.Second)
	samples := s.pending[node][second]
	if samples == nil {
		samples = make([]Sample, 2*len(s.routes))
		s.pending[node][second] = samples
	}
	samples[key].Calls++
	if failed {
		samples[key].Failures++
	} else {
		samples[key].LatencySum += latency
	}
}

func (s *simulation) report(node int, now time.Duration) {
	r := report{
		node: node,
	}
	second := int(now / time.Second)
	for key, sample := range s.pending[node][second] {
		if sample.Calls > 0 {
			sample.Route, sample.New = strconv.Itoa(key/2), key%2 == 1
			r.samples = append(r.samples, sample)
		}
	}
	delete(s.pending[node], second)
	// A node reports once the roll-out is in force there.
	if len(s.shares[node]) == 0 || s.shares[node][0].at > now || s.random.Float64() < s.lost {
		return
	}
	copies := 1
	if s.random.Float64() < s.repeated {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+s.random.IntN(5)) * tick
		if s.random.Float64() < s.late {
			delay += time.Duration(s.random.IntN(30)) * tick
		}
		s.arrivals[now+delay] = append(s.arrivals[now+delay], r)
	}
}

func (s *simulation) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), s.random.Float64(), 0
	for product > limit {
		product *= s.random.Float64()
		n++
	}
	return n
}

func (s *simulation) finish() {
	s.good = s.failures == 0 && s.slowness == 0
	s.outcome.duration = s.load.duration
	s.state, s.reason = s.current.State, s.current.Reason
	if slices.Sort(s.bads); len(s.bads) >= 50 {
		s.fiftieth = s.bads[49]
	}
}
