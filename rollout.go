package fireflymoor

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// A RolloutState is the state of a roll-out.
type RolloutState string

// The states of a roll-out. All but RolloutRunning are final.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled-back"
)

// A Rollout moves a service's calls to targets of another version.
type Rollout struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Version is the new version.
	Version string `json:"version"`
	// Previous are the versions that were allowed before, or nil if none was known
	// at the order. Then all other versions are the old ones.
	Previous []string `json:"previous"`
	// Started is the time of the order, by the clock of the replica that received it.
	Started time.Time `json:"started"`
	// Duration is the time within which the roll-out ends.
	Duration time.Duration `json:"duration"`
	// State is the state.
	State RolloutState `json:"state"`
	// Share is the share of the service's calls that go to the new version while the
	// roll-out is running, from 0 to 1.
	Share float64 `json:"share"`
	// Reason explains the last decision to operators, or is empty.
	Reason string `json:"reason"`
	// Step is the number of decisions so far.
	Step uint64 `json:"step"`
	// Decided is the time of the last decision, or of the order if there is none.
	Decided time.Time `json:"decided"`
	// Number is the number of the version that last changed the roll-out.
	Number uint64 `json:"number"`
}

// IsNew reports whether a target's version is the one that is rolled out.
func (r Rollout) IsNew(version string) bool {
	return version == r.Version
}

// IsOld reports whether a target's version was allowed before the roll-out.
func (r Rollout) IsOld(version string) bool {
	return !r.IsNew(version) && (len(r.Previous) == 0 || slices.Contains(r.Previous, version))
}

// Allowed returns the versions that are allowed after the roll-out has ended, or nil
// if they are not known.
func (r Rollout) Allowed() []string {
	if r.State == RolloutCompleted {
		return []string{r.Version}
	}
	return r.Previous
}

// EncodeRollouts returns a team's roll-outs as a text, which is the third of its
// inputs. Equal roll-outs have equal texts. The text of none is empty.
func EncodeRollouts(rollouts []Rollout) (string, error) {
	if len(rollouts) == 0 {
		return "", nil
	}
	text, err := json.Marshal(rollouts)
	return string(text), errors.Wrap(err, "fireflymoor: encode roll-outs")
}

// DecodeRollouts returns the roll-outs of a text that EncodeRollouts returned.
func DecodeRollouts(text string) ([]Rollout, error) {
	if text == "" {
		return nil, nil
	}
	var rollouts []Rollout
	err := json.Unmarshal([]byte(text), &rollouts)
	return rollouts, errors.Wrap(err, "fireflymoor: decode roll-outs")
}

// WithRollouts returns a copy of the configuration with the roll-outs of its team.
func (c Configuration) WithRollouts(rollouts []Rollout) Configuration {
	c.rollouts = slices.Clone(rollouts)
	return c
}

// Rollout returns the last roll-out of the named service, and false if none was ever
// ordered.
func (c Configuration) Rollout(service string) (Rollout, bool) {
	for i := range c.rollouts {
		if c.rollouts[i].Service == service {
			return c.rollouts[i], true
		}
	}
	return Rollout{}, false
}
