package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/fireflymoor/fireflymoor/internal/claimer"
	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	// ringInterval is how often the ring of claim keepers is rebuilt while it
	// contains members that have left.
	ringInterval = time.Second
	// initialSyncWait is the wait after the first attempt to restore the
	// claims. It doubles up to window/maxSyncWaitDivisor: after the whole system
	// has started, no partner has complete claims, so every attempt fails until
	// the window has passed.
	initialSyncWait    = 500 * time.Millisecond
	maxSyncWaitDivisor = 4
	// keeperTimeout bounds one request to a keeper.
	keeperTimeout = 600 * time.Millisecond
)

var errKeeperUnavailable = errors.New("node is unknown or unreachable")

// claims is the node's part in at-most-once execution of calls with an
// idempotency key. It holds the table of claims kept on this node and sends
// requests to the other keepers.
type claims struct {
	name    string
	window  time.Duration
	client  *linker.Client
	table   *claimer.Table
	claimer *claimer.Claimer
	ring    atomic.Pointer[claimer.Ring]
	// hasLeftMembers reports whether the ring contains members that have left
	// and must be removed later. It is accessed only on the sequencer.
	hasLeftMembers bool
}

func newClaims(settings loader.Settings, client *linker.Client) *claims {
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

// setMembers rebuilds the ring of claim keepers from the facts of the nodes. It
// is called on the sequencer.
func (c *claims) setMembers(facts []*messenger.Fact) {
	members := make([]claimer.Member, 0, len(facts))
	c.hasLeftMembers = false
	for _, f := range facts {
		c.hasLeftMembers = c.hasLeftMembers || f.GetState() == messenger.MemberState_MEMBER_LEFT
		members = append(members, claimer.Member{
			Name:      f.GetName(),
			Zone:      f.GetZone(),
			Address:   f.GetOverlayAddress(),
			Reachable: f.GetState() == messenger.MemberState_MEMBER_ALIVE,
		})
	}
	c.ring.Store(claimer.NewRing(members))
}

// restore fills the table with the claims that this node granted before it
// restarted. It retries until the table is complete or ctx ends.
func (c *claims) restore(ctx context.Context, log zerolog.Logger) {
	began := time.Now()
	wait := initialSyncWait
	waiter.Pause(ctx, claimer.GrantTimeout)
	for ctx.Err() == nil {
		if c.table.Complete(time.Now()) || c.claimer.Sync(ctx, c.table) {
			log.Info().Int("claims", c.table.Len()).Dur("took", time.Since(began)).Msg("claims: complete")
			return
		}
		waiter.Pause(ctx, jitter(wait))
		wait = min(2*wait, c.window/maxSyncWaitDivisor)
	}
}

// Ring implements claimer.Peers.
func (c *claims) Ring() *claimer.Ring {
	return c.ring.Load()
}

// call sends one request to a keeper. It fails at once with
// errKeeperUnavailable if the keeper is unknown or not reachable.
func (c *claims) call(ctx context.Context, keeper string, call func(ctx context.Context, client messenger.DRPCClaimsClient) error) error {
	member, ok := c.Ring().Member(keeper)
	if !ok || !member.Reachable {
		return errors.Wrapf(errKeeperUnavailable, "claims: keeper %s", keeper)
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
