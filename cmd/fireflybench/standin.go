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
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/limiter"
)

const (
	// serviceTime is how long a warm target takes, on average.
	serviceTime = 20 * time.Millisecond
	// coldTime is how long a target that has just come is cold, and
	// coldFactor how many times longer its calls take then.
	coldTime   = 1500 * time.Millisecond
	coldFactor = 6
)

// behaviour is how a stand-in target answers.
type behaviour struct {
	// service is the mean time of a call, or 0 for the usual one.
	service time.Duration
	// lag is how old the load is that it tells.
	lag time.Duration
	// lies has it tell that it is idle.
	lies bool
	// fails has it break off every call at once.
	fails bool
	// cold has its first calls take longer.
	cold bool
}

// standIns are targets inside this process. Their slots are held to by the
// system's own limiter, as their nodes would.
type standIns struct {
	lock    sync.Mutex
	targets []*standIn
	view    []fireflymoor.Target
}

type standIn struct {
	behaviour

	limiter *limiter.Limiter
	born    time.Time
	lock    sync.Mutex
	calls   int
	told    float64
	toldAt  time.Time
}

func newTargets(load decideCase) *standIns {
	s := &standIns{}
	for i := range decideTargets {
		s.put(load.targets(i))
	}
	return s
}

func (s *standIns) put(b behaviour) {
	i := len(s.targets)
	s.targets = append(s.targets, &standIn{
		behaviour: b,
		limiter:   limiter.New(decideSlots, decideQueue),
		born:      time.Now(),
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

// add adds one cold target, once.
func (s *standIns) add() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.targets) == decideTargets {
		s.put(behaviour{cold: true})
	}
}

// standInView is what one node routes by.
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
	if t.fails {
		return nil, fireflymoor.Unknown, errors.New("stand-in: broke off")
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
	case <-time.After(t.takes()):
	}
	response := &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}
	labeler.SetLoad(response.Header, t.load())
	return response, fireflymoor.Answered, nil
}

// takes returns how long one call takes.
func (t *standIn) takes() time.Duration {
	mean := serviceTime
	if t.service > 0 {
		mean = t.service
	}
	if t.cold && time.Since(t.born) < coldTime {
		mean *= coldFactor
	}
	return mean/2 + rand.N(mean)
}

// load returns the load that the target tells.
func (t *standIn) load() float64 {
	if t.lies {
		return 0
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	if time.Since(t.toldAt) >= t.lag {
		t.told = t.limiter.Load()
		t.toldAt = time.Now()
	}
	return t.told
}

// spread returns the calls of the target that got the most over the mean, and
// the calls of all.
func (s *standIns) spread() (most float64, sum int) {
	top := 0
	for _, t := range s.targets {
		top = max(top, t.calls)
		sum += t.calls
	}
	return float64(top) * float64(len(s.targets)) / float64(sum), sum
}
