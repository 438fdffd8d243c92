// Package disturber makes random faults happen to real processes and to the
// links between them, several at a time.
package disturber

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
	// hands is how many faults there may be at a time.
	hands = 3
	// leastPause and pauseSpread are the time between a hand's faults.
	leastPause  = 200 * time.Millisecond
	pauseSpread = 1000 * time.Millisecond
	// leastHold and holdSpread are how long a fault lasts.
	leastHold  = 300 * time.Millisecond
	holdSpread = 3500 * time.Millisecond
)

// Options are what a Disturber needs.
type Options struct {
	// Cluster has started the processes.
	Cluster *launcher.Cluster
	// Relayer stands between the processes.
	Relayer *relayer.Relayer
	// Zones is the number of availability zones.
	Zones int
	// Controls, Nodes and Targets are the processes.
	Controls []*launcher.Process
	Nodes    []*launcher.Process
	Targets  []*launcher.Process
	// AllVote says whether every control replica's disk votes, so that one
	// of them may be lost.
	AllVote func() bool
	// Tell is told of each fault.
	Tell func(text string)
}

// A Disturber makes faults.
type Disturber struct {
	options Options

	lock   sync.Mutex
	taken  map[*launcher.Process]bool
	harms  []harm
	rules  map[int]func(from, to string) relayer.Rule
	next   int
	counts map[string]int
}

// harm is a time in which a process cannot be held to what it began.
type harm struct {
	process  *launcher.Process
	from, to time.Time
}

// New returns a new Disturber. It makes all links pass.
func New(options Options) *Disturber {
	d := &Disturber{
		options: options,
		taken:   map[*launcher.Process]bool{},
		rules:   map[int]func(from, to string) relayer.Rule{},
		counts:  map[string]int{},
	}
	options.Relayer.SetRules(d.rule)
	return d
}

// Run makes faults until ctx ends, each hand by a random source of the seed
// and its own number, and then undoes those that last. It returns how often
// each happened.
func (d *Disturber) Run(ctx context.Context, seed uint64) map[string]int {
	var group sync.WaitGroup
	for hand := range hands {
		group.Go(func() {
			d.disturb(ctx, rand.New(rand.NewPCG(seed, uint64(hand))))
		})
	}
	group.Wait()
	return d.counts
}

func (d *Disturber) disturb(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		waiter.Pause(ctx, leastPause+time.Duration(random.Int64N(int64(pauseSpread))))
		f := faults[random.IntN(len(faults))]
		hold := leastHold + time.Duration(random.Int64N(int64(holdSpread)))
		what, undo := f.begin(d, random)
		if undo == nil {
			continue
		}
		d.count(f.name)
		d.options.Tell(fmt.Sprintf("%s of %s for %s", f.name, what, hold.Round(time.Millisecond)))
		waiter.Pause(ctx, hold)
		undo()
	}
}

func (d *Disturber) count(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.counts[name]++
}

// take claims a random process that no other fault has, or returns nil.
func (d *Disturber) take(among []*launcher.Process, random *rand.Rand) *launcher.Process {
	p := among[random.IntN(len(among))]
	if !d.claim(p) {
		return nil
	}
	return p
}

func (d *Disturber) claim(p *launcher.Process) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.taken[p] {
		return false
	}
	d.taken[p] = true
	return true
}

func (d *Disturber) release(p *launcher.Process) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.taken, p)
	for i := range d.harms {
		if d.harms[i].process == p && d.harms[i].to.IsZero() {
			d.harms[i].to = time.Now()
		}
	}
}

// beginHarm notes that a process is killed or stands still, until it is released.
func (d *Disturber) beginHarm(p *launcher.Process) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.harms = append(d.harms, harm{
		process: p,
		from:    time.Now(),
	})
}

// Harmed says whether a process was killed or stood still at some time between
// two. One that was told to stop was not.
func (d *Disturber) Harmed(p *launcher.Process, from, to time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, h := range d.harms {
		if h.process == p && h.from.Before(to) && (h.to.IsZero() || h.to.After(from)) {
			return true
		}
	}
	return false
}

// restart starts a process that has ended, and gives it free.
func (d *Disturber) restart(p *launcher.Process) {
	if err := d.options.Cluster.Restart(p); err != nil {
		d.options.Tell(err.Error())
	}
	d.release(p)
}

// addRule adds a rule to the links' until the returned function is called.
func (d *Disturber) addRule(rule func(from, to string) relayer.Rule) func() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.next++
	id := d.next
	d.rules[id] = rule
	return func() {
		d.lock.Lock()
		defer d.lock.Unlock()
		delete(d.rules, id)
	}
}

// rule is all rules together.
func (d *Disturber) rule(from, to string) relayer.Rule {
	d.lock.Lock()
	defer d.lock.Unlock()
	sum := relayer.Rule{}
	for _, rule := range d.rules {
		r := rule(from, to)
		sum.Cut = sum.Cut || r.Cut
		sum.Delay += r.Delay
	}
	return sum
}
