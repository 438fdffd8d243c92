package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/limiter"
)

const (
	// warmServiceTime is the mean service time of a warm target.
	warmServiceTime = 20 * time.Millisecond
	// coldTime is how long a target is cold after its start, and coldFactor
	// is how many times longer its calls take during that time.
	coldTime   = 1500 * time.Millisecond
	coldFactor = 6
)

// behaviour is how a stand-in target handles calls.
type behaviour struct {
	// meanTime is the mean service time, or 0 for warmServiceTime.
	meanTime time.Duration
	// reportInterval is how long the target reports the same load before it
	// measures the load again. A reported load is at most this old.
	reportInterval time.Duration
	// reportsIdle makes the target report a load of 0.
	reportsIdle bool
	// failsFast makes the target abort every call immediately.
	failsFast bool
	// cold makes calls take longer by coldFactor during coldTime.
	cold bool
}

// standIns are targets inside this process. The production limiter enforces their
// slots, as the nodes do for real targets.
type standIns struct {
	lock    sync.Mutex
	targets []*standIn
	view    []fireflymoor.Target
}

// standIn is one stand-in target.
type standIn struct {
	behaviour

	limiter      *limiter.Limiter
	startedAt    time.Time
	lock         sync.Mutex
	calls        int
	reportedLoad float64
	reportedAt   time.Time
}

func newStandIns(dc decideCase) *standIns {
	s := &standIns{}
	for i := range decideTargets {
		s.addTarget(dc.targets(i))
	}
	return s
}

func (s *standIns) addTarget(b behaviour) {
	i := len(s.targets)
	s.targets = append(s.targets, &standIn{
		behaviour: b,
		limiter:   limiter.New(decideSlots, decideQueue),
		startedAt: time.Now(),
	})
	view := append([]fireflymoor.Target{}, s.view...)
	s.view = append(view, fireflymoor.Target{
		ID:      fmt.Sprint(i),
		Service: decideService,
		Node:    fmt.Sprint(i),
		Zone:    fmt.Sprintf("zone-%d", i%decideZones),
		Team:    decideTeam,
		Slots:   decideSlots,
	})
}

// addColdTarget adds one cold target. Later calls do nothing.
func (s *standIns) addColdTarget() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.targets) == decideTargets {
		s.addTarget(behaviour{cold: true})
	}
}

// standInView is the view that a node uses for routing.
type standInView struct {
	targets       *standIns
	configuration fireflymoor.Configuration
}

// View implements fireflymoor.Viewer.
func (v *standInView) View() fireflymoor.View {
	v.targets.lock.Lock()
	defer v.targets.lock.Unlock()
	return fireflymoor.NewView(v.configuration, v.targets.view)
}

// Forward implements fireflymoor.Forwarder.
func (s *standIns) Forward(ctx context.Context, target fireflymoor.Target, _ *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	i := 0
	_, _ = fmt.Sscan(target.ID, &i)
	s.lock.Lock()
	t := s.targets[i]
	s.lock.Unlock()
	return t.serve(ctx)
}

func (t *standIn) serve(ctx context.Context) (*http.Response, fireflymoor.Outcome, error) {
	t.lock.Lock()
	t.calls++
	t.lock.Unlock()
	if t.failsFast {
		return nil, fireflymoor.Unknown, errors.New("stand-in: call aborted")
	}
	ticket := limiter.Ticket{}
	began := time.Now()
	if err := t.limiter.Acquire(ctx, ticket); err != nil {
		return nil, fireflymoor.NotRun, errors.Mark(errors.Wrap(err, "stand-in"), fireflymoor.ErrBusy)
	}
	defer func() { t.limiter.Release(ticket, time.Since(began)) }()
	select {
	case <-ctx.Done():
		return nil, fireflymoor.Unknown, errors.Wrap(ctx.Err(), "stand-in")
	case <-time.After(t.callTime()):
	}
	response := &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}
	annotator.SetLoad(response.Header, t.load())
	return response, fireflymoor.Answered, nil
}

// callTime returns a random service time for one call, between half and one and a
// half times the mean.
func (t *standIn) callTime() time.Duration {
	mean := warmServiceTime
	if t.meanTime > 0 {
		mean = t.meanTime
	}
	if t.cold && time.Since(t.startedAt) < coldTime {
		mean *= coldFactor
	}
	return mean/2 + rand.N(mean)
}

// load returns the load that the target reports.
func (t *standIn) load() float64 {
	if t.reportsIdle {
		return 0
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if time.Since(t.reportedAt) >= t.reportInterval {
		t.reportedLoad = t.limiter.Load()
		t.reportedAt = time.Now()
	}
	return t.reportedLoad
}

// imbalance returns the calls of the most loaded target divided by the mean, and
// the sum of the calls to all targets.
func (s *standIns) imbalance() (maxOverMean float64, sum int) {
	maxCalls := 0
	for _, t := range s.targets {
		maxCalls = max(maxCalls, t.calls)
		sum += t.calls
	}
	return float64(maxCalls) * float64(len(s.targets)) / float64(sum), sum
}
