package coordinator

import (
	"time"

	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// maxOfferWait bounds the random wait before an offered fact is requested. A
// zone receives several offers of each fact. The member with the shortest wait
// requests it and floods it in the zone before the others request it.
const maxOfferWait = 100 * time.Millisecond

// onOffer requests the offered facts that are still missing after a random wait.
func (c *Coordinator) onOffer(link *linker.Link, offer *messenger.Offer) {
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
