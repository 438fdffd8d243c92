package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// sampleSameZone is the number of members of its own zone that a joining
	// process receives.
	sampleSameZone = 8
	// sampleOtherZone is the number of members of each other zone that it
	// receives.
	sampleOtherZone = 1
)

// Hello implements linker.Handler.
func (c *Coordinator) Hello(joining bool) *messenger.Frame {
	p := c.published.Load()
	return &messenger.Frame{
		Body: &messenger.Frame_Hello{
			Hello: &messenger.Hello{
				Self:    p.self,
				Head:    p.head,
				Joining: joining,
			},
		},
	}
}

// Heartbeat implements linker.Handler.
func (c *Coordinator) Heartbeat() *messenger.Heartbeat {
	return c.published.Load().heartbeat
}

// Admit implements linker.Handler.
func (c *Coordinator) Admit(ctx context.Context, hello *messenger.Hello) ([]*messenger.Frame, bool) {
	c.admitLock.Lock()
	retryAfter, ok := c.admitter.Admit(time.Now())
	c.admitLock.Unlock()
	if !ok {
		return []*messenger.Frame{
			{
				Body: &messenger.Frame_Later{
					Later: &messenger.Later{
						AfterMilliseconds: uint32(retryAfter.Milliseconds()),
					},
				},
			},
		}, false
	}
	response := []*messenger.Frame{c.Hello(false)}
	if !hello.GetJoining() {
		return response, true
	}
	err := c.options.Sequencer.Do(ctx, func() {
		if !hello.GetAnnouncing() {
			response = append(response, factsFrame(&messenger.Facts{
				Facts: c.sample(hello.GetSelf()),
			}))
		}
		c.merge([]*messenger.Fact{hello.GetSelf()}, "")
	})
	if err != nil {
		return nil, false
	}
	return response, false
}

// sample returns the facts of this process and of a few random members of each
// zone for a joining process. If the joining process is known here, its last
// known fact is included, so that it can refute it.
func (c *Coordinator) sample(joiner *messenger.Fact) []*messenger.Fact {
	facts := []*messenger.Fact{c.announcer.Self()}
	sampled := map[string]int{}
	all := c.announcer.Facts()
	for _, i := range c.options.Random.Perm(len(all)) {
		f := all[i]
		limit := sampleOtherZone
		if f.GetZone() == joiner.GetZone() {
			limit = sampleSameZone
		}
		alive := f.GetState() == messenger.MemberState_MEMBER_ALIVE
		if alive && sampled[f.GetZone()] < limit && f.GetName() != joiner.GetName() {
			sampled[f.GetZone()]++
			facts = append(facts, f)
		}
	}
	if old := c.announcer.Fact(joiner.GetName()); old != nil {
		facts = append(facts, old)
	}
	if earlier := c.announcer.Earlier(joiner.GetName()); earlier != nil {
		facts = append(facts, earlier)
	}
	return facts
}

// Up implements linker.Handler.
func (c *Coordinator) Up(link *linker.Link) {
	c.options.Sequencer.Post(func() {
		c.up(link)
	})
}

func (c *Coordinator) up(link *linker.Link) {
	name := link.Peer().GetName()
	if old := c.links[name]; old != nil {
		if !c.replaces(link, old) {
			link.Close(linker.ErrReplaced)
			return
		}
		old.Close(linker.ErrReplaced)
	}
	now := time.Now()
	c.links[name] = link
	c.linkCount.Store(int64(len(c.links)))
	p := c.peer(name)
	p.dialFailures = 0
	p.dialTimeouts = 0
	p.digestMismatches = 0
	p.unwantedSince = time.Time{}
	c.options.Log.Debug().Str("peer", name).Bool("dialed", link.Dialed()).Msg("overlay: link up")
	c.merge([]*messenger.Fact{link.Peer()}, name)
	if earlier := c.announcer.Earlier(name); earlier != nil {
		link.Send(factsFrame(&messenger.Facts{
			Facts: []*messenger.Fact{earlier},
		}))
	}
	c.Apply(c.distributor.OnPeerUp(name, link.Head(), now))
	c.sendHeldRequests(link, now)
	if link.Dialed() && now.Sub(c.digestSentAt) > digestInterval {
		c.sendDigest(link)
	}
}

// replaces reports whether a new link to a peer replaces an old one. A peer that
// dials again knows that its old link has failed. If both ends dialed at the
// same time, both keep the link dialed by the member whose name sorts first.
func (c *Coordinator) replaces(link, old *linker.Link) bool {
	if link.Dialed() == old.Dialed() || link.Peer().GetBoot() != old.Peer().GetBoot() {
		return true
	}
	lesser := c.announcer.Self().GetName() < link.Peer().GetName()
	return link.Dialed() == lesser
}

// sendDigest starts the comparison of facts with a neighbour.
func (c *Coordinator) sendDigest(link *linker.Link) {
	c.digestSentAt = time.Now()
	link.Send(&messenger.Frame{
		Body: &messenger.Frame_Digest{
			Digest: &messenger.Digest{
				Buckets: c.announcer.Digest(),
			},
		},
	})
}

// Frame implements linker.Handler.
func (c *Coordinator) Frame(link *linker.Link, frame *messenger.Frame) {
	c.options.Sequencer.Post(func() {
		c.frame(link, frame)
	})
}

func (c *Coordinator) frame(link *linker.Link, frame *messenger.Frame) {
	now := time.Now()
	name := link.Peer().GetName()
	switch body := frame.GetBody().(type) {
	case *messenger.Frame_Heartbeat:
		c.onHeartbeat(link, body.Heartbeat, now)
	case *messenger.Frame_Facts:
		c.merge(body.Facts.GetFacts(), name)
	case *messenger.Frame_Digest:
		c.onDigest(link, body.Digest)
	case *messenger.Frame_FactKeys:
		c.onFactKeys(link, body.FactKeys)
	case *messenger.Frame_Offer:
		c.onOffer(link, body.Offer)
	case *messenger.Frame_FactRequest:
		c.onFactRequest(link, body.FactRequest)
	case *messenger.Frame_Head:
		c.Apply(c.distributor.OnHead(name, body.Head, now))
	case *messenger.Frame_ManifestRequest:
		c.Apply(c.distributor.OnManifestRequest(name, body.ManifestRequest.GetHeld(), now))
	case *messenger.Frame_Updates:
		c.Apply(c.distributor.OnUpdates(name, body.Updates.GetUpdates(), now))
	case *messenger.Frame_Manifest:
		c.Apply(c.distributor.OnManifest(name, body.Manifest, now))
	case *messenger.Frame_Pull:
		c.Apply(c.distributor.OnPull(name, body.Pull, now))
	case *messenger.Frame_Pieces:
		c.Apply(c.distributor.OnPieces(name, body.Pieces, now))
	case *messenger.Frame_Later:
		after := time.Duration(body.Later.GetAfterMilliseconds()) * time.Millisecond
		c.Apply(c.distributor.OnLater(name, after, now))
	case *messenger.Frame_TargetEnds:
		c.onTargetEnds(body.TargetEnds, name)
	}
}

func (c *Coordinator) onHeartbeat(link *linker.Link, heartbeat *messenger.Heartbeat, now time.Time) {
	name := link.Peer().GetName()
	if c.links[name] != link {
		return
	}
	c.Apply(c.distributor.OnHeartbeat(name, heartbeat.GetNumber(), now))
	p := c.peer(name)
	if heartbeat.GetDigest() == c.published.Load().heartbeat.GetDigest() {
		p.digestMismatches = 0
		return
	}
	p.digestMismatches++
	if p.digestMismatches >= digestMismatchThreshold && link.Dialed() && now.Sub(c.digestSentAt) > digestInterval {
		p.digestMismatches = 0
		c.sendDigest(link)
	}
}

func (c *Coordinator) onDigest(link *linker.Link, digest *messenger.Digest) {
	buckets := c.announcer.Differing(digest.GetBuckets())
	if len(buckets) == 0 {
		return
	}
	link.Send(c.keysFrame(buckets, false))
}

func (c *Coordinator) keysFrame(buckets []uint32, response bool) *messenger.Frame {
	return &messenger.Frame{
		Body: &messenger.Frame_FactKeys{
			FactKeys: &messenger.FactKeys{
				Buckets: buckets,
				Keys:    c.announcer.Keys(buckets),
				Answer:  response,
			},
		},
	}
}

// onFactKeys sends the facts that the peer is missing. If the keys are not a
// reply, it sends the local keys back, so that the peer does the same.
func (c *Coordinator) onFactKeys(link *linker.Link, keys *messenger.FactKeys) {
	facts := c.announcer.Newer(keys.GetBuckets(), keys.GetKeys())
	if len(facts) > 0 {
		link.Send(factsFrame(&messenger.Facts{
			Facts: facts,
		}))
	}
	if !keys.GetAnswer() {
		link.Send(c.keysFrame(keys.GetBuckets(), true))
	}
}

// merge applies facts received over a link, and floods the new ones.
func (c *Coordinator) merge(facts []*messenger.Fact, from string) {
	now := time.Now()
	changed := false
	for _, fact := range facts {
		if fact.GetName() == "" {
			continue
		}
		if c.announcer.IsEarlier(fact) {
			c.options.Watcher.DeparturesLearned(fact.GetDepartures())
		}
		update := c.announcer.Merge(fact, now)
		if update == nil {
			c.markHolder(fact.GetName(), from)
			continue
		}
		changed = true
		if update.GetName() == c.announcer.Self().GetName() {
			c.health.record(now)
			c.flood(update, "")
			continue
		}
		c.logMember(update)
		c.flood(update, from)
	}
	if changed {
		c.options.Watcher.MembersChanged()
	}
}

func (c *Coordinator) logMember(fact *messenger.Fact) {
	c.options.Log.Info().
		Str("member", fact.GetName()).
		Str("zone", fact.GetZone()).
		Str("state", fact.GetState().String()).
		Uint64("boot", fact.GetBoot()).
		Uint64("sequence", fact.GetSequence()).
		Int("targets", len(fact.GetTargets())).
		Msg("overlay: member changed")
}

// Quiet implements linker.Handler. The peer is contacted over a new connection: if
// it responds, the fault is in the link, and the peer is not suspected when the
// link times out.
func (c *Coordinator) Quiet(link *linker.Link) {
	c.options.Sequencer.Post(func() {
		if c.links[link.Peer().GetName()] != link || c.ctx == nil {
			return
		}
		go func() {
			err := c.linker.Join(c.ctx, link.Peer().GetOverlayAddress())
			later := &linker.RetryAfterError{}
			if err != nil && !errors.As(err, &later) {
				return
			}
			c.options.Sequencer.Post(func() {
				c.peer(link.Peer().GetName()).answeredAt = time.Now()
			})
		}()
	})
}

// Invalid implements linker.Handler.
func (c *Coordinator) Invalid(peer, direction string, err error) {
	c.invalidLog.Error().Str("peer", peer).Str("direction", direction).Err(err).Msg("overlay: invalid records left out")
}

// Down implements linker.Handler.
func (c *Coordinator) Down(link *linker.Link, err error) {
	c.options.Sequencer.Post(func() {
		c.down(link, err)
	})
}

func (c *Coordinator) down(link *linker.Link, err error) {
	name := link.Peer().GetName()
	if c.links[name] != link {
		return
	}
	delete(c.links, name)
	c.linkCount.Store(int64(len(c.links)))
	now := time.Now()
	c.options.Log.Info().Str("peer", name).Err(err).Msg("overlay: link down")
	c.Apply(c.distributor.OnPeerDown(name, now))
	if errors.Is(err, linker.ErrUnwanted) || errors.Is(err, linker.ErrReplaced) {
		return
	}
	if errors.Is(err, linker.ErrTimeout) {
		alive := now.Sub(c.peer(name).answeredAt) < probeValidity
		trusted := !c.stalled(now) && !c.massTimeout(now) && c.health.good(now)
		c.health.record(now)
		if trusted && !alive {
			c.suspect(link.Peer(), err, now)
			return
		}
	}
	if c.announcer.Fact(name).GetState() != messenger.MemberState_MEMBER_LEFT {
		c.dial(link.Peer())
	}
}
