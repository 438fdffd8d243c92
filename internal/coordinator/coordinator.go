// Package coordinator runs one process's part of the overlay: it keeps links
// to neighbours, floods facts and heads over them, and finds silent members.
package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/admitter"
	"github.com/fireflymoor/fireflymoor/internal/announcer"
	"github.com/fireflymoor/fireflymoor/internal/asserter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/distributor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/neighbour"
	"github.com/fireflymoor/fireflymoor/internal/sequencer"
)

const (
	tickInterval   = 100 * time.Millisecond
	flushDelay     = 15 * time.Millisecond
	leaveDelay     = 300 * time.Millisecond
	stallLimit     = 700 * time.Millisecond
	admitPerSec    = 150
	admitSpread    = 2 * time.Second
	digestPatience = 3
)

// A Watcher is told on the sequencer of what changes.
type Watcher interface {
	// Stored says that a newer version is held whole.
	Stored()
	// MembersChanged says that members or their targets changed.
	MembersChanged()
}

// Options are what a Coordinator needs.
type Options struct {
	// Self is the process's own fact.
	Self *messenger.Fact
	// Seeds are overlay addresses to join by.
	Seeds []string
	// Sequencer owns the control state.
	Sequencer *sequencer.Sequencer
	// Asserter checks invariants.
	Asserter asserter.Asserter
	// Dialer opens links.
	Dialer *dialer.Dialer
	// Random is used on the sequencer only.
	Random *rand.Rand
	// Log has the part's prefix.
	Log zerolog.Logger
	// Watcher is told of changes.
	Watcher Watcher
}

// A Coordinator is one member of the overlay. Its methods are called on the
// sequencer unless they say otherwise.
type Coordinator struct {
	options     Options
	linker      *neighbour.Linker
	announcer   *announcer.Announcer
	distributor *distributor.Distributor

	ctx       context.Context
	links     map[string]*neighbour.Link
	peers     map[string]*peer
	pending   map[string]source
	flushing  bool
	lastTick  time.Time
	stalledAt time.Time
	joinDue   time.Time
	joinTries int
	probeDue  time.Time
	expireDue time.Time
	held      uint64
	silences  []time.Time

	admitLock sync.Mutex
	admitter  *admitter.Admitter
	published atomic.Pointer[published]
}

// source says which link a fact to flood came over.
type source struct {
	peer string
}

// peer is what is remembered of a member beyond its fact.
type peer struct {
	dialing      bool
	timeouts     int
	failures     int
	blockedUntil time.Time
	suspectedAt  time.Time
	unwantedAt   time.Time
	differences  int
}

// published is what link goroutines read.
type published struct {
	self      *messenger.Fact
	head      *messenger.Head
	heartbeat *messenger.Heartbeat
}

// New returns a new Coordinator.
func New(options Options, now time.Time) *Coordinator {
	c := &Coordinator{
		options:     options,
		announcer:   announcer.New(options.Self, now),
		distributor: distributor.New(options.Asserter),
		links:       map[string]*neighbour.Link{},
		peers:       map[string]*peer{},
		pending:     map[string]source{},
		admitter:    admitter.New(admitPerSec, admitSpread, rand.New(rand.NewPCG(options.Random.Uint64(), 0))),
		lastTick:    now,
	}
	c.linker = neighbour.NewLinker(c, options.Dialer)
	c.publish()
	return c
}

// Linker returns what accepts links.
func (c *Coordinator) Linker() *neighbour.Linker {
	return c.linker
}

// Announcer returns what is believed of the members.
func (c *Coordinator) Announcer() *announcer.Announcer {
	return c.announcer
}

// Distributor returns the versions' keeper.
func (c *Coordinator) Distributor() *distributor.Distributor {
	return c.distributor
}

// Links returns the number of links that are up.
func (c *Coordinator) Links() int {
	return len(c.links)
}

// SetHeld sets the version that heartbeats say is in force here.
func (c *Coordinator) SetHeld(number uint64) {
	c.held = number
	c.publish()
}

// SetSeeds replaces the overlay addresses to join by.
func (c *Coordinator) SetSeeds(seeds []string) {
	c.options.Seeds = seeds
}

// Run keeps the overlay going until ctx ends, and then says goodbye. It is
// called off the sequencer.
func (c *Coordinator) Run(ctx context.Context) {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	c.options.Sequencer.Post(func() {
		c.ctx = running
	})
	c.options.Sequencer.Every(ctx, tickInterval, c.tick)
	c.options.Sequencer.Post(func() {
		c.flood(c.announcer.Leave(time.Now()), "")
	})
	time.Sleep(leaveDelay)
}

// IsBoot says whether a boot number is this process's: the one it began with, or
// the one that it has raised since, to refute what was said of an earlier start
// under a later clock. It may be called from any goroutine.
func (c *Coordinator) IsBoot(boot uint64) bool {
	return boot == c.options.Self.GetBoot() || boot == c.published.Load().self.GetBoot()
}

func (c *Coordinator) publish() {
	manifest := c.distributor.Manifest()
	c.published.Store(&published{
		self: c.announcer.Self(),
		head: messenger.HeadOf(manifest),
		heartbeat: &messenger.Heartbeat{
			Number: manifest.Number(),
			Held:   c.held,
			Digest: announcer.CombineDigest(c.announcer.Digest()),
		},
	})
}

// SetTargets announces this process's targets.
func (c *Coordinator) SetTargets(targets []*messenger.Target) {
	c.flood(c.announcer.SetTargets(targets, time.Now()), "")
	c.options.Watcher.MembersChanged()
}

// Apply carries out what the distributor asks for.
func (c *Coordinator) Apply(effects distributor.Effects) {
	if effects.Stored {
		c.publish()
	}
	for _, send := range effects.Sends {
		if link := c.links[send.Peer]; link != nil {
			link.Send(send.Frame)
		}
	}
	if effects.Stored {
		c.options.Watcher.Stored()
	}
}

// flood queues a fact for all links but the one it came over.
func (c *Coordinator) flood(fact *messenger.Fact, from string) {
	if fact == nil {
		return
	}
	if from == "" {
		c.publish()
	}
	c.pending[fact.GetName()] = source{
		peer: from,
	}
	if c.flushing {
		return
	}
	c.flushing = true
	time.AfterFunc(flushDelay, func() {
		c.options.Sequencer.Post(c.flush)
	})
}

func (c *Coordinator) flush() {
	c.flushing = false
	c.publish()
	for name, link := range c.links {
		c.tellPending(name, link)
	}
	c.pending = map[string]source{}
}

// tellPending tells a neighbour of the pending facts. One in another zone is
// offered those of this zone's other members, as most come there by other ways
// too, and the way is dear.
func (c *Coordinator) tellPending(name string, link *neighbour.Link) {
	facts := &messenger.Facts{}
	offer := &messenger.Offer{}
	far := link.Peer().GetZone() != c.announcer.Self().GetZone()
	for fact, from := range c.pending {
		switch {
		case from.peer == name:
		case far && from.peer != "" && !c.announcer.ShouldRelay(fact):
		case far && from.peer != "":
			offer.Keys = append(offer.Keys, c.announcer.Key(fact))
		default:
			facts.Facts = append(facts.Facts, c.announcer.Fact(fact))
		}
	}
	if len(facts.GetFacts()) > 0 {
		link.Send(factsFrame(facts))
	}
	if len(offer.GetKeys()) > 0 {
		link.Send(&messenger.Frame{
			Body: &messenger.Frame_Offer{
				Offer: offer,
			},
		})
	}
}

func factsFrame(facts *messenger.Facts) *messenger.Frame {
	return &messenger.Frame{
		Body: &messenger.Frame_Facts{
			Facts: facts,
		},
	}
}

func (c *Coordinator) peer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{}
		c.peers[name] = p
	}
	return p
}
