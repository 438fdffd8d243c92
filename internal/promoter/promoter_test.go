package promoter

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

var started = time.UnixMilli(1_700_000_000_000).UTC()

func newTestPromoter() *Promoter {
	return New(NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
}

func running(step uint64, share float64) map[string][]fireflymoor.Rollout {
	return map[string][]fireflymoor.Rollout{
		"team": {{
			Service:  "a",
			Version:  "v2",
			Started:  started,
			Duration: 12 * time.Second,
			State:    fireflymoor.RolloutRunning,
			Step:     step,
			Share:    share,
			Number:   step + 1,
		}},
	}
}

// evidenceOf returns a message with calls to the old and the new version.
func evidenceOf(sequence, calls, failures uint64) *messenger.Evidence {
	sample := func(toNew bool, calls, failures uint64) *messenger.EvidenceSample {
		return &messenger.EvidenceSample{
			Team:                "team",
			Service:             "a",
			Started:             started.UnixMilli(),
			Route:               "r",
			ToNew:               toNew,
			Calls:               calls,
			Failures:            failures,
			LatencyMicroseconds: (calls-failures)*10_000 + sequence,
		}
	}
	return &messenger.Evidence{
		Node:     "node",
		Boot:     1,
		Sequence: sequence,
		Samples:  []*messenger.EvidenceSample{sample(false, 20*calls, 0), sample(true, calls, failures)},
	}
}

// TestDecisions has a leader decide on a bad version. A decision must be proposed until
// it is applied, with the step after the last one, and the version be rolled back.
func TestDecisions(t *testing.T) {
	is := is.New(t)
	p := newTestPromoter()
	p.Update(true, running(0, 0))
	now := started
	first := p.Decide(now)
	is.Equal(len(first), 1)
	decision := first[0].GetRolloutDecision()
	is.Equal(decision.GetStep(), uint64(1))
	is.True(decision.GetShare() > 0)
	is.Equal(len(p.Decide(now.Add(proposalInterval/2))), 0) // still on its way
	again := p.Decide(now.Add(proposalInterval))
	is.Equal(again[0].GetRolloutDecision().GetShare(), decision.GetShare()) // it was lost

	p.Update(true, running(1, decision.GetShare()))
	is.Equal(len(p.Decide(now.Add(2*proposalInterval))), 0) // it was applied
	for sequence := range uint64(4) {
		now = now.Add(500 * time.Millisecond)
		is.True(p.Receive(evidenceOf(sequence+1, 10, 7), now))
	}
	last := p.Decide(now.Add(time.Second))
	is.Equal(len(last), 1)
	is.Equal(last[0].GetRolloutDecision().GetState(), string(fireflymoor.RolloutRolledBack))
	is.Equal(last[0].GetRolloutDecision().GetStep(), uint64(2))
	ended := running(2, 0)
	ended["team"][0].State = fireflymoor.RolloutRolledBack
	p.Update(true, ended)
	is.Equal(len(p.Decide(now.Add(5*time.Second))), 0)
}

// TestLeadership has a replica that does not lead refuse evidence, and a new leader
// begin with the share in the log. Repeated messages count once.
func TestLeadership(t *testing.T) {
	is := is.New(t)
	p := newTestPromoter()
	p.Update(false, running(1, 0.05))
	is.True(!p.Receive(evidenceOf(1, 10, 0), started))
	is.Equal(len(p.Decide(started)), 0)
	p.Update(true, running(1, 0.05))
	is.Equal(len(p.Decide(started.Add(time.Second))), 0) // the share stays
	is.True(p.Receive(evidenceOf(2, 10, 1), started.Add(time.Second)))
	is.True(p.Receive(evidenceOf(2, 10, 1), started.Add(time.Second)))
	for _, s := range p.running {
		is.Equal(s.calls, [2]int{200, 10})
		is.Equal(s.failures, [2]int{0, 1})
	}
	p.Update(false, running(1, 0.05))
	is.Equal(len(p.running), 0)
}
