package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/fireflymoor/fireflymoor/internal/collector"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// evidenceInterval is the least time between two messages with the evidence of one
	// node, and relayInterval that between two messages with the evidence of a zone. A
	// bad version must lose its calls within 5 s of its bad responses.
	evidenceInterval = time.Second
	relayInterval    = 500 * time.Millisecond
	// evidenceTimeout bounds the delivery of a message to one receiver.
	evidenceTimeout = 500 * time.Millisecond
	// activityInterval is how often a process records that it runs, and maxInactivity
	// the longest gap without such a record after which roll-outs are still current.
	activityInterval = 100 * time.Millisecond
	maxInactivity    = time.Second
	// catchUpTime is how long a process that was suspended has to receive the
	// decisions that were made meanwhile.
	catchUpTime = 2 * time.Second
)

var errNoLeader = errors.New("no control replica took the evidence")

// sendEvidence sends the evidence of this node to its zone's first reporter. It is
// called on the sequencer.
func (n *node) sendEvidence(ctx context.Context) {
	message := n.evidence.Next()
	if message == nil {
		return
	}
	reporters := n.coordinator.Announcer().Reporters(n.settings.Zone)
	switch {
	case len(reporters) == 0:
	case reporters[0].GetName() == n.settings.Name:
		n.relay.Add(message.GetSamples())
		n.evidence.Acknowledge(message.GetSequence())
	default:
		address := reporters[0].GetOverlayAddress()
		n.deliverEvidence(ctx, n.evidence, message, func(ctx context.Context) error {
			return n.reportEvidence(ctx, address, message)
		})
	}
}

// sendRelayed sends the evidence of a zone to the leader, on the zone's reporter. It is
// called on the sequencer.
func (n *node) sendRelayed(ctx context.Context) {
	message := n.relay.Next()
	if message == nil {
		return
	}
	replicas := n.replicas()
	n.deliverEvidence(ctx, n.relay, message, func(ctx context.Context) error {
		return n.submitEvidence(ctx, replicas, message)
	})
	n.relayFilter.Retain(func(name string) bool { return n.coordinator.Announcer().Fact(name) != nil })
}

// deliverEvidence sends the next message of a collector in the background, unless it is
// being sent. A message that is not acknowledged stays the next one.
func (n *node) deliverEvidence(ctx context.Context, from *collector.Collector, message *messenger.Evidence, send func(ctx context.Context) error) {
	if !from.Begin() {
		return
	}
	go func() {
		defer from.End()
		if err := send(ctx); err != nil {
			n.log.Info().Err(err).Msg("report: evidence not delivered")
			return
		}
		from.Acknowledge(message.GetSequence())
	}()
}

// reportEvidence sends a message to the reporter at an address.
func (n *node) reportEvidence(ctx context.Context, address string, message *messenger.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	return n.client.Call(ctx, address, func(conn drpc.Conn) error {
		_, err := messenger.NewDRPCOverlayClient(conn).ReportEvidence(ctx, message)
		return err
	})
}

// submitEvidence sends a message to the replicas in turn, from the one that took the
// last message, until one takes it.
func (n *node) submitEvidence(ctx context.Context, replicas []loader.Replica, message *messenger.Evidence) error {
	var last error
	first := int(n.leaderIndex.Load())
	for i := range replicas {
		index := (first + i) % len(replicas)
		taken, err := n.submitEvidenceTo(ctx, replicas[index].Address, message)
		if taken {
			n.leaderIndex.Store(int64(index))
			return nil
		}
		last = errors.CombineErrors(err, last)
	}
	return errors.CombineErrors(last, errNoLeader)
}

func (n *node) submitEvidenceTo(ctx context.Context, address string, message *messenger.Evidence) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	reply := &messenger.EvidenceReply{}
	err := n.client.Call(ctx, address, func(conn drpc.Conn) error {
		var err error
		reply, err = messenger.NewDRPCSourceClient(conn).SubmitEvidence(ctx, message)
		return err
	})
	return err == nil && reply.GetTaken(), err
}

// ReportEvidence implements messenger.DRPCOverlayServer.
func (ns *nodeServer) ReportEvidence(ctx context.Context, evidence *messenger.Evidence) (*messenger.Empty, error) {
	n := ns.node
	err := n.sequencer.Do(ctx, func() {
		if n.relayFilter.IsNew(evidence) {
			n.relay.Add(evidence.GetSamples())
		}
	})
	return &messenger.Empty{}, err
}

// activity detects that the process was suspended.
type activity struct {
	// lastAt and resumedAt are in Unix nanoseconds, and 0 before the first record and
	// the first suspension.
	lastAt    atomic.Int64
	resumedAt atomic.Int64
}

// watch records that the process runs until ctx ends.
func (a *activity) watch(ctx context.Context) {
	ticker := time.NewTicker(activityInterval)
	defer ticker.Stop()
	for {
		a.record(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *activity) record(now time.Time) {
	last := a.lastAt.Swap(now.UnixNano())
	if last > 0 && now.UnixNano()-last > int64(maxInactivity) {
		a.resumedAt.Store(now.UnixNano())
	}
}

// isCurrent reports whether the process has not been suspended, or has had the time to
// catch up since.
func (a *activity) isCurrent(now time.Time) bool {
	return now.UnixNano()-a.lastAt.Load() <= int64(maxInactivity) && now.UnixNano()-a.resumedAt.Load() >= int64(catchUpTime)
}
