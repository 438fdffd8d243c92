package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
)

const (
	// promoteInterval is the time between two evaluations of the roll-outs. A bad
	// version must lose its calls within 5 s.
	promoteInterval = 100 * time.Millisecond
	// decisionTimeout bounds the wait until a decision is applied.
	decisionTimeout = 2 * time.Second
)

// promote evaluates the running roll-outs if this replica leads the log, and submits
// the decisions. It is called on the sequencer.
func (c *control) promote(ctx context.Context) {
	status := c.controller.Status()
	accepted := c.controller.Recorder()
	rollouts := map[string][]fireflymoor.Rollout{}
	for _, e := range accepted.Manifest().Teams() {
		if ofTeam := accepted.Rollouts(e.Team); len(ofTeam) > 0 {
			rollouts[e.Team] = ofTeam
		}
	}
	c.promoter.Update(status.Role == replicator.Leader && status.Quorum, rollouts)
	for _, change := range c.promoter.Decide(time.Now()) {
		go c.submitDecision(ctx, change)
	}
}

// submitDecision submits a decision to the log. If that fails, the promoter proposes
// it again while this replica leads.
func (c *control) submitDecision(ctx context.Context, change *messenger.Change) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	record, err := c.controller.Change(ctx, change)
	if err == nil && record.GetConflict() {
		err = errors.New("another decision came first")
	}
	if err != nil {
		decision := change.GetRolloutDecision()
		c.log.Warn().Err(err).Str("team", change.GetTeam()).Str("service", decision.GetService()).
			Uint64("step", decision.GetStep()).Msg("rollout: decision not applied")
	}
}

// ReportEvidence implements messenger.DRPCOverlayServer.
func (*controlServer) ReportEvidence(context.Context, *messenger.Evidence) (*messenger.Empty, error) {
	return nil, errNotReporter
}

// SubmitEvidence implements messenger.DRPCSourceServer.
func (cs *controlServer) SubmitEvidence(ctx context.Context, evidence *messenger.Evidence) (*messenger.EvidenceReply, error) {
	reply := &messenger.EvidenceReply{}
	err := cs.control.sequencer.Do(ctx, func() {
		reply.Taken = cs.control.promoter.Receive(evidence, time.Now())
	})
	return reply, err
}
