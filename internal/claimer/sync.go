package claimer

import (
	"context"
	"sync"
	"time"
)

// defaultSyncInterval is the time between sync requests to partners. A node has
// many partners in a large fleet, and requests to all of them at once would
// saturate the links.
const defaultSyncInterval = 5 * time.Millisecond

// Sync requests the shared claims from each partner that the table has not yet
// been synced with, and reports whether the table is complete afterwards. A
// later call repeats the request to a partner that was not reached, that may
// lack claims itself, or that knows other members. Nothing is requested within
// GrantTimeout of the table's creation: until then, a claim that counts a grant
// by this node from before its restart may still be in flight.
func (c *Claimer) Sync(ctx context.Context, table *Table) bool {
	ring := c.peers.Ring()
	partners := ring.Partners(table.name)
	if c.now().Sub(table.Created()) < GrantTimeout || len(partners) == 0 {
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
		if !wait(ctx, c.syncInterval) {
			break
		}
	}
	group.Wait()
	for i := range partners {
		if !table.Synced(partners[i].Name) {
			return table.Complete(c.now())
		}
	}
	table.SetAllSynced()
	return true
}

// syncWith copies the shared claims of one partner to the table. It ignores the
// reply if the partner's table is incomplete, or if the members known to the
// partner differ from the ring or the ring has changed since the request.
func (c *Claimer) syncWith(ctx context.Context, table *Table, ring *Ring, partner string) {
	ctx, cancel := context.WithTimeout(ctx, GrantTimeout)
	defer cancel()
	reply, err := c.peers.Sync(ctx, partner, table.name)
	usable := err == nil && reply.GetComplete() &&
		reply.GetMembers() == ring.Sum() && c.peers.Ring().Sum() == ring.Sum()
	if usable {
		table.Adopt(partner, reply.GetClaims(), c.now())
	}
}
