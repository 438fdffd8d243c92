package runner

import (
	"context"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// claimsServer serves requests of other nodes for the claims kept on this node.
type claimsServer struct {
	*claims
}

// Take implements messenger.DRPCClaimsServer.
func (cs *claimsServer) Take(_ context.Context, request *messenger.TakeRequest) (*messenger.TakeReply, error) {
	return cs.table.Take(request, cs.Ring(), time.Now()), nil
}

// Conclude implements messenger.DRPCClaimsServer.
func (cs *claimsServer) Conclude(_ context.Context, claim *messenger.Claim) (*messenger.Empty, error) {
	cs.table.Conclude(claim)
	return &messenger.Empty{}, nil
}

// Sync implements messenger.DRPCClaimsServer.
func (cs *claimsServer) Sync(_ context.Context, request *messenger.SyncRequest) (*messenger.SyncReply, error) {
	now := time.Now()
	ring := cs.Ring()
	return &messenger.SyncReply{
		Complete: cs.table.Complete(now),
		Members:  ring.Sum(),
		Claims:   cs.table.ClaimsFor(request.GetName(), ring, now),
	}, nil
}
