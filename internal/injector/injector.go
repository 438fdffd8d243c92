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
	d := &Injector{
		options:  options,
		reserved: map[*launcher.Process]bool{},
		rules:    map[int]func(from, to string) relayer.Rule{},
		counts:   map[string]int{},
	}
	options.Relayer.SetRules(d.combinedRule)
	return d
}

// Run injects faults until ctx ends, and then undoes those that are still active.
// Each worker has a random source that is seeded with the seed and the worker's
// number. Run returns the number of faults by name.
func (d *Injector) Run(ctx context.Context, seed uint64) map[string]int {
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			d.injectFaults(ctx, rand.New(rand.NewPCG(seed, uint64(worker))))
		})
	}
	group.Wait()
	return d.counts
}

func (d *Injector) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		waiter.Pause(ctx, minPause+time.Duration(random.Int64N(int64(pauseSpread))))
		f := faults[random.IntN(len(faults))]
		duration := minDuration + time.Duration(random.Int64N(int64(durationSpread)))
		victim, undo := f.start(d, random)
		if undo == nil {
			continue
		}
		d.count(f.name)
		d.options.Report(fmt.Sprintf("%s of %s for %s", f.name, victim, duration.Round(time.Millisecond)))
		waiter.Pause(ctx, duration)
		undo()
	}
}

func (d *Injector) count(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.counts[name]++
}

// reserveRandom reserves a random process for a fault. It returns nil if another
// fault has reserved that process.
func (d *Injector) reserveRandom(candidates []*launcher.Process, random *rand.Rand) *launcher.Process {
	p := candidates[random.IntN(len(candidates))]
	if !d.reserve(p) {
		return nil
	}
	return p
}

func (d *Injector) reserve(p *launcher.Process) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.reserved[p] {
		return false
	}
	d.reserved[p] = true
	return true
}

func (d *Injector) release(p *launcher.Process) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.reserved, p)
	for i := range d.disruptions {
		if d.disruptions[i].process == p && d.disruptions[i].to.IsZero() {
			d.disruptions[i].to = time.Now()
		}
	}
}

// beginDisruption records that a process is killed or suspended from now until it
// is released.
func (d *Injector) beginDisruption(p *launcher.Process) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.disruptions = append(d.disruptions, disruption{
		process: p,
		from:    time.Now(),
	})
}

// Disrupted reports whether a process was killed or suspended at some time
// between from and to. A graceful stop does not count, as the process must still
// finish its calls.
func (d *Injector) Disrupted(p *launcher.Process, from, to time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, dr := range d.disruptions {
		if dr.process == p && dr.from.Before(to) && (dr.to.IsZero() || dr.to.After(from)) {
			return true
		}
	}
	return false
}

// Revive restarts a process that has ended by itself, unless a fault has it. It reports
// whether it did.
func (d *Injector) Revive(p *launcher.Process) bool {
	if !d.reserve(p) {
		return false
	}
	defer d.release(p)
	select {
	case <-p.Ended():
		d.beginDisruption(p)
		d.restart(p)
		return true
	default:
		return false
	}
}

// restart starts a process that has ended, and releases it.
func (d *Injector) restart(p *launcher.Process) {
	if err := d.options.Cluster.Restart(p); err != nil {
		d.options.Report(err.Error())
	}
	d.release(p)
}

// addRule applies a rule to all links until the returned function is called.
func (d *Injector) addRule(rule func(from, to string) relayer.Rule) func() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.lastRuleID++
	id := d.lastRuleID
	d.rules[id] = rule
	return func() {
		d.lock.Lock()
		defer d.lock.Unlock()
		delete(d.rules, id)
	}
}

// combinedRule cuts a link if any rule does, and delays it by the sum of the rules'
// delays.
func (d *Injector) combinedRule(from, to string) relayer.Rule {
	d.lock.Lock()
	defer d.lock.Unlock()
	combined := relayer.Rule{}
	for _, rule := range d.rules {
		r := rule(from, to)
		combined.Cut = combined.Cut || r.Cut
		combined.Delay += r.Delay
	}
	return combined
}
