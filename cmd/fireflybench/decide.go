package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
	"github.com/fireflymoor/fireflymoor/internal/caller"
	"github.com/fireflymoor/fireflymoor/internal/ejector"
	"github.com/fireflymoor/fireflymoor/internal/pacer"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
)

// decideCommand compares each mechanism on the callers' path (balancing,
// ejection, retry budget, slow start) with a simple baseline under the same
// load. The mechanisms are the production code; the targets are stand-ins inside
// this process.
type decideCommand struct {
	Rounds int           `default:"3" help:"Rounds over all cases."`
	For    time.Duration `default:"4s" help:"Duration of each case in a round."`
	Output string        `type:"path" help:"File for the result as JSON."`
}

const (
	decideZones   = 3
	decideNodes   = 6
	decideTargets = 6
	decideSlots   = 8
	decideQueue   = 8
	decideTimeout = time.Second
	decideService = "service"
	decideTeam    = "team"
)

// policy is the configuration of the mechanisms on the callers' path.
type policy struct {
	balancer func() fireflymoor.Balancer
	// ejectShare and budget are in percent, as in fireflymoor.Limits.
	ejectShare int
	budget     int
	slowStart  time.Duration
	method     string
}

// systemPolicy is the policy that is compared with each baseline.
var systemPolicy = policy{
	balancer:   balancer.NewTwoChoices,
	ejectShare: 30,
	budget:     20,
	slowStart:  2 * time.Second,
	method:     http.MethodGet,
}

// unlimitedBudget is a retry budget, in percent, that allows retries of all
// calls.
const unlimitedBudget = 1000

// decideCase is one load, with the function that makes the baseline from the
// system's policy.
type decideCase struct {
	name string
	// rate is the mean number of calls a second.
	rate     int
	targets  func(i int) behaviour
	baseline func(p policy) policy
	// withColdTarget makes a cold target join after half of the time.
	withColdTarget bool
	// singleNode sends all calls to one node.
	singleNode bool
}

var decideCases = []decideCase{
	{
		name:     "one slow target, load told late / round robin",
		rate:     1200,
		targets:  oneOutlier(behaviour{meanTime: 80 * time.Millisecond, reportInterval: time.Second}, behaviour{reportInterval: time.Second}),
		baseline: roundRobin,
	},
	{
		name:     "one slow target that says it is idle / round robin",
		rate:     1200,
		targets:  oneOutlier(behaviour{meanTime: 80 * time.Millisecond, reportsIdle: true}, behaviour{}),
		baseline: roundRobin,
	},
	{
		name:     "one target fails fast and says it is healthy / no ejection",
		rate:     1200,
		targets:  oneOutlier(behaviour{failsFast: true, reportsIdle: true}, behaviour{}),
		baseline: func(p policy) policy { p.ejectShare = 0; return p },
	},
	{
		name:     "overload by half / no retry budget",
		rate:     3600,
		targets:  oneOutlier(behaviour{}, behaviour{}),
		baseline: func(p policy) policy { p.budget = unlimitedBudget; return p },
	},
	{
		name:           "a cold target comes / no slow start",
		rate:           1800,
		targets:        oneOutlier(behaviour{}, behaviour{}),
		baseline:       func(p policy) policy { p.slowStart = 0; return p },
		withColdTarget: true,
	},
	{
		name:       "calls enter at one node, more than its zone serves / round robin",
		rate:       1600,
		targets:    oneOutlier(behaviour{}, behaviour{}),
		baseline:   roundRobin,
		singleNode: true,
	},
}

// oneOutlier returns the behaviours of targets of which the first differs from
// the others.
func oneOutlier(outlier, others behaviour) func(i int) behaviour {
	return func(i int) behaviour {
		if i == 0 {
			return outlier
		}
		return others
	}
}

// roundRobin replaces the balancer by round robin.
func roundRobin(p policy) policy {
	p.balancer = func() fireflymoor.Balancer { return &lockedBalancer{Balancer: balancer.NewRoundRobin()} }
	return p
}

// lockedBalancer makes a balancer safe for concurrent use.
type lockedBalancer struct {
	fireflymoor.Balancer

	lock sync.Mutex
}

// Pick implements fireflymoor.Balancer.
func (b *lockedBalancer) Pick(candidates []fireflymoor.Candidate, now time.Time) (fireflymoor.Pick, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.Balancer.Pick(candidates, now)
}

// decideResult is the result of one policy in one case, with one value a round.
type decideResult struct {
	Case         string    `json:"case"`
	Baseline     bool      `json:"baseline"`
	Answered     []float64 `json:"answered-percent"`
	P99          []int64   `json:"p99-us"`
	MaxOverMean  []float64 `json:"most-loaded-over-mean"`
	TriesPerCall []float64 `json:"tries-a-call"`
}

// Run runs the command.
func (c *decideCommand) Run(ctx context.Context) error {
	results := make([][2]decideResult, len(decideCases))
	for round := range c.Rounds {
		for i := range decideCases {
			for j, p := range []policy{systemPolicy, decideCases[i].baseline(systemPolicy)} {
				results[i][j].Case = decideCases[i].name
				results[i][j].Baseline = j == 1
				c.measure(ctx, decideCases[i], p, &results[i][j])
			}
		}
		fmt.Fprintf(os.Stderr, "round %d of %d\n", round+1, c.Rounds)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CASE / BASELINE\tANSWERED %\tBASELINE\tP99 ms\tBASELINE\tMOST LOADED / MEAN\tBASELINE\tTRIES A CALL\tBASELINE")
	for _, pair := range results {
		system, baseline := pair[0], pair[1]
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\n", system.Case,
			medianFloat(system.Answered), medianFloat(baseline.Answered),
			float64(median(system.P99))/1000, float64(median(baseline.P99))/1000,
			medianFloat(system.MaxOverMean), medianFloat(baseline.MaxOverMean), medianFloat(system.TriesPerCall), medianFloat(baseline.TriesPerCall))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "decide: print")
	}
	return writeJSON(c.Output, results)
}

// medianFloat returns the median of values, cut to four decimal places.
func medianFloat(values []float64) float64 {
	scaled := make([]int64, 0, len(values))
	for _, v := range values {
		scaled = append(scaled, int64(v*10_000))
	}
	return float64(median(scaled)) / 10_000
}

// measure makes calls with exponentially distributed pauses, at the mean rate of
// the case, through nodes that share no state but the targets. Latencies count
// from the time at which a call was due.
func (c *decideCommand) measure(ctx context.Context, dc decideCase, p policy, result *decideResult) {
	targets := newStandIns(dc)
	var handlers []http.Handler
	for i := range decideNodes {
		handlers = append(handlers, newCallerHandler(targets, p, fmt.Sprintf("zone-%d", i%decideZones)))
	}
	if dc.singleNode {
		handlers = handlers[:1]
	}
	random := rand.New(rand.NewPCG(1, 1))
	latency := pacer.NewResult()
	answered := 0
	calls := 0
	var lock sync.Mutex
	var group sync.WaitGroup
	began := time.Now()
	for due := began; due.Sub(began) < c.For && ctx.Err() == nil; {
		due = due.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(dc.rate)))
		time.Sleep(time.Until(due))
		if dc.withColdTarget && due.Sub(began) > c.For/2 {
			targets.addColdTarget()
		}
		handler := handlers[random.IntN(len(handlers))]
		calls++
		group.Go(func() {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(p.method, "/x", http.NoBody))
			took := time.Since(due).Microseconds()
			lock.Lock()
			defer lock.Unlock()
			_ = latency.Latency.RecordValue(took)
			if w.Code == http.StatusOK {
				answered++
			}
		})
	}
	group.Wait()
	maxOverMean, tries := targets.imbalance()
	result.Answered = append(result.Answered, float64(answered)/float64(calls)*percent)
	result.P99 = append(result.P99, latency.Latency.ValueAtPercentile(p99))
	result.MaxOverMean = append(result.MaxOverMean, maxOverMean)
	result.TriesPerCall = append(result.TriesPerCall, float64(tries)/float64(calls))
}

// newCallerHandler returns the handler that one node offers to callers.
func newCallerHandler(targets *standIns, p policy, zone string) http.Handler {
	configuration := fireflymoor.NewConfiguration(decideTeam,
		[]fireflymoor.Service{{
			Name:      decideService,
			Slots:     decideSlots,
			Queue:     decideQueue,
			SlowStart: p.slowStart,
		}},
		[]fireflymoor.Route{{
			Name:       "route",
			PathPrefix: "/",
			Service:    decideService,
			Timeout:    decideTimeout,
			Retries:    2,
			Idempotent: []string{http.MethodGet},
			MaxBody:    1 << 10,
		}},
		fireflymoor.Limits{
			RetryBudget: p.budget,
			EjectShare:  p.ejectShare,
		}).WithNumber(1)
	return caller.New(caller.Options{
		Node:    "node",
		Dialect: annotator.NewDialect(),
		Viewer: &standInView{
			targets:       targets,
			configuration: configuration,
		},
		Balancer:    p.balancer(),
		Forwarder:   targets,
		Tracker:     tracker.New("", zone),
		Ejector:     ejector.New(),
		Budget:      retrier.NewBudget(),
		RefusalRate: retrier.NewRefusalRate(),
		Metrics:     caller.NewMetrics(prometheus.NewRegistry()),
		Log:         zerolog.Nop(),
	})
}
