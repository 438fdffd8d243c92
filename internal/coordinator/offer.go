package coordinator

import (
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/neighbour"
)

// offerPatience is the longest wait before a fact that was offered is asked
// for. A zone gets several offers of each fact, and the members whose wait is
// short flood it there before the others ask.
const offerPatience = 100 * time.Millisecond

// onOffer asks for the facts that are still lacking after a random wait.
func (c *Coordinator) onOffer(link *neighbour.Link, offer *messenger.Offer) {
	if len(c.announcer.Missing(offer.GetKeys())) == 0 {
		return
	}
	wait := time.Duration(c.options.Random.Int64N(int64(offerPatience)))
	time.AfterFunc(wait, func() {
		c.options.Sequencer.Post(func() {
			c.askOffered(link, offer)
		})
	})
}

func (c *Coordinator) askOffered(link *neighbour.Link, offer *messenger.Offer) {
	lacking := c.announcer.Missing(offer.GetKeys())
	if len(lacking) == 0 {
		return
	}
	link.Send(&messenger.Frame{
		Body: &messenger.Frame_FactRequest{
			FactRequest: &messenger.FactRequest{
				Names: lacking,
			},
		},
	})
}

// onFactRequest sends the facts that were asked for.
func (c *Coordinator) onFactRequest(link *neighbour.Link, request *messenger.FactRequest) {
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
