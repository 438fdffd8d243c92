package disturber

import (
	"fmt"
	"math/rand/v2"
	"os"
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
	{name: "graceful restart", begin: gracefulRestart},
	{name: "lost disk", begin: loseDisk},
	{name: "herd", begin: killZone},
	{name: "cut zone", begin: cutZone},
	{name: "one-way cut", begin: cutOneWay},
	{name: "lossy links", begin: loseBytes},
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
		p.Kill()
		return p.Name, func() { d.restart(p) }
	}
}

func freezeOf(among func(Options) []*launcher.Process) func(*Disturber, *rand.Rand) (string, func()) {
	return func(d *Disturber, random *rand.Rand) (string, func()) {
		p := d.take(among(d.options), random)
		if p == nil {
			return "", nil
		}
		p.Signal(syscall.SIGSTOP)
		return p.Name, func() {
			p.Signal(syscall.SIGCONT)
			d.release(p)
		}
	}
}

func gracefulRestart(d *Disturber, random *rand.Rand) (string, func()) {
	p := d.take(d.options.Nodes, random)
	if p == nil {
		return "", nil
	}
	p.Signal(syscall.SIGTERM)
	return p.Name, func() {
		<-p.Ended()
		d.restart(p)
	}
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
