// Package injector injects random faults into running processes and the
// connections between them, several at a time.
package injector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/relayer"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	// workers is the maximum number of concurrent faults.
	workers = 3
	// A worker pauses between two faults for minPause and a random part of
	// pauseSpread.
	minPause    = 200 * time.Millisecond
	pauseSpread = 1000 * time.Millisecond
	// A fault lasts for minDuration and a random part of durationSpread.
	minDuration    = 300 * time.Millisecond
	durationSpread = 3500 * time.Millisecond
)

// Options configure an Injector.
type Options struct {
	// Cluster is the cluster that started the processes.
	Cluster *launcher.Cluster
	// Relayer relays the connections between the processes.
	Relayer *relayer.Relayer
	// Zones is the number of availability zones.
	Zones int
	// Controls, Nodes and Targets are the processes that faults may affect.
	Controls []*launcher.Process
	Nodes    []*launcher.Process
	Targets  []*launcher.Process
	// AllVoters reports whether every control replica is a voter, so that the
	// data of one of them may be removed.
	AllVoters func() bool
	// Report is called with a description of each fault, and with each error.
	Report func(text string)
}

// An Injector injects faults.
type Injector struct {
	options Options

	lock        sync.Mutex
	reserved    map[*launcher.Process]bool
	disruptions []disruption
	rules       map[int]func(from, to string) relayer.Rule
	lastRuleID  int
	counts      map[string]int
}

// disruption is a period in which a process is killed or suspended, so that it may
// leave calls without a response. A zero to means that it has not ended.
type disruption struct {
	process  *launcher.Process
	from, to time.Time
}

// New returns a new Injector. It replaces the rules of the Relayer with those of
// the Injector, which have no effect until a fault adds one.
func New(options Options) *Injector {
	in := &Injector{
		options:  options,
		reserved: map[*launcher.Process]bool{},
		rules:    map[int]func(from, to string) relayer.Rule{},
		counts:   map[string]int{},
	}
	options.Relayer.SetRules(in.combinedRule)
	return in
}

// Run injects faults until ctx ends, and then undoes those that are still active.
// Each worker has a random source that is seeded with the seed and the worker's
// number. Run returns the number of faults by name.
func (in *Injector) Run(ctx context.Context, seed uint64) map[string]int {
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			in.injectFaults(ctx, rand.New(rand.NewPCG(seed, uint64(worker))))
		})
	}
	group.Wait()
	return in.counts
}

func (in *Injector) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		waiter.Pause(ctx, minPause+time.Duration(random.Int64N(int64(pauseSpread))))
		f := faults[random.IntN(len(faults))]
		duration := minDuration + time.Duration(random.Int64N(int64(durationSpread)))
		victim, undo := f.start(in, random)
		if undo == nil {
			continue
		}
		in.count(f.name)
		in.options.Report(fmt.Sprintf("%s of %s for %s", f.name, victim, duration.Round(time.Millisecond)))
		waiter.Pause(ctx, duration)
		undo()
	}
}

func (in *Injector) count(name string) {
	in.lock.Lock()
	defer in.lock.Unlock()
	in.counts[name]++
}

// reserveRandom reserves a random process for a fault. It returns nil if another
// fault has reserved that process.
func (in *Injector) reserveRandom(candidates []*launcher.Process, random *rand.Rand) *launcher.Process {
	p := candidates[random.IntN(len(candidates))]
	if !in.reserve(p) {
		return nil
	}
	return p
}

func (in *Injector) reserve(p *launcher.Process) bool {
	in.lock.Lock()
	defer in.lock.Unlock()
	if in.reserved[p] {
		return false
	}
	in.reserved[p] = true
	return true
}

func (in *Injector) release(p *launcher.Process) {
	in.lock.Lock()
	defer in.lock.Unlock()
	delete(in.reserved, p)
	for i := range in.disruptions {
		if in.disruptions[i].process == p && in.disruptions[i].to.IsZero() {
			in.disruptions[i].to = time.Now()
		}
	}
}

// beginDisruption records that a process is killed or suspended from now until it
// is released.
func (in *Injector) beginDisruption(p *launcher.Process) {
	in.lock.Lock()
	defer in.lock.Unlock()
	in.disruptions = append(in.disruptions, disruption{
		process: p,
		from:    time.Now(),
	})
}

// Disrupted reports whether a process was killed or suspended at some time
// between from and to. A graceful stop does not count, as the process must still
// finish its calls.
func (in *Injector) Disrupted(p *launcher.Process, from, to time.Time) bool {
	in.lock.Lock()
	defer in.lock.Unlock()
	for _, dr := range in.disruptions {
		if dr.process == p && dr.from.Before(to) && (dr.to.IsZero() || dr.to.After(from)) {
			return true
		}
	}
	return false
}

// restart starts a process that has ended, and releases it.
func (in *Injector) restart(p *launcher.Process) {
	if err := in.options.Cluster.Restart(p); err != nil {
		in.options.Report(err.Error())
	}
	in.release(p)
}

// addRule applies a rule to all links until the returned function is called.
func (in *Injector) addRule(rule func(from, to string) relayer.Rule) func() {
	in.lock.Lock()
	defer in.lock.Unlock()
	in.lastRuleID++
	id := in.lastRuleID
	in.rules[id] = rule
	return func() {
		in.lock.Lock()
		defer in.lock.Unlock()
		delete(in.rules, id)
	}
}

// combinedRule cuts a link if any rule does, and delays it by the sum of the rules'
// delays.
func (in *Injector) combinedRule(from, to string) relayer.Rule {
	in.lock.Lock()
	defer in.lock.Unlock()
	combined := relayer.Rule{}
	for _, rule := range in.rules {
		r := rule(from, to)
		combined.Cut = combined.Cut || r.Cut
		combined.Delay += r.Delay
	}
	return combined
}
