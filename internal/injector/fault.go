package injector

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
	// chunksPerLoss is the average number of chunks of which one is lost.
	chunksPerLoss = 10
	// retransmitDelay is how long a lost chunk is delayed by its retransmission.
	retransmitDelay = 200 * time.Millisecond
	// slowDelay is the additional one-way delay of a slow link.
	slowDelay = 60 * time.Millisecond
	// maxConsecutiveKills is the maximum number of times that a process is
	// killed in a row, and maxRunBetweenKills the maximum time that it runs
	// between two kills.
	maxConsecutiveKills = 4
	maxRunBetweenKills  = 400 * time.Millisecond
)

// fault is a kind of fault. Its start function picks a random victim and returns
// a description of the victim and a function that undoes the fault. That function
// is nil if no victim is available.
type fault struct {
	name  string
	start func(d *Injector, random *rand.Rand) (string, func())
}

var faults = []fault{
	{name: "kill of a node", start: kill(nodes)},
	{name: "kill of a target", start: kill(targets)},
	{name: "kill of a control replica", start: kill(controls)},
	{name: "freeze of a node", start: suspend(nodes)},
	{name: "freeze of a target", start: suspend(targets)},
	{name: "freeze of a control replica", start: suspend(controls)},
	{name: "stop of a node", start: terminate(nodes)},
	{name: "stop of a target", start: terminate(targets)},
	{name: "stop of a control replica", start: terminate(controls)},
	{name: "kills of a node in a row", start: killRepeatedly(nodes)},
	{name: "kills of a control replica in a row", start: killRepeatedly(controls)},
	{name: "settings read again", start: reload},
	{name: "lost disk", start: removeData},
	{name: "herd", start: killZone},
	{name: "cut zone", start: cutZone},
	{name: "one-way cut", start: cutOneWay},
	{name: "lossy links", start: loseChunks},
	{name: "slow links", start: slowLinks},
	{name: "silent connections", start: blackhole},
	{name: "reset connections", start: resetConnections},
}

func nodes(o Options) []*launcher.Process    { return o.Nodes }
func targets(o Options) []*launcher.Process  { return o.Targets }
func controls(o Options) []*launcher.Process { return o.Controls }

func kill(candidates func(Options) []*launcher.Process) func(*Injector, *rand.Rand) (string, func()) {
	return func(d *Injector, random *rand.Rand) (string, func()) {
		p := d.reserveRandom(candidates(d.options), random)
		if p == nil {
			return "", nil
		}
		d.beginDisruption(p)
		p.Kill()
		return p.Name, func() { d.restart(p) }
	}
}

// killRepeatedly kills a process and restarts it, several times in a row. Each
// further kill follows shortly after the restart.
func killRepeatedly(candidates func(Options) []*launcher.Process) func(*Injector, *rand.Rand) (string, func()) {
	return func(d *Injector, random *rand.Rand) (string, func()) {
		p := d.reserveRandom(candidates(d.options), random)
		if p == nil {
			return "", nil
		}
		times := 2 + random.IntN(maxConsecutiveKills-1)
		d.beginDisruption(p)
		for range times {
			p.Kill()
			if err := d.options.Cluster.Restart(p); err != nil {
				d.options.Report(err.Error())
			}
			time.Sleep(time.Duration(random.Int64N(int64(maxRunBetweenKills))))
		}
		return fmt.Sprintf("%s %d times", p.Name, times), func() { d.release(p) }
	}
}

// suspend stops a process with SIGSTOP and later resumes it with SIGCONT.
func suspend(candidates func(Options) []*launcher.Process) func(*Injector, *rand.Rand) (string, func()) {
	return func(d *Injector, random *rand.Rand) (string, func()) {
		p := d.reserveRandom(candidates(d.options), random)
		if p == nil {
			return "", nil
		}
		d.beginDisruption(p)
		p.Signal(syscall.SIGSTOP)
		return p.Name, func() {
			p.Signal(syscall.SIGCONT)
			d.release(p)
		}
	}
}

// terminate stops a process gracefully with SIGTERM, and restarts it once it has
// ended.
func terminate(candidates func(Options) []*launcher.Process) func(*Injector, *rand.Rand) (string, func()) {
	return func(d *Injector, random *rand.Rand) (string, func()) {
		p := d.reserveRandom(candidates(d.options), random)
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

// reload makes a process read its settings again. It does not reserve the process,
// so that it may coincide with any other fault.
func reload(d *Injector, random *rand.Rand) (string, func()) {
	candidates := slices.Concat(d.options.Nodes, d.options.Controls)
	p := candidates[random.IntN(len(candidates))]
	p.Signal(syscall.SIGHUP)
	return p.Name, func() {}
}

// removeData kills a control replica and removes its data, as if its disk were
// lost. It does so only if all replicas vote, since the system need not tolerate
// the loss of more than a minority of the disks at a time.
func removeData(d *Injector, random *rand.Rand) (string, func()) {
	p := d.reserveRandom(d.options.Controls, random)
	if p == nil {
		return "", nil
	}
	if !d.options.AllVoters() {
		d.release(p)
		return "", nil
	}
	d.beginDisruption(p)
	p.Kill()
	if err := os.RemoveAll(d.options.Cluster.DataFolder(p.Name)); err != nil {
		d.options.Report(err.Error())
	}
	return p.Name, func() { d.restart(p) }
}

// killZone kills the nodes of an availability zone and restarts them all at once.
// Nodes that another fault has reserved are left out.
func killZone(d *Injector, random *rand.Rand) (string, func()) {
	zone := random.IntN(d.options.Zones)
	var killed []*launcher.Process
	for _, p := range d.options.Nodes {
		if launcher.ZoneOf(p.IP) == zone && d.reserve(p) {
			d.beginDisruption(p)
			p.Kill()
			killed = append(killed, p)
		}
	}
	if len(killed) == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d nodes of zone %d", len(killed), zone), func() {
		for _, p := range killed {
			d.restart(p)
		}
	}
}

// cutZone cuts the links between an availability zone and the others.
func cutZone(d *Injector, random *rand.Rand) (string, func()) {
	zone := random.IntN(d.options.Zones)
	return fmt.Sprintf("zone %d", zone), d.addRule(func(from, to string) relayer.Rule {
		return relayer.Rule{
			Cut: (launcher.ZoneOf(from) == zone) != (launcher.ZoneOf(to) == zone),
		}
	})
}

// cutOneWay cuts all traffic out of an availability zone. Traffic into it passes.
func cutOneWay(d *Injector, random *rand.Rand) (string, func()) {
	zone := random.IntN(d.options.Zones)
	return fmt.Sprintf("zone %d, outwards", zone), d.addRule(func(from, to string) relayer.Rule {
		return relayer.Rule{
			Cut: launcher.ZoneOf(from) == zone && launcher.ZoneOf(to) != zone,
		}
	})
}

// loseChunks delays a random part of all chunks as if they had been lost and
// retransmitted.
func loseChunks(d *Injector, _ *rand.Rand) (string, func()) {
	return "all links", d.addRule(func(string, string) relayer.Rule {
		if rand.IntN(chunksPerLoss) > 0 {
			return relayer.Rule{}
		}
		return relayer.Rule{
			Delay: retransmitDelay,
		}
	})
}

// slowLinks delays all bytes to or from an availability zone.
func slowLinks(d *Injector, random *rand.Rand) (string, func()) {
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

// blackhole makes the open connections from and to a node discard all bytes from
// now on.
func blackhole(d *Injector, random *rand.Rand) (string, func()) {
	p := d.options.Nodes[random.IntN(len(d.options.Nodes))]
	n := d.options.Relayer.Blackhole(func(from, to string) bool {
		return from == p.IP || to == p.IP
	})
	return fmt.Sprintf("%d at %s", n, p.Name), func() {}
}

func resetConnections(d *Injector, random *rand.Rand) (string, func()) {
	p := d.options.Nodes[random.IntN(len(d.options.Nodes))]
	d.options.Relayer.Reset(func(from, to string) bool {
		return from == p.IP || to == p.IP
	})
	return "those of " + p.Name, func() {}
}
