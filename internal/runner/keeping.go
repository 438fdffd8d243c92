package runner

import (
	"context"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// keeping answers the other nodes for the claims kept here.
type keeping struct {
	*claims
}

// Take implements messenger.DRPCClaimsServer.
func (k *keeping) Take(_ context.Context, request *messenger.TakeRequest) (*messenger.TakeReply, error) {
	return k.table.Take(request, k.Ring(), time.Now()), nil
}

// Conclude implements messenger.DRPCClaimsServer.
func (k *keeping) Conclude(_ context.Context, claim *messenger.Claim) (*messenger.Empty, error) {
	k.table.Conclude(claim)
	return &messenger.Empty{}, nil
}

// Sync implements messenger.DRPCClaimsServer.
func (k *keeping) Sync(_ context.Context, request *messenger.SyncRequest) (*messenger.SyncReply, error) {
	now := time.Now()
	ring := k.Ring()
	return &messenger.SyncReply{
		Complete: k.table.Complete(now),
		Members:  ring.Sum(),
		Claims:   k.table.For(request.GetName(), ring, now),
	}, nil
}
