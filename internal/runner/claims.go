package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/fireflymoor/fireflymoor/internal/claimer"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/neighbour"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	// ringInterval is how often the ring of claim keepers is made anew while
	// members that left are in it.
	ringInterval = time.Second
	// firstSyncWait is the wait after the first try to complete the claims,
	// and doubles up to a share of the window: after a start of the whole
	// system no partner can vouch, and all asking is in vain.
	firstSyncWait = 500 * time.Millisecond
	syncWaitShare = 4
	// keeperTimeout bounds one message to a keeper.
	keeperTimeout = 600 * time.Millisecond
)

var errUnknownKeeper = errors.New("no such node is known")

// claims is a node's part in keeping calls with an idempotency key from
// running twice: it keeps claims for others, and reaches the other keepers.
type claims struct {
	name    string
	window  time.Duration
	client  *neighbour.Client
	table   *claimer.Table
	claimer *claimer.Claimer
	ring    atomic.Pointer[claimer.Ring]
	// leaving says that a member of the ring has left, and is to fall out of
	// it with time. It belongs to the sequencer.
	leaving bool
}

func newClaims(settings loader.Settings, client *neighbour.Client) *claims {
	c := &claims{
		name:   settings.Name,
		window: settings.KeyWindow,
		client: client,
		table:  claimer.NewTable(settings.Name, settings.KeyWindow, time.Now()),
	}
	c.ring.Store(claimer.NewRing(nil))
	c.claimer = claimer.New(c, time.Now)
	return c
}

// setMembers takes the nodes that claims are kept among. It is called on the
// sequencer.
func (c *claims) setMembers(facts []*messenger.Fact) {
	members := make([]claimer.Member, 0, len(facts))
	c.leaving = false
	for _, f := range facts {
		c.leaving = c.leaving || f.GetState() == messenger.MemberState_MEMBER_LEFT
		members = append(members, claimer.Member{
			Name:      f.GetName(),
			Zone:      f.GetZone(),
			Address:   f.GetOverlayAddress(),
			Reachable: f.GetState() == messenger.MemberState_MEMBER_ALIVE,
		})
	}
	c.ring.Store(claimer.NewRing(members))
}

// complete has the table hold again what this node granted before it
// restarted.
func (c *claims) complete(ctx context.Context, log zerolog.Logger) {
	began := time.Now()
	wait := firstSyncWait
	waiter.Pause(ctx, claimer.GrantTime)
	for ctx.Err() == nil {
		if c.table.Complete(time.Now()) || c.claimer.Sync(ctx, c.table) {
			log.Info().Int("claims", c.table.Len()).Dur("took", time.Since(began)).Msg("claims: complete")
			return
		}
		waiter.Pause(ctx, jitter(wait))
		wait = min(2*wait, c.window/syncWaitShare)
	}
}

// Ring implements claimer.Peers.
func (c *claims) Ring() *claimer.Ring {
	return c.ring.Load()
}

// call makes one call to a keeper, if it is worth asking.
func (c *claims) call(ctx context.Context, keeper string, call func(ctx context.Context, client messenger.DRPCClaimsClient) error) error {
	member, ok := c.Ring().Member(keeper)
	if !ok || !member.Reachable {
		return errors.Wrapf(errUnknownKeeper, "claims: keeper %s", keeper)
	}
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	return c.client.Call(ctx, member.Address, func(conn drpc.Conn) error {
		return call(ctx, messenger.NewDRPCClaimsClient(conn))
	})
}

// Take implements claimer.Peers.
func (c *claims) Take(ctx context.Context, keeper string, request *messenger.TakeRequest) (*messenger.TakeReply, error) {
	if keeper == c.name {
		return c.table.Take(request, c.Ring(), time.Now()), nil
	}
	var reply *messenger.TakeReply
	err := c.call(ctx, keeper, func(ctx context.Context, client messenger.DRPCClaimsClient) error {
		var err error
		reply, err = client.Take(ctx, request)
		return err
	})
	return reply, err
}

// Conclude implements claimer.Peers.
func (c *claims) Conclude(ctx context.Context, keeper string, claim *messenger.Claim) error {
	if keeper == c.name {
		c.table.Conclude(claim)
		return nil
	}
	return c.call(ctx, keeper, func(ctx context.Context, client messenger.DRPCClaimsClient) error {
		_, err := client.Conclude(ctx, claim)
		return err
	})
}

// Sync implements claimer.Peers.
func (c *claims) Sync(ctx context.Context, keeper, name string) (*messenger.SyncReply, error) {
	var reply *messenger.SyncReply
	err := c.call(ctx, keeper, func(ctx context.Context, client messenger.DRPCClaimsClient) error {
		var err error
		reply, err = client.Sync(ctx, &messenger.SyncRequest{
			Name: name,
		})
		return err
	})
	return reply, err
}
