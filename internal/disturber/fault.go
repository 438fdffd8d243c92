package disturber

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/relayer"
)

const (
	// lossOneIn is how many pieces are sent for one that is lost.
	lossOneIn = 10
	// resendDelay is what a lost piece costs on its connection.
	resendDelay = 200 * time.Millisecond
	// slowDelay is the one-way delay of a slow link.
	slowDelay = 60 * time.Millisecond
	// mostInARow is how often a process is killed in a row at most, and
	// inARowSpread the longest time that it runs in between.
	mostInARow   = 4
	inARowSpread = 400 * time.Millisecond
)

// fault is one kind of fault. It begins with a random victim and returns what
// that is and how to undo it, or nil if there is no victim now.
type fault struct {
	name  string
	begin func(d *Disturber, random *rand.Rand) (string, func())
}

var faults = []fault{
	{name: "kill of a node", begin: killOf(nodes)},
	{name: "kill of a target", begin: killOf(targets)},
	{name: "kill of a control replica", begin: killOf(controls)},
	{name: "freeze of a node", begin: freezeOf(nodes)},
	{name: "freeze of a target", begin: freezeOf(targets)},
	{name: "freeze of a control replica", begin: freezeOf(controls)},
	{name: "stop of a node", begin: stopOf(nodes)},
	{name: "stop of a target", begin: stopOf(targets)},
	{name: "stop of a control replica", begin: stopOf(controls)},
	{name: "kills of a node in a row", begin: killInARow(nodes)},
	{name: "kills of a control replica in a row", begin: killInARow(controls)},
	{name: "settings read again", begin: reload},
	{name: "lost disk", begin: loseDisk},
	{name: "herd", begin: killZone},
	{name: "cut zone", begin: cutZone},
	{name: "one-way cut", begin: cutOneWay},
	{name: "lossy links", begin: loseBytes},
	{name: "slow links", begin: slowLinks},
	{name: "silent connections", begin: silence},
	{name: "reset connections", begin: reset},
}

func nodes(o Options) []*launcher.Process    { return o.Nodes }
func targets(o Options) []*launcher.Process  { return o.Targets }
func controls(o Options) []*launcher.Process { return o.Controls }

func killOf(among func(Options) []*launcher.Process) func(*Disturber, *rand.Rand) (string, func()) {
	return func(d *Disturber, random *rand.Rand) (string, func()) {
		p := d.take(among(d.options), random)
		if p == nil {
			return "", nil
		}
		d.beginHarm(p)
		p.Kill()
		return p.Name, func() { d.restart(p) }
	}
}

// killInARow kills a process again each time that it has just been started.
func killInARow(among func(Options) []*launcher.Process) func(*Disturber, *rand.Rand) (string, func()) {
	return func(d *Disturber, random *rand.Rand) (string, func()) {
		p := d.take(among(d.options), random)
		if p == nil {
			return "", nil
		}
		times := 2 + random.IntN(mostInARow-1)
		d.beginHarm(p)
		for range times {
			p.Kill()
			if err := d.options.Cluster.Restart(p); err != nil {
				d.options.Tell(err.Error())
			}
			time.Sleep(time.Duration(random.Int64N(int64(inARowSpread))))
		}
		return fmt.Sprintf("%s %d times", p.Name, times), func() { d.release(p) }
	}
}

func freezeOf(among func(Options) []*launcher.Process) func(*Disturber, *rand.Rand) (string, func()) {
	return func(d *Disturber, random *rand.Rand) (string, func()) {
		p := d.take(among(d.options), random)
		if p == nil {
			return "", nil
		}
		d.beginHarm(p)
		p.Signal(syscall.SIGSTOP)
		return p.Name, func() {
			p.Signal(syscall.SIGCONT)
			d.release(p)
		}
	}
}

// stopOf tells a process to stop, and starts it again once it has ended.
func stopOf(among func(Options) []*launcher.Process) func(*Disturber, *rand.Rand) (string, func()) {
	return func(d *Disturber, random *rand.Rand) (string, func()) {
		p := d.take(among(d.options), random)
		if p == nil {
			return "", nil
		}
		p.Signal(syscall.SIGTERM)
		return p.Name, func() {
			<-p.Ended()
			d.restart(p)
		}
	}
}

// reload has a process read its settings again, whatever else befalls it.
func reload(d *Disturber, random *rand.Rand) (string, func()) {
	among := slices.Concat(d.options.Nodes, d.options.Controls)
	p := among[random.IntN(len(among))]
	p.Signal(syscall.SIGHUP)
	return p.Name, func() {}
}

// loseDisk kills a control replica and removes its data, if all disks vote:
// more lost disks than a minority at a time are beyond what must be borne.
func loseDisk(d *Disturber, random *rand.Rand) (string, func()) {
	p := d.take(d.options.Controls, random)
	if p == nil {
		return "", nil
	}
	if !d.options.AllVote() {
		d.release(p)
		return "", nil
	}
	d.beginHarm(p)
	p.Kill()
	if err := os.RemoveAll(d.options.Cluster.DataFolder(p.Name)); err != nil {
		d.options.Tell(err.Error())
	}
	return p.Name, func() { d.restart(p) }
}

// killZone kills all nodes of an availability zone, which return together.
func killZone(d *Disturber, random *rand.Rand) (string, func()) {
	zone := random.IntN(d.options.Zones)
	var herd []*launcher.Process
	for _, p := range d.options.Nodes {
		if launcher.ZoneOf(p.IP) == zone && d.claim(p) {
			d.beginHarm(p)
			p.Kill()
			herd = append(herd, p)
		}
	}
	if len(herd) == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d nodes of zone %d", len(herd), zone), func() {
		for _, p := range herd {
			d.restart(p)
		}
	}
}

func cutZone(d *Disturber, random *rand.Rand) (string, func()) {
	zone := random.IntN(d.options.Zones)
	return fmt.Sprintf("zone %d", zone), d.addRule(func(from, to string) relayer.Rule {
		return relayer.Rule{
			Cut: (launcher.ZoneOf(from) == zone) != (launcher.ZoneOf(to) == zone),
		}
	})
}

func cutOneWay(d *Disturber, random *rand.Rand) (string, func()) {
	zone := random.IntN(d.options.Zones)
	return fmt.Sprintf("zone %d, outwards", zone), d.addRule(func(from, to string) relayer.Rule {
		return relayer.Rule{
			Cut: launcher.ZoneOf(from) == zone && launcher.ZoneOf(to) != zone,
		}
	})
}

// loseBytes has a share of all pieces come as late as if they had been lost
// and sent again.
func loseBytes(d *Disturber, _ *rand.Rand) (string, func()) {
	return "all links", d.addRule(func(string, string) relayer.Rule {
		if rand.IntN(lossOneIn) > 0 {
			return relayer.Rule{}
		}
		return relayer.Rule{
			Delay: resendDelay,
		}
	})
}

// slowLinks delays all that goes to or from an availability zone.
func slowLinks(d *Disturber, random *rand.Rand) (string, func()) {
	zone := random.IntN(d.options.Zones)
	return fmt.Sprintf("zone %d", zone), d.addRule(func(from, to string) relayer.Rule {
		if launcher.ZoneOf(from) != zone && launcher.ZoneOf(to) != zone {
			return relayer.Rule{}
		}
		return relayer.Rule{
			Delay: slowDelay,
		}
	})
}

// silence makes the open connections to one node's instance silent for good.
func silence(d *Disturber, random *rand.Rand) (string, func()) {
	p := d.options.Nodes[random.IntN(len(d.options.Nodes))]
	n := d.options.Relayer.Silence(func(from, to string) bool {
		return from == p.IP || to == p.IP
	})
	return fmt.Sprintf("%d at %s", n, p.Name), func() {}
}

func reset(d *Disturber, random *rand.Rand) (string, func()) {
	p := d.options.Nodes[random.IntN(len(d.options.Nodes))]
	d.options.Relayer.Reset(func(from, to string) bool {
		return from == p.IP || to == p.IP
	})
	return "those of " + p.Name, func() {}
}
