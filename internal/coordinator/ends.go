package coordinator

import (
	"time"

	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// onTargetEnds records what a neighbor knows of requests under which targets have ended,
// and passes on what is news.
func (c *Coordinator) onTargetEnds(ends *messenger.TargetEnds, from string) {
	if news := c.options.Quarantiner.Merge(ends, time.Now()); news != nil {
		c.sendTargetEnds(news, from)
	}
}

// sendTargetEnds sends news to all neighbors but the one that it came from. Other than
// facts they go over all links at once: each further call may end a target.
func (c *Coordinator) sendTargetEnds(news *messenger.TargetEnds, from string) {
	for name, link := range c.links {
		if name != from {
			link.Send(targetEndsFrame(news))
		}
	}
}

// sendHeldRequests tells a new neighbor which requests are held back.
func (c *Coordinator) sendHeldRequests(link *linker.Link, now time.Time) {
	if state := c.options.Quarantiner.State(now); state != nil {
		link.Send(targetEndsFrame(state))
	}
}

func targetEndsFrame(ends *messenger.TargetEnds) *messenger.Frame {
	return &messenger.Frame{
		Body: &messenger.Frame_TargetEnds{
			TargetEnds: ends,
		},
	}
}
