package coordinator

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/neighbour"
)

const (
	// firstBackoff and lastBackoff bound the wait after a failed dial.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 1500 * time.Millisecond
	// unwantedLife is how long a link that is no longer wanted stays.
	unwantedLife = 5 * time.Second
	// timeoutsToSuspect is the number of dials in a row without an answer
	// that make a suspicion.
	timeoutsToSuspect = 2
	// crowdTime and crowdLeast say when many links are silent at once.
	crowdTime  = 2 * time.Second
	crowdLeast = 4
	// suspectAgain is how long a refuted suspicion is not raised again by
	// this process.
	suspectAgain = 10 * time.Second
	// probeInterval is how often each zone looks for members behind a cut,
	// divided among its members.
	probeInterval = time.Second
	// probesPerZone is how many members of a zone look at each interval.
	probesPerZone = 2
	// expireInterval is how often facts of gone members are looked over.
	expireInterval = 10 * time.Second
)

func (c *Coordinator) tick() {
	now := time.Now()
	if now.Sub(c.lastTick) > stallLimit {
		c.stalledAt = now
	}
	c.lastTick = now
	c.Apply(c.distributor.Tick(now))
	c.keepLinks(now)
	c.join(now)
	c.probe(now)
	if now.After(c.expireDue) {
		c.expireDue = now.Add(expireInterval)
		if c.announcer.Expire(now) {
			c.options.Watcher.MembersChanged()
		}
	}
}

// stalled says whether this process itself stood still lately, so that
// silence says nothing of its peers.
func (c *Coordinator) stalled(now time.Time) bool {
	return now.Sub(c.lastTick) > stallLimit || now.Sub(c.stalledAt) < stallLimit
}

// crowded notes a silence, and says whether so many links went silent in a
// short time that the fault is rather with this process or its machine. The
// members are then dialed before they are suspected.
func (c *Coordinator) crowded(now time.Time) bool {
	c.silences = append(slices.DeleteFunc(c.silences, func(at time.Time) bool {
		return now.Sub(at) > crowdTime
	}), now)
	return len(c.silences) > max(len(c.links)/2, crowdLeast)
}

// keepLinks dials the neighbours that have no link, and closes the dialed
// links that are not wanted any more.
func (c *Coordinator) keepLinks(now time.Time) {
	wanted := map[string]bool{}
	for _, f := range c.announcer.Neighbours() {
		wanted[f.GetName()] = true
		if c.links[f.GetName()] == nil {
			c.dial(f)
		}
	}
	c.pace()
	for name, link := range c.links {
		p := c.peer(name)
		if !link.Dialed() || wanted[name] {
			p.unwantedAt = time.Time{}
			continue
		}
		if p.unwantedAt.IsZero() {
			p.unwantedAt = now
		}
		if now.Sub(p.unwantedAt) > unwantedLife {
			p.unwantedAt = now
			link.Close(neighbour.ErrUnwanted)
		}
	}
}

// pace has the ring successor heard often, so that the silence of either is
// found soon, and all others seldom.
func (c *Coordinator) pace() {
	successor := c.announcer.Successor().GetName()
	for name, link := range c.links {
		if name == successor {
			link.Wish(neighbour.FastHeartbeat)
			continue
		}
		link.Wish(neighbour.SlowHeartbeat)
	}
}

// dial opens a link to a member, unless one is being opened or the last
// failure is too recent.
func (c *Coordinator) dial(fact *messenger.Fact) {
	name := fact.GetName()
	p := c.peer(name)
	if p.dialing || c.ctx == nil || time.Now().Before(p.blockedUntil) {
		return
	}
	p.dialing = true
	go func() {
		opened, err := c.linker.Open(c.ctx, fact.GetOverlayAddress())
		c.options.Sequencer.Post(func() {
			p.dialing = false
			if opened {
				c.reopen(fact, err)
				return
			}
			c.dialFailed(fact, err)
		})
	}()
}

// reopen dials again after a dialed link has broken, to learn whether the
// member is gone.
func (c *Coordinator) reopen(fact *messenger.Fact, err error) {
	closed := errors.IsAny(err, neighbour.ErrUnwanted, neighbour.ErrReplaced, neighbour.ErrSilent)
	if !closed && c.links[fact.GetName()] == nil {
		c.dial(fact)
	}
}

// dialFailed takes the failure to open a link.
func (c *Coordinator) dialFailed(fact *messenger.Fact, err error) {
	now := time.Now()
	p := c.peer(fact.GetName())
	later := &neighbour.LaterError{}
	if errors.As(err, &later) {
		p.blockedUntil = now.Add(later.After)
		return
	}
	p.blockedUntil = now.Add(c.backoff(p.failures))
	p.failures++
	if c.links[fact.GetName()] != nil || c.stalled(now) {
		return
	}
	if timedOut(err) {
		p.timeouts++
	}
	if !timedOut(err) || p.timeouts >= timeoutsToSuspect {
		c.suspect(fact, now)
	}
}

// timedOut says whether a dial ended without any answer, as it does at a busy
// member too. A refusal tells at once that the member is gone.
func timedOut(err error) bool {
	var network net.Error
	return errors.Is(err, neighbour.ErrSilent) || errors.Is(err, context.Canceled) ||
		(errors.As(err, &network) && network.Timeout())
}

// backoff returns a jittered, capped wait.
func (c *Coordinator) backoff(failures int) time.Duration {
	wait := lastBackoff
	if failures < 4 {
		wait = firstBackoff << failures
	}
	return wait/2 + time.Duration(c.options.Random.Int64N(int64(wait)))
}

// suspect floods that a member is not heard.
func (c *Coordinator) suspect(fact *messenger.Fact, now time.Time) {
	p := c.peer(fact.GetName())
	if now.Sub(p.suspectedAt) < suspectAgain {
		return
	}
	known := c.announcer.Fact(fact.GetName())
	if known == nil {
		return
	}
	news := c.announcer.Suspect(fact.GetName(), known.GetBoot(), now)
	if news == nil || known.GetBoot() != fact.GetBoot() {
		return
	}
	p.suspectedAt = now
	c.logMember(news)
	c.flood(news, "")
	c.options.Watcher.MembersChanged()
}

// join asks a seed for members while there are no links.
func (c *Coordinator) join(now time.Time) {
	if len(c.links) > 0 || len(c.options.Seeds) == 0 || now.Before(c.joinDue) || c.ctx == nil {
		return
	}
	c.joinDue = now.Add(c.backoff(c.joinTries))
	c.joinTries++
	c.ask(c.options.Seeds[c.options.Random.IntN(len(c.options.Seeds))])
}

func (c *Coordinator) ask(seed string) {
	if seed == c.announcer.Self().GetOverlayAddress() {
		return
	}
	go func() {
		err := c.linker.Join(c.ctx, seed)
		later := &neighbour.LaterError{}
		if errors.As(err, &later) {
			c.options.Sequencer.Post(func() {
				c.joinDue = time.Now().Add(later.After)
			})
		}
	}()
}

// probe looks for members behind a cut that may have healed: a random one
// that is suspected, or a seed. Few members of a zone do so at a time.
func (c *Coordinator) probe(now time.Time) {
	if now.Before(c.probeDue) || c.ctx == nil {
		return
	}
	c.probeDue = now.Add(probeInterval)
	if c.options.Random.IntN(max(c.announcer.ZoneSize(), 1)) >= probesPerZone {
		return
	}
	suspects := c.announcer.Suspects()
	if len(suspects) > 0 && c.options.Random.IntN(4) > 0 {
		c.dial(suspects[c.options.Random.IntN(len(suspects))])
		return
	}
	if len(c.options.Seeds) > 0 {
		c.ask(c.options.Seeds[c.options.Random.IntN(len(c.options.Seeds))])
	}
}
