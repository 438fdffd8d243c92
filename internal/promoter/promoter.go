// Package promoter supervises the running roll-outs at the leader of the replicated
// log. It passes the evidence of the nodes to an evaluator for each roll-out, and
// returns the decisions to be written to the log. It does no I/O.
package promoter

import (
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/collector"
	"github.com/fireflymoor/fireflymoor/internal/evaluator"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// proposalInterval is the time after which a decision is proposed again if it is not
// applied. Its step makes it take effect once.
const proposalInterval = time.Second

// key identifies a roll-out.
type key struct {
	team, service string
	started       int64
}

// supervised is a running roll-out.
type supervised struct {
	rollout   fireflymoor.Rollout
	evaluator *evaluator.Evaluator
	// wanted is the last decision of the evaluator if it is not applied, or nil.
	wanted *evaluator.Decision
	// proposedAt is when wanted was last proposed, or zero.
	proposedAt time.Time
	// calls and failures count the calls to the old and to the new version.
	calls, failures [2]int
}

// A Promoter supervises roll-outs. It is not safe for concurrent use.
type Promoter struct {
	log     zerolog.Logger
	metrics *Metrics
	leading bool
	running map[key]*supervised
	filter  *collector.Filter
	// logged holds the number of the last logged state of each roll-out, by team and
	// service.
	logged map[[2]string]uint64
}

// New returns a Promoter of a replica that does not lead.
func New(metrics *Metrics, log zerolog.Logger) *Promoter {
	return &Promoter{
		log:     log,
		metrics: metrics,
		running: map[key]*supervised{},
		filter:  collector.NewFilter(),
		logged:  map[[2]string]uint64{},
	}
}

// Update takes over whether this replica leads the log, and the roll-outs by team as
// it has applied them. A replica that begins to lead has no evidence, and continues
// with the decisions in the log.
func (p *Promoter) Update(leading bool, rollouts map[string][]fireflymoor.Rollout) {
	if !leading || !p.leading {
		p.running = map[key]*supervised{}
		p.filter = collector.NewFilter()
	}
	p.leading = leading
	running := map[key]*supervised{}
	for team, ofTeam := range rollouts {
		for _, rollout := range ofTeam {
			p.publish(team, rollout)
			if !leading || rollout.State != fireflymoor.RolloutRunning {
				continue
			}
			k := key{
				team:    team,
				service: rollout.Service,
				started: rollout.Started.UnixMilli(),
			}
			running[k] = p.supervise(k, rollout)
		}
	}
	p.running = running
}

// publish updates the metrics of a roll-out and, at the leader, writes a log line for
// each decision.
func (p *Promoter) publish(team string, rollout fireflymoor.Rollout) {
	p.metrics.setState(team, rollout)
	k := [2]string{team, rollout.Service}
	if p.logged[k] == rollout.Number {
		return
	}
	p.logged[k] = rollout.Number
	if !p.leading {
		return
	}
	line := p.log.Info().Str("team", team).Str("service", rollout.Service).Str("target-version", rollout.Version).
		Str("state", string(rollout.State)).Float64("share", rollout.Share).Str("reason", rollout.Reason).
		Uint64("step", rollout.Step).Uint64("version", rollout.Number)
	if s := p.running[key{team: team, service: rollout.Service, started: rollout.Started.UnixMilli()}]; s != nil {
		line = line.Int("old-calls", s.calls[0]).Int("old-failures", s.failures[0]).
			Int("new-calls", s.calls[1]).Int("new-failures", s.failures[1])
	}
	line.Msg("rollout: decided")
}

// supervise returns the state of a running roll-out.
func (p *Promoter) supervise(k key, rollout fireflymoor.Rollout) *supervised {
	s := p.running[k]
	if s == nil {
		s = &supervised{
			rollout: rollout,
			evaluator: evaluator.New(evaluator.Order{
				Service:  rollout.Service,
				Version:  rollout.Version,
				Started:  rollout.Started,
				Duration: rollout.Duration,
			}, evaluator.Decision{
				State:  evaluator.Running,
				Share:  rollout.Share,
				Reason: rollout.Reason,
			}),
		}
	}
	if rollout.Step != s.rollout.Step {
		s.proposedAt = time.Time{}
		if s.wanted != nil && s.wanted.Share == rollout.Share && s.wanted.State == evaluator.Running {
			s.wanted = nil
		}
	}
	s.rollout = rollout
	return s
}

// Receive takes the evidence of a message. It reports false if this replica does not
// lead, so that the message must be sent to another one.
func (p *Promoter) Receive(e *messenger.Evidence, now time.Time) bool {
	if !p.leading {
		return false
	}
	if !p.filter.IsNew(e) {
		return true
	}
	samples := map[key][]evaluator.Sample{}
	for _, sample := range e.GetSamples() {
		k := key{
			team:    sample.GetTeam(),
			service: sample.GetService(),
			started: sample.GetStarted(),
		}
		if s := p.running[k]; s != nil {
			samples[k] = append(samples[k], toSample(sample))
			s.count(sample)
			p.metrics.count(sample)
		}
	}
	for k, of := range samples {
		p.running[k].evaluator.Observe(e.GetNode(), of, now)
	}
	return true
}

func (s *supervised) count(sample *messenger.EvidenceSample) {
	version := 0
	if sample.GetToNew() {
		version = 1
	}
	s.calls[version] += int(sample.GetCalls())
	s.failures[version] += int(sample.GetFailures())
}

func toSample(s *messenger.EvidenceSample) evaluator.Sample {
	return evaluator.Sample{
		Route:      s.GetRoute(),
		New:        s.GetToNew(),
		Calls:      int(s.GetCalls()),
		Failures:   int(s.GetFailures()),
		LatencySum: time.Duration(s.GetLatencyMicroseconds()) * time.Microsecond,
		Slow:       int(s.GetSlow()),
	}
}

// Decide returns the decisions to propose, as changes for the log.
func (p *Promoter) Decide(now time.Time) []*messenger.Change {
	var changes []*messenger.Change
	for k, s := range p.running {
		if decision, changed := s.evaluator.Decide(now); changed {
			s.wanted = &decision
			s.proposedAt = time.Time{}
		}
		if s.wanted == nil || now.Sub(s.proposedAt) < proposalInterval {
			continue
		}
		s.proposedAt = now
		changes = append(changes, &messenger.Change{
			Id:               uuid.NewString(),
			Team:             k.team,
			UnixMilliseconds: now.UnixMilli(),
			RolloutDecision: &messenger.RolloutDecision{
				Service: k.service,
				Started: k.started,
				Step:    s.rollout.Step + 1,
				State:   string(stateOf(*s.wanted)),
				Share:   s.wanted.Share,
				Reason:  s.wanted.Reason,
			},
		})
	}
	return changes
}

// stateOf returns the state of a decision in the form of the log.
func stateOf(d evaluator.Decision) fireflymoor.RolloutState {
	switch d.State {
	case evaluator.Running:
		return fireflymoor.RolloutRunning
	case evaluator.Completed:
		return fireflymoor.RolloutCompleted
	case evaluator.RolledBack:
		return fireflymoor.RolloutRolledBack
	}
	return fireflymoor.RolloutRolledBack
}
