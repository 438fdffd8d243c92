package claimer

import (
	"context"
	"sync"
	"time"
)

// askInterval is the time between questions to partners: in a large fleet
// they are many, and must not fill the links.
const askInterval = 5 * time.Millisecond

// Sync asks the nodes that may share a key with this one, and that it has not
// asked yet, for the claims that both keep. It returns whether the table is
// complete then. A partner is asked again later if it is not reached, may
// itself lack claims, or knows other members. None is asked at first: a claim
// may still be on its way that counts a grant of this node from before it
// restarted.
func (c *Claimer) Sync(ctx context.Context, table *Table) bool {
	ring := c.peers.Ring()
	partners := ring.Partners(table.name)
	if c.now().Sub(table.Born()) < GrantTime || len(partners) == 0 {
		return table.Complete(c.now())
	}
	var group sync.WaitGroup
	for i := range partners {
		if !partners[i].Reachable || table.Synced(partners[i].Name) {
			continue
		}
		group.Add(1)
		c.spawn(func() {
			defer group.Done()
			c.syncWith(ctx, table, ring, partners[i].Name)
		})
		if !wait(ctx, c.pause) {
			break
		}
	}
	group.Wait()
	for i := range partners {
		if !table.Synced(partners[i].Name) {
			return table.Complete(c.now())
		}
	}
	table.SetWhole()
	return true
}

func (c *Claimer) syncWith(ctx context.Context, table *Table, ring *Ring, partner string) {
	ctx, cancel := context.WithTimeout(ctx, GrantTime)
	defer cancel()
	reply, err := c.peers.Sync(ctx, partner, table.name)
	agreed := err == nil && reply.GetComplete() &&
		reply.GetMembers() == ring.Sum() && c.peers.Ring().Sum() == ring.Sum()
	if agreed {
		table.Adopt(partner, reply.GetClaims(), c.now())
	}
}
