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
	"github.com/fireflymoor/fireflymoor/internal/balancer"
	"github.com/fireflymoor/fireflymoor/internal/caller"
	"github.com/fireflymoor/fireflymoor/internal/ejector"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/pacer"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
)

// decideCommand measures each decision of the callers' path against its
// simple baseline, on the same load. The decisions are the system's own code;
// the targets are stand-ins inside this process.
type decideCommand struct {
	Rounds int           `default:"3" help:"Rounds over all cases."`
	For    time.Duration `default:"4s" help:"Time of each case in a round."`
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

// decision is one way of deciding.
type decision struct {
	balancer   func() fireflymoor.Balancer
	ejectShare int
	budget     int
	slowStart  time.Duration
	method     string
}

var decided = decision{
	balancer:   balancer.NewTwoChoices,
	ejectShare: 30,
	budget:     20,
	slowStart:  2 * time.Second,
	method:     http.MethodGet,
}

// unlimited is a retry budget as large as all calls.
const unlimited = 1000

// decideCase is one load with the decision and its baseline.
type decideCase struct {
	name     string
	rate     int
	targets  func(i int) behaviour
	baseline func(d decision) decision
	// added has a cold target come while the load is on.
	added bool
	// oneNode has all calls enter at one node.
	oneNode bool
}

var decideCases = []decideCase{
	{
		name:     "one slow target, load told late / round robin",
		rate:     1200,
		targets:  oneOf(behaviour{service: 80 * time.Millisecond, lag: time.Second}, behaviour{lag: time.Second}),
		baseline: roundRobin,
	},
	{
		name:     "one slow target that says it is idle / round robin",
		rate:     1200,
		targets:  oneOf(behaviour{service: 80 * time.Millisecond, lies: true}, behaviour{}),
		baseline: roundRobin,
	},
	{
		name:     "one target fails fast and says it is healthy / no ejection",
		rate:     1200,
		targets:  oneOf(behaviour{fails: true, lies: true}, behaviour{}),
		baseline: func(d decision) decision { d.ejectShare = 0; return d },
	},
	{
		name:     "overload by half / no retry budget",
		rate:     3600,
		targets:  oneOf(behaviour{}, behaviour{}),
		baseline: func(d decision) decision { d.budget = unlimited; return d },
	},
	{
		name:     "a cold target comes / no slow start",
		rate:     1800,
		targets:  oneOf(behaviour{}, behaviour{}),
		baseline: func(d decision) decision { d.slowStart = 0; return d },
		added:    true,
	},
	{
		name:     "calls enter at one node, more than its zone serves / round robin",
		rate:     1600,
		targets:  oneOf(behaviour{}, behaviour{}),
		baseline: roundRobin,
		oneNode:  true,
	},
}

// oneOf gives the first target a behaviour of its own.
func oneOf(first, others behaviour) func(i int) behaviour {
	return func(i int) behaviour {
		if i == 0 {
			return first
		}
		return others
	}
}

func roundRobin(d decision) decision {
	d.balancer = func() fireflymoor.Balancer { return &lockedBalancer{Balancer: balancer.NewRoundRobin()} }
	return d
}

// lockedBalancer makes a balancer safe for several goroutines.
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

// decideResult is what one way of deciding gave, one value a round.
type decideResult struct {
	Case     string    `json:"case"`
	Baseline bool      `json:"baseline"`
	Answered []float64 `json:"answered-percent"`
	P99      []int64   `json:"p99-us"`
	Most     []float64 `json:"most-loaded-over-mean"`
	Sends    []float64 `json:"tries-a-call"`
}

// Run runs the command.
func (c *decideCommand) Run(ctx context.Context) error {
	results := make([][2]decideResult, len(decideCases))
	for round := range c.Rounds {
		for i := range decideCases {
			for j, d := range []decision{decided, decideCases[i].baseline(decided)} {
				results[i][j].Case = decideCases[i].name
				results[i][j].Baseline = j == 1
				c.measure(ctx, decideCases[i], d, &results[i][j])
			}
		}
		fmt.Fprintf(os.Stderr, "round %d of %d\n", round+1, c.Rounds)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CASE / BASELINE\tANSWERED %\tBASELINE\tP99 ms\tBASELINE\tMOST LOADED / MEAN\tBASELINE\tTRIES A CALL\tBASELINE")
	for _, pair := range results {
		own, base := pair[0], pair[1]
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\n", own.Case,
			middleOf(own.Answered), middleOf(base.Answered),
			float64(middle(own.P99))/1000, float64(middle(base.P99))/1000,
			middleOf(own.Most), middleOf(base.Most), middleOf(own.Sends), middleOf(base.Sends))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "decide: print")
	}
	return writeJSON(c.Output, results)
}

func middleOf(values []float64) float64 {
	scaled := make([]int64, 0, len(values))
	for _, v := range values {
		scaled = append(scaled, int64(v*10_000))
	}
	return float64(middle(scaled)) / 10_000
}

// measure makes calls at random times, at the case's rate on average, through
// nodes that each decide for themselves.
func (c *decideCommand) measure(ctx context.Context, load decideCase, d decision, result *decideResult) {
	targets := newTargets(load)
	var handlers []http.Handler
	for i := range decideNodes {
		handlers = append(handlers, newDecider(targets, d, fmt.Sprintf("zone-%d", i%decideZones)))
	}
	if load.oneNode {
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
		due = due.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(load.rate)))
		time.Sleep(time.Until(due))
		if load.added && due.Sub(began) > c.For/2 {
			targets.add()
		}
		handler := handlers[random.IntN(len(handlers))]
		calls++
		group.Go(func() {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(d.method, "/x", http.NoBody))
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
	most, sends := targets.spread()
	result.Answered = append(result.Answered, float64(answered)/float64(calls)*percent)
	result.P99 = append(result.P99, latency.Latency.ValueAtPercentile(p99))
	result.Most = append(result.Most, most)
	result.Sends = append(result.Sends, float64(sends)/float64(calls))
}

// newDecider returns the callers' handler of one node.
func newDecider(targets *standIns, d decision, zone string) http.Handler {
	configuration := fireflymoor.NewConfiguration(decideTeam,
		[]fireflymoor.Service{{
			Name:      decideService,
			Slots:     decideSlots,
			Queue:     decideQueue,
			SlowStart: d.slowStart,
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
			RetryBudget: d.budget,
			EjectShare:  d.ejectShare,
		}).WithNumber(1)
	return caller.New(caller.Options{
		Node:    "node",
		Dialect: labeler.NewDialect(),
		Viewer: &standInView{
			targets:       targets,
			configuration: configuration,
		},
		Balancer:    d.balancer(),
		Forwarder:   targets,
		Tracker:     tracker.New("", zone),
		Ejector:     ejector.New(),
		Budget:      retrier.NewBudget(),
		RefusalRate: retrier.NewRefusalRate(),
		Metrics:     caller.NewMetrics(prometheus.NewRegistry()),
		Log:         zerolog.Nop(),
	})
}
