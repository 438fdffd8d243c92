package runner

import (
	"context"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

// vetInterval is the time between two checks for versions of targets that are due to
// be vetted.
const vetInterval = time.Second

// vet lets the node use versions of targets that appeared without an order of a
// roll-out, once a quorum has confirmed that there is none. It returns when ctx ends.
func (n *node) vet(ctx context.Context) {
	for ctx.Err() == nil {
		waiter.Pause(ctx, jitter(vetInterval))
		var due bool
		var replicas []loader.Replica
		err := n.sequencer.Do(ctx, func() {
			if due = n.vetter.IsDue(time.Now()); due {
				replicas = n.replicas()
			}
		})
		if err != nil {
			return
		}
		for i := 0; due && i < len(replicas); i++ {
			due = !n.vetAt(ctx, replicas[i])
		}
	}
}

// vetAt asks a replica for the newest version. It reports true if that is in force at
// this node, so that the versions that were due are vetted.
func (n *node) vetAt(ctx context.Context, replica loader.Replica) bool {
	asked := time.Now()
	reply, err := n.queryConfirmed(ctx, replica, confirmTimeout)
	if err != nil || reply.GetLaterMilliseconds() > 0 {
		return false
	}
	inForce := false
	err = n.sequencer.Do(ctx, func() {
		if inForce = n.applier.Number() >= reply.GetNumber(); inForce {
			n.vetter.ConfirmDue(asked)
			n.rebuildView()
			n.log.Info().Uint64("version", reply.GetNumber()).Msg("target: a version without a roll-out is used")
		}
	})
	return err == nil && inForce
}
