// Package coordinator runs one member of the overlay. It maintains links to the
// neighbours, floods facts and heads over them, and detects failed members.
package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor/internal/admitter"
	"github.com/fireflymoor/fireflymoor/internal/announcer"
	"github.com/fireflymoor/fireflymoor/internal/asserter"
	"github.com/fireflymoor/fireflymoor/internal/dialer"
	"github.com/fireflymoor/fireflymoor/internal/distributor"
	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/quarantiner"
	"github.com/fireflymoor/fireflymoor/internal/sequencer"
)

const (
	tickInterval = 100 * time.Millisecond
	// flushDelay is how long facts are collected before they are sent together,
	// and busyFlushDelay the same if others were sent within busyWindow.
	flushDelay     = 15 * time.Millisecond
	busyFlushDelay = 40 * time.Millisecond
	busyWindow     = 250 * time.Millisecond
	// minOfferDelay and maxOfferDelay bound the random time for which the keys of
	// facts are collected before they are offered to the members of this zone that
	// do not get the facts in full.
	minOfferDelay = 200 * time.Millisecond
	maxOfferDelay = 500 * time.Millisecond
	// leaveDelay is the time allowed for sending the last fact before Run returns.
	leaveDelay = 300 * time.Millisecond
	// stallThreshold is the time between two ticks above which this process is
	// taken to have been stalled.
	stallThreshold = 700 * time.Millisecond
	// admitsPerSecond is the maximum rate at which links and joins are admitted.
	admitsPerSecond = 150
	// admitRetrySpread is the maximum delay after which a refused process is to
	// retry.
	admitRetrySpread = 2 * time.Second
	// digestMismatchThreshold is the number of consecutive heartbeats with a
	// digest other than the local one after which facts are compared.
	digestMismatchThreshold = 3
	// digestInterval is the minimum time between two comparisons of facts that
	// this process starts. A process that has just started gets the facts from one
	// neighbour and not from each.
	digestInterval = time.Second
	// invalidLogPeriod is the minimum time between two log lines about invalid records.
	invalidLogPeriod = time.Second
)

// A Watcher is notified of changes, on the sequencer.
type Watcher interface {
	// VersionStored reports that a newer version is held completely.
	VersionStored()
	// MembersChanged reports that members or their targets have changed.
	MembersChanged()
	// DeparturesLearned passes the departures that an earlier run of this process
	// announced, as far as another member knows them.
	DeparturesLearned(departures []*messenger.Departure)
}

// Options configures a Coordinator.
type Options struct {
	// Self is the initial fact of this process.
	Self *messenger.Fact
	// Seeds are the overlay addresses through which to join the overlay.
	Seeds []string
	// Sequencer serializes access to the control state.
	Sequencer *sequencer.Sequencer
	// Asserter checks invariants.
	Asserter asserter.Asserter
	// Dialer opens links.
	Dialer *dialer.Dialer
	// Random is the source of randomness. It is used on the sequencer only.
	Random *rand.Rand
	// Log is the logger.
	Log zerolog.Logger
	// Watcher is notified of changes.
	Watcher Watcher
	// LinkRate is the rate of the link, in bits a second, or 0 if it is not known.
	LinkRate float64
	// Quarantiner holds the requests under which targets have ended. If it is nil, New
	// creates one.
	Quarantiner *quarantiner.Quarantiner
}

// A Coordinator runs one member of the overlay. Its methods must be called on
// the sequencer unless documented otherwise.
type Coordinator struct {
	options     Options
	linker      *linker.Linker
	announcer   *announcer.Announcer
	distributor *distributor.Distributor

	ctx   context.Context
	links map[string]*linker.Link
	peers map[string]*peer
	// pending maps the names of members whose facts are queued to the origins
	// of the facts.
	pending        map[string]origin
	flushScheduled bool
	lastFlush      time.Time
	// offers maps the names of members whose facts are to be offered to the
	// neighbours that are known to hold them.
	offers          map[string]map[string]bool
	offersScheduled bool
	digestSentAt    time.Time
	health          health
	lastTick        time.Time
	stalledAt       time.Time
	joinDue         time.Time
	joinAttempts    int
	probeDue        time.Time
	expireDue       time.Time
	heldVersion     uint64
	linkTimeouts    []time.Time

	// invalidLog is limited, because an invalid record is sent again and again.
	invalidLog zerolog.Logger

	admitLock sync.Mutex
	admitter  *admitter.Admitter
	published atomic.Pointer[publishedState]
	// linkCount is the number of links that are up, for goroutines beside the sequencer.
	linkCount atomic.Int64
}

// origin identifies the link over which a fact to flood was received. The peer
// is empty if the fact was not received over a link.
type origin struct {
	peer string
}

// peer is the local state of a member besides its fact.
type peer struct {
	dialing          bool
	dialTimeouts     int
	dialFailures     int
	dialBlockedUntil time.Time
	suspectedAt      time.Time
	wantedSince      time.Time
	unwantedSince    time.Time
	// answeredAt is when the member last responded over a new connection because
	// the link to it was quiet.
	answeredAt       time.Time
	digestMismatches int
}

// publishedState is an immutable copy of the state that link goroutines read.
type publishedState struct {
	self      *messenger.Fact
	head      *messenger.Head
	heartbeat *messenger.Heartbeat
}

// New returns a Coordinator. It opens no links until Run is called.
func New(options Options, now time.Time) *Coordinator {
	c := &Coordinator{
		options:     options,
		announcer:   announcer.New(options.Self, now),
		distributor: distributor.New(options.Asserter),
		links:       map[string]*linker.Link{},
		peers:       map[string]*peer{},
		pending:     map[string]origin{},
		offers:      map[string]map[string]bool{},
		admitter:    admitter.New(admitsPerSecond, admitRetrySpread, rand.New(rand.NewPCG(options.Random.Uint64(), 0))),
		lastTick:    now,
		invalidLog: options.Log.Sample(&zerolog.BurstSampler{
			Burst:  1,
			Period: invalidLogPeriod,
		}),
	}
	c.distributor.SetLinkRate(options.LinkRate)
	c.linker = linker.NewLinker(c, options.Dialer)
	if c.options.Quarantiner == nil {
		c.options.Quarantiner = quarantiner.New()
	}
	c.options.Quarantiner.UseSpread(func(news *messenger.TargetEnds) {
		c.options.Sequencer.Post(func() { c.sendTargetEnds(news, "") })
	})
	c.publish()
	return c
}

// Linker returns the linker that opens and accepts links.
func (c *Coordinator) Linker() *linker.Linker {
	return c.linker
}

// Announcer returns the announcer, which holds the known facts.
func (c *Coordinator) Announcer() *announcer.Announcer {
	return c.announcer
}

// Distributor returns the distributor, which holds the versions.
func (c *Coordinator) Distributor() *distributor.Distributor {
	return c.distributor
}

// Links returns the number of links that are up. It may be called from any goroutine.
func (c *Coordinator) Links() int {
	return int(c.linkCount.Load())
}

// SetHeldVersion sets the number of the version in force here, as sent in
// heartbeats.
func (c *Coordinator) SetHeldVersion(number uint64) {
	c.heldVersion = number
	c.publish()
}

// SetSeeds replaces the overlay addresses through which to join the overlay.
func (c *Coordinator) SetSeeds(seeds []string) {
	c.options.Seeds = seeds
}

// Run maintains the member until ctx ends, and then floods that it has left. It
// must not be called on the sequencer.
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

// IsLocalBoot reports whether a boot number belongs to this process. It may be
// the initial number, or the number to which it was raised to refute facts of an
// earlier run that had a later clock. It may be called from any goroutine.
func (c *Coordinator) IsLocalBoot(boot uint64) bool {
	return boot == c.options.Self.GetBoot() || boot == c.published.Load().self.GetBoot()
}

// publish makes the current state available to the link goroutines.
func (c *Coordinator) publish() {
	manifest := c.distributor.Manifest()
	c.published.Store(&publishedState{
		self: c.announcer.Self(),
		head: messenger.HeadOf(manifest),
		heartbeat: &messenger.Heartbeat{
			Number: manifest.Number(),
			Held:   c.heldVersion,
			Digest: announcer.CombineDigest(c.announcer.Digest()),
		},
	})
}

// SetTargets replaces this process's targets and departures, and floods the
// change.
func (c *Coordinator) SetTargets(targets []*messenger.Target, departures []*messenger.Departure) {
	c.flood(c.announcer.SetTargets(targets, departures, time.Now()), "")
	c.options.Watcher.MembersChanged()
}

// Apply carries out the effects that the distributor has returned.
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
		c.options.Watcher.VersionStored()
	}
	if effects.TickAfter > 0 {
		time.AfterFunc(effects.TickAfter, func() {
			c.options.Sequencer.Post(func() { c.Apply(c.distributor.Tick(time.Now())) })
		})
	}
}

// flood queues a fact for all links, except for the one to the member from
// which it was received. The name is empty if it was not received over a link.
func (c *Coordinator) flood(fact *messenger.Fact, from string) {
	if fact == nil {
		return
	}
	if from == "" {
		c.publish()
	}
	c.pending[fact.GetName()] = origin{
		peer: from,
	}
	if c.flushScheduled {
		return
	}
	c.flushScheduled = true
	delay := flushDelay
	if time.Since(c.lastFlush) < busyWindow {
		delay = busyFlushDelay
	}
	time.AfterFunc(delay, func() {
		c.options.Sequencer.Post(c.flush)
	})
}

// flush sends the queued facts. Within the zone they go in full along the ring
// only, to the nearest linked member in each direction, so that each member
// receives a fact about once. The other links of the zone get an offer some time
// later, which bridges a gap in the ring.
func (c *Coordinator) flush() {
	c.flushScheduled = false
	c.lastFlush = time.Now()
	c.publish()
	adjacent := c.announcer.Adjacent(func(name string) bool { return c.links[name] != nil })
	for name, link := range c.links {
		sameZone := link.Peer().GetZone() == c.announcer.Self().GetZone()
		if sameZone && !slices.Contains(adjacent, name) {
			continue
		}
		c.sendPending(name, link)
	}
	for fact, from := range c.pending {
		c.offers[fact] = map[string]bool{
			from.peer: true,
		}
	}
	c.pending = map[string]origin{}
	c.scheduleOffers()
}

// sendPending sends the pending facts to a neighbour. Facts received from other
// members are not sent in full to a neighbour in another zone: only the keys of
// those that ShouldRelay selects are offered. The neighbour receives most of the
// facts over other links too, and cross-zone traffic is expensive.
func (c *Coordinator) sendPending(name string, link *linker.Link) {
	facts := &messenger.Facts{}
	offer := &messenger.Offer{}
	crossZone := link.Peer().GetZone() != c.announcer.Self().GetZone()
	for fact, from := range c.pending {
		switch {
		case from.peer == name:
		case crossZone && from.peer != "" && !c.announcer.ShouldRelay(fact):
		case crossZone && from.peer != "":
			offer.Keys = append(offer.Keys, c.announcer.Key(fact))
		default:
			facts.Facts = append(facts.Facts, c.announcer.Fact(fact))
		}
	}
	if len(facts.GetFacts()) > 0 {
		link.Send(factsFrame(facts))
	}
	sendOffer(link, offer)
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
