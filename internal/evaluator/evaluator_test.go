package evaluator

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const seeds = 200

// typical returns a service with a rate from 100 to 400 calls a second, 10 to 90 nodes
// and a duration from 12 to 20 s.
func typical(seed uint64) load {
	r := rand.New(rand.NewPCG(seed, 2))
	return load{
		duration: time.Duration(12+r.IntN(9)) * time.Second,
		rate:     100 * math.Pow(4, r.Float64()),
		nodes:    10 + r.IntN(81),
		targets:  6,
		routes:   []float64{0.5, 0.3, 0.2},
		noise:    0.001 + 0.019*r.Float64(),
		cold:     5 * time.Second,
		spread:   0.5,
		change:   0.05 + 0.9*r.Float64(),
	}
}

// circumstances change a typical load, by the words in the names of the tests.
var circumstances = map[string]func(l *load){
	"30 to 90 calls/s":   func(l *load) { l.rate = 30 + (l.rate-100)/5 },
	"1 call/s":           func(l *load) { l.rate = 1 },
	"no calls":           func(l *load) { l.rate = 0 },
	"8 s":                func(l *load) { l.duration = 8 * time.Second },
	"60 s":               func(l *load) { l.duration = time.Minute },
	"noisy":              func(l *load) { l.noise, l.slow, l.failing = 0.02, 0.15, [2]int{2, 0} },
	"cold for 9 s":       func(l *load) { l.cold = 9 * time.Second },
	"a target of each":   func(l *load) { l.failing, l.together = [2]int{1, 1}, true },
	"one at a time":      func(l *load) { l.together = false },
	"unreliable reports": func(l *load) { l.lost, l.repeated, l.late = 0.1, 0.1, 0.1 },
	"new leader":         func(l *load) { l.leaves = true },
	"surge":              func(l *load) { l.surge = 2 },
	"later":              func(l *load) { l.onset = [2]float64{0.2, 0.6} },
	"under load":         func(l *load) { l.from = 0.1 },
	"one route":          func(l *load) { l.routeOnly = true },
	"30%":                func(l *load) { l.failures = 0.3 },
	"50%":                func(l *load) { l.failures = 0.5 },
	"100%":               func(l *load) { l.failures = 1 },
	"3 times slower":     func(l *load) { l.slowness = 3 },
	"10 times slower":    func(l *load) { l.slowness = 10 },
}

// TestVerdicts guards against completing bad versions, rolling back good ones, exposing
// callers to bad ones beyond the limits, and completing too late.
func TestVerdicts(t *testing.T) {
	tests := []struct {
		name string
		// wrong is the number of wrong verdicts tolerated in 200 runs, and exposed that
		// of right ones that exceed 10% of the calls and 50.
		wrong, exposed int
	}{
		{"good", 2, 0},
		{"good, 30 to 90 calls/s", 2, 0},
		{"good, 1 call/s", 2, 0},
		{"good, no calls", 0, 0},
		{"good, 8 s", 4, 0},
		{"good, 60 s", 2, 0},
		{"good, noisy", 4, 0},
		{"good, cold for 9 s", 4, 0},
		{"good, a target of each", 6, 0},
		{"good, a target of each, one at a time", 8, 0},
		{"good, unreliable reports", 2, 0},
		{"good, new leader", 2, 0},
		{"good, surge", 2, 0},
		{"fails 30%", 2, 0},
		{"fails 100%", 0, 0},
		{"fails 100%, 8 s", 0, 0},
		{"fails 30%, 8 s", 8, 0}, // 2.5 s of calls
		{"3 times slower", 2, 0},
		{"3 times slower, 60 s", 2, 0},
		{"10 times slower", 0, 0},
		{"fails 30%, later", 4, 0},
		{"fails 100%, later", 0, 0},
		{"3 times slower, later", 4, 0},
		{"fails 50%, under load", 2, 0},
		{"3 times slower, under load", 4, 0},
		{"fails 30%, one route", 10, 0}, // some 25 calls at 100 calls/s
		{"fails 100%, one route", 0, 0},
		{"3 times slower, one route", 8, 0},
		{"fails 30%, noisy", 6, 0},
		{"3 times slower, noisy", 4, 0},
		{"fails 30%, unreliable reports", 4, 0},
		{"3 times slower, unreliable reports", 4, 0},
		{"fails 30%, new leader", 4, 0},
		{"3 times slower, new leader", 4, 0},
		{"fails 50%, later, new leader", 4, 0},
		{"fails 30%, surge", 2, 2},
		{"fails 30%, 30 to 90 calls/s", 6, 0},
		{"fails 100%, 30 to 90 calls/s", 0, 0},
		{"3 times slower, 30 to 90 calls/s", 6, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			wrong, exposed, late, overdue, most := 0, 0, 0, 0, 0.0
			for _, o := range runAll(strings.Split(test.name, ", ")) {
				switch {
				case o.good != (o.state == Completed):
					wrong++
					t.Log("wrong:", o.reason)
				case o.good && o.inForce > o.duration:
					overdue++
				case !o.good:
					exposure := float64(o.added) / (0.1*float64(o.total) + 50)
					most = max(most, exposure)
					if exposure > 1 {
						exposed++
					}
					if o.fiftieth > 0 && o.lastAdded > o.fiftieth+5*time.Second {
						late++
					}
				}
			}
			t.Logf("%s: wrong %d, exposed %d, late %d, overdue %d, greatest exposure %.2f",
				test.name, wrong, exposed, late, overdue, most)
			is.True(wrong <= test.wrong)
			is.True(exposed <= test.exposed)
			is.True(late <= seeds/100) // calls sent over 5 s after the 50th bad response
			is.Equal(overdue, 0)
		})
	}
}

func runAll(words []string) []outcome {
	outcomes := make([]outcome, seeds)
	var group sync.WaitGroup
	for i := range 3 {
		group.Go(func() {
			for j := i; j < seeds; j += 3 {
				l := typical(uint64(j))
				for _, word := range words {
					if change := circumstances[strings.TrimPrefix(word, "fails ")]; change != nil {
						change(&l)
					} else if word != "good" {
						panic(word)
					}
				}
				outcomes[j] = l.run(uint64(j))
			}
		})
	}
	group.Wait()
	return outcomes
}

// TestMissingCalls guards against completing a version whose calls are not answered.
func TestMissingCalls(t *testing.T) {
	is := is.New(t)
	order := Order{
		Started:  time.Unix(1, 0),
		Duration: 12 * time.Second,
	}
	e := New(order, Decision{})
	var last Decision
	for i := range 60 {
		now := order.Started.Add(time.Duration(i) * 200 * time.Millisecond)
		e.Observe("a", []Sample{{
			Calls:      20,
			LatencySum: time.Second + time.Duration(i),
		}}, now)
		last, _ = e.Decide(now)
		is.True(last.State != Running || last.Share <= e.initialShare()) // no growth without answers
	}
	is.Equal(last.State, RolledBack)
	_, changed := e.Decide(order.Started.Add(time.Minute))
	is.True(!changed) // the verdict is final
}

// TestInterruption guards against a verdict on evidence from before a suspension.
func TestInterruption(t *testing.T) {
	is := is.New(t)
	order := Order{
		Started:  time.Unix(1, 0),
		Duration: 12 * time.Second,
	}
	e := New(order, Decision{})
	e.Decide(order.Started)
	_, changed := e.Decide(order.Started.Add(20 * time.Second))
	is.True(changed) // the share drops
	d, _ := e.Decide(order.Started.Add(21 * time.Second))
	is.Equal(d.State, Running)
	d, _ = e.Decide(order.Started.Add(22 * time.Second))
	is.Equal(d.State, Completed)
}

// TestRepeatedReport guards against counting a report twice, and impossible counts.
func TestRepeatedReport(t *testing.T) {
	is := is.New(t)
	e := New(Order{}, Decision{})
	now := time.Unix(1, 0)
	report := []Sample{{
		Route:      "r",
		Calls:      3,
		LatencySum: 12345678,
	}}
	e.Observe("a", report, now)
	e.Observe("a", report, now.Add(2*time.Second))
	e.Observe("a", []Sample{{
		Calls:    1,
		Failures: 2,
	}}, now)
	is.Equal(e.evidence.total[0], 3)
	e.Observe("b", report, now)
	is.Equal(e.evidence.total[0], 6)
}

// TestShortDurations checks that a version without calls is completed within any
// duration, and that long roll-outs keep a bounded number of periods.
func TestShortDurations(t *testing.T) {
	is := is.New(t)
	for _, duration := range []time.Duration{time.Millisecond, time.Second, 4 * time.Second, 6 * time.Second, time.Hour} {
		order := Order{
			Started:  time.Unix(1, 0),
			Duration: duration,
		}
		e := New(order, Decision{})
		completed := false
		for at := time.Duration(0); at <= duration && !completed; at += min(duration/100, time.Second) {
			d, _ := e.Decide(order.Started.Add(at))
			completed = d.State == Completed
		}
		is.True(completed)
		is.True(len(e.evidence.periods) <= maxPeriods)
	}
}
