package coordinator

import (
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// maxOfferWait bounds the random wait before an offered fact is requested. A
// zone receives several offers of each fact. The member with the shortest wait
// requests it and floods it in the zone before the others request it.
const maxOfferWait = 300 * time.Millisecond

// scheduleOffers schedules sendOffers after a random delay, unless it is
// scheduled already or there is nothing to offer.
func (c *Coordinator) scheduleOffers() {
	if c.offersScheduled || len(c.offers) == 0 {
		return
	}
	c.offersScheduled = true
	delay := minOfferDelay + time.Duration(c.options.Random.Int64N(int64(maxOfferDelay-minOfferDelay)))
	time.AfterFunc(delay, func() {
		c.options.Sequencer.Post(c.sendOffers)
	})
}

// sendOffers offers the facts that were flooded since the last offers to the
// neighbours of this zone that did not get them in full and are not known to hold
// them.
func (c *Coordinator) sendOffers() {
	c.offersScheduled = false
	adjacent := c.announcer.Adjacent(func(name string) bool { return c.links[name] != nil })
	for name, link := range c.links {
		if link.Peer().GetZone() != c.announcer.Self().GetZone() || slices.Contains(adjacent, name) {
			continue
		}
		offer := &messenger.Offer{}
		for fact, holders := range c.offers {
			if !holders[name] && c.announcer.Fact(fact) != nil {
				offer.Keys = append(offer.Keys, c.announcer.Key(fact))
			}
		}
		sendOffer(link, offer)
	}
	c.offers = map[string]map[string]bool{}
}

// sendOffer sends an offer, unless it is empty.
func sendOffer(link *linker.Link, offer *messenger.Offer) {
	if len(offer.GetKeys()) == 0 {
		return
	}
	link.Send(&messenger.Frame{
		Body: &messenger.Frame_Offer{
			Offer: offer,
		},
	})
}

// markHolder records that a neighbour holds the fact of a member, so that it need
// not be offered.
func (c *Coordinator) markHolder(fact, holder string) {
	if holders := c.offers[fact]; holders != nil {
		holders[holder] = true
	}
}

// onOffer requests the offered facts that are still missing after a random wait.
func (c *Coordinator) onOffer(link *linker.Link, offer *messenger.Offer) {
	for _, k := range offer.GetKeys() {
		c.markHolder(k.GetName(), link.Peer().GetName())
	}
	if len(c.announcer.Missing(offer.GetKeys())) == 0 {
		return
	}
	wait := time.Duration(c.options.Random.Int64N(int64(maxOfferWait)))
	time.AfterFunc(wait, func() {
		c.options.Sequencer.Post(func() {
			c.requestOffered(link, offer)
		})
	})
}

// requestOffered requests the offered facts that are missing now.
func (c *Coordinator) requestOffered(link *linker.Link, offer *messenger.Offer) {
	missing := c.announcer.Missing(offer.GetKeys())
	if len(missing) == 0 {
		return
	}
	link.Send(&messenger.Frame{
		Body: &messenger.Frame_FactRequest{
			FactRequest: &messenger.FactRequest{
				Names: missing,
			},
		},
	})
}

// onFactRequest sends the requested facts that are known.
func (c *Coordinator) onFactRequest(link *linker.Link, request *messenger.FactRequest) {
	facts := &messenger.Facts{}
	for _, name := range request.GetNames() {
		if fact := c.announcer.Fact(name); fact != nil {
			facts.Facts = append(facts.Facts, fact)
		}
	}
	if len(facts.GetFacts()) > 0 {
		link.Send(factsFrame(facts))
	}
}
