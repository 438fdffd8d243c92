package coordinator

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// initialBackoff and maxBackoff bound the backoff after a failed dial,
	// before jitter.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 1500 * time.Millisecond
	// wantedLinkDelay is how long a member must be a neighbour before it is dialed,
	// unless this process has fewer than minLinks links. While the overlay forms,
	// each fact that arrives may change the neighbours.
	wantedLinkDelay = 500 * time.Millisecond
	minLinks        = 2
	// probeValidity is how long a response over a new connection shows that a
	// member with a quiet link is alive.
	probeValidity = 1500 * time.Millisecond
	// unwantedLinkGrace is how long a link that is no longer wanted stays open.
	unwantedLinkGrace = 5 * time.Second
	// dialTimeoutsToSuspect is the number of consecutive dial timeouts after
	// which a member is suspected.
	dialTimeoutsToSuspect = 2
	// freshFact is the time for which a member is not suspected because of dial
	// timeouts after it has changed its fact, as it was alive then.
	freshFact = 5 * time.Second
	// massTimeoutWindow is the period over which link timeouts are counted. They
	// are a mass timeout if there are more than massTimeoutThreshold, and also
	// more than half the number of the remaining links.
	massTimeoutWindow    = 2 * time.Second
	massTimeoutThreshold = 4
	// suspectCooldown is the minimum time between two suspicions of the same
	// member by this process, so that a refuted one is not raised again at once.
	suspectCooldown = 10 * time.Second
	// probeInterval is the interval at which each zone probes for members
	// across a healed partition. The work is divided among its members.
	probeInterval = time.Second
	// probersPerZone is the expected number of members of a zone that probe in
	// each interval.
	probersPerZone = 2
	// expireInterval is the interval at which facts of members that have left
	// or are suspected are scanned for expired ones.
	expireInterval = 10 * time.Second
)

// tick does the periodic maintenance.
func (c *Coordinator) tick() {
	now := time.Now()
	if now.Sub(c.lastTick) > stallThreshold {
		c.stalledAt = now
	}
	c.lastTick = now
	c.Apply(c.distributor.Tick(now))
	c.maintainLinks(now)
	c.join(now)
	c.probe(now)
	if now.After(c.expireDue) {
		c.expireDue = now.Add(expireInterval)
		c.options.Quarantiner.Expire(now)
		if c.announcer.Expire(now) {
			c.prunePeers()
			c.options.Watcher.MembersChanged()
		}
	}
}

// prunePeers removes the local state of members whose facts have expired.
func (c *Coordinator) prunePeers() {
	for name, p := range c.peers {
		if c.announcer.Fact(name) == nil && !p.dialing && c.links[name] == nil {
			delete(c.peers, name)
		}
	}
}

// stalled reports whether this process itself was stalled recently. Timeouts are
// then no evidence that a peer has failed.
func (c *Coordinator) stalled(now time.Time) bool {
	return now.Sub(c.lastTick) > stallThreshold || now.Sub(c.stalledAt) < stallThreshold
}

// massTimeout records a link timeout, and reports whether so many links timed
// out within a short time that the fault is more likely in this process or its
// machine. The members are then dialed before they are suspected.
func (c *Coordinator) massTimeout(now time.Time) bool {
	c.linkTimeouts = append(slices.DeleteFunc(c.linkTimeouts, func(at time.Time) bool {
		return now.Sub(at) > massTimeoutWindow
	}), now)
	return len(c.linkTimeouts) > max(len(c.links)/2, massTimeoutThreshold)
}

// maintainLinks dials the neighbours that have no link, and closes the dialed
// links to members that are no longer neighbours.
func (c *Coordinator) maintainLinks(now time.Time) {
	wanted := map[string]bool{}
	for _, f := range c.announcer.Neighbours() {
		wanted[f.GetName()] = true
		p := c.peer(f.GetName())
		if p.wantedSince.IsZero() {
			p.wantedSince = now
		}
		stable := now.Sub(p.wantedSince) >= wantedLinkDelay
		if c.links[f.GetName()] == nil && (stable || len(c.links) < minLinks) {
			c.dial(f)
		}
	}
	for name, p := range c.peers {
		if !wanted[name] {
			p.wantedSince = time.Time{}
		}
	}
	c.requestHeartbeats()
	for name, link := range c.links {
		p := c.peer(name)
		if !link.Dialed() || wanted[name] {
			p.unwantedSince = time.Time{}
			continue
		}
		if p.unwantedSince.IsZero() {
			p.unwantedSince = now
		}
		if now.Sub(p.unwantedSince) > unwantedLinkGrace {
			p.unwantedSince = now
			link.Close(linker.ErrUnwanted)
		}
	}
}

// requestHeartbeats requests fast heartbeats on the link to the ring successor,
// so that a failure of either end is detected early, and slow heartbeats on all
// other links.
func (c *Coordinator) requestHeartbeats() {
	successor := c.announcer.Successor().GetName()
	for name, link := range c.links {
		if name == successor {
			link.RequestInterval(linker.FastHeartbeat)
			continue
		}
		link.RequestInterval(linker.SlowHeartbeat)
	}
}

// dial opens a link to a member in the background, unless it is being dialed
// already or its backoff has not passed.
func (c *Coordinator) dial(fact *messenger.Fact) {
	name := fact.GetName()
	p := c.peer(name)
	if p.dialing || c.ctx == nil || time.Now().Before(p.dialBlockedUntil) {
		return
	}
	p.dialing = true
	go func() {
		opened, err := c.linker.Open(c.ctx, fact.GetOverlayAddress())
		c.options.Sequencer.Post(func() {
			p.dialing = false
			if opened {
				c.redial(fact, err)
				return
			}
			c.dialFailed(fact, err)
		})
	}()
}

// redial dials again after a dialed link has broken, to find out whether the
// member has failed.
func (c *Coordinator) redial(fact *messenger.Fact, err error) {
	closed := errors.IsAny(err, linker.ErrUnwanted, linker.ErrReplaced, linker.ErrTimeout)
	if !closed && c.links[fact.GetName()] == nil {
		c.dial(fact)
	}
}

// dialFailed handles the failure to open a link. The member is suspected after
// repeated timeouts, and at once after another failure such as a refused
// connection, unless a link to it is up or this process was stalled. A member
// that only defers the link is dialed again later.
func (c *Coordinator) dialFailed(fact *messenger.Fact, err error) {
	now := time.Now()
	p := c.peer(fact.GetName())
	later := &linker.RetryAfterError{}
	if errors.As(err, &later) {
		p.dialBlockedUntil = now.Add(later.After)
		return
	}
	p.dialBlockedUntil = now.Add(c.backoff(p.dialFailures))
	p.dialFailures++
	if c.links[fact.GetName()] != nil || c.stalled(now) {
		return
	}
	if timedOut(err) {
		p.dialTimeouts++
		c.health.record(now)
	}
	confirmed := p.dialTimeouts >= dialTimeoutsToSuspect && c.health.good(now) &&
		now.Sub(c.announcer.ChangedAt(fact.GetName())) > freshFact
	if !timedOut(err) || confirmed {
		c.suspect(fact, err, now)
	}
}

// timedOut reports whether a dial ended without any response, which happens
// with an overloaded member too. A refused connection, in contrast, shows at
// once that the member has failed.
func timedOut(err error) bool {
	var network net.Error
	return errors.Is(err, linker.ErrTimeout) || errors.Is(err, context.Canceled) ||
		(errors.As(err, &network) && network.Timeout())
}

// backoff returns the jittered exponential backoff after a number of failures.
func (c *Coordinator) backoff(failures int) time.Duration {
	wait := maxBackoff
	if failures < 4 {
		wait = initialBackoff << failures
	}
	return wait/2 + time.Duration(c.options.Random.Int64N(int64(wait)))
}

// suspect marks a member as suspected because of err, and floods the change.
func (c *Coordinator) suspect(fact *messenger.Fact, err error, now time.Time) {
	p := c.peer(fact.GetName())
	if now.Sub(p.suspectedAt) < suspectCooldown {
		return
	}
	known := c.announcer.Fact(fact.GetName())
	if known == nil {
		return
	}
	update := c.announcer.Suspect(fact.GetName(), known.GetBoot(), now)
	if update == nil || known.GetBoot() != fact.GetBoot() {
		return
	}
	if !c.health.maySuspect(now) {
		return
	}
	p.suspectedAt = now
	c.options.Log.Info().Str("member", fact.GetName()).Int("dial-timeouts", p.dialTimeouts).Err(err).Msg("overlay: member suspected")
	c.flood(update, "")
	c.options.Watcher.MembersChanged()
}

// join requests a sample of members from a random seed while there are no links.
func (c *Coordinator) join(now time.Time) {
	if len(c.links) > 0 || len(c.options.Seeds) == 0 || now.Before(c.joinDue) || c.ctx == nil {
		return
	}
	c.joinDue = now.Add(c.backoff(c.joinAttempts))
	c.joinAttempts++
	c.joinThrough(c.options.Seeds[c.options.Random.IntN(len(c.options.Seeds))])
}

// joinThrough requests a sample of members from a seed in the background.
func (c *Coordinator) joinThrough(seed string) {
	if seed == c.announcer.Self().GetOverlayAddress() {
		return
	}
	go func() {
		err := c.linker.Join(c.ctx, seed)
		later := &linker.RetryAfterError{}
		if errors.As(err, &later) {
			c.options.Sequencer.Post(func() {
				c.joinDue = time.Now().Add(later.After)
			})
		}
	}()
}

// probe contacts a random suspected member or a seed, to rejoin members across
// a network partition that may have healed. Only a few members of a zone probe
// at a time.
func (c *Coordinator) probe(now time.Time) {
	if now.Before(c.probeDue) || c.ctx == nil {
		return
	}
	c.probeDue = now.Add(probeInterval)
	if c.options.Random.IntN(max(c.announcer.ZoneSize(), 1)) >= probersPerZone {
		return
	}
	suspects := c.announcer.Suspects()
	if len(suspects) > 0 && c.options.Random.IntN(4) > 0 {
		c.dial(suspects[c.options.Random.IntN(len(suspects))])
		return
	}
	if len(c.options.Seeds) > 0 {
		c.joinThrough(c.options.Seeds[c.options.Random.IntN(len(c.options.Seeds))])
	}
}
