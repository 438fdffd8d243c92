// Package recorder applies committed changes, in log order, to the accepted
// state of the configuration.
package recorder

import (
	"cmp"
	"crypto/sha256"
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/compressor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// maxRecords is the number of change outcomes that are kept so that a resent
// change gets its first outcome: about six days at 3,200 changes a day.
const maxRecords = 20_000

// A Recorder is the state machine of the replicated log. It is deterministic:
// replicas that apply the same entries have the same state. It is not safe for
// concurrent use.
type Recorder struct {
	manifest    fireflymoor.Manifest
	inputs      map[string]fireflymoor.Inputs
	records     []*messenger.ChangeRecord
	recordsByID map[string]*messenger.ChangeRecord
	labels      map[string]uint64
	// numbers holds, for each team, the number of the version that last changed its
	// template or values, which a change without a label names as its parent.
	numbers map[string]uint64
	// rollouts holds the decoded form of each team's input of that name.
	rollouts map[string][]fireflymoor.Rollout
}

// New returns a new, empty Recorder.
func New() *Recorder {
	return &Recorder{
		inputs:      map[string]fireflymoor.Inputs{},
		recordsByID: map[string]*messenger.ChangeRecord{},
		labels:      map[string]uint64{},
		numbers:     map[string]uint64{},
		rollouts:    map[string][]fireflymoor.Rollout{},
	}
}

// Digest returns a hash of what an operator requested, which detects the reuse
// of a change id for another change. It does not depend on the version that was
// accepted when the change was sent.
func Digest(c *messenger.Change) []byte {
	text := fmt.Appendf(nil, "%q %d %x %x", c.GetTeam(), c.GetParent(), c.GetTemplateHash(), c.GetValuesHash())
	if c.GetLabel() > 0 {
		text = fmt.Appendf(text, " %d %d", c.GetLabel(), c.GetParentLabel())
	}
	if order := c.GetRolloutOrder(); order != nil {
		text = fmt.Appendf(text, " order %q %q %d", order.GetService(), order.GetVersion(), order.GetDurationMilliseconds())
	}
	if decision := c.GetRolloutDecision(); decision != nil {
		text = fmt.Appendf(text, " decision %q %d %d", decision.GetService(), decision.GetStarted(), decision.GetStep())
	}
	sum := sha256.Sum256(text)
	return sum[:]
}

// matchesParent reports whether a change is based on the accepted version. A
// change with a label must name the accepted label as its parent and have a
// greater one. Roll-outs do not change what a change is based on.
func (r *Recorder) matchesParent(c *messenger.Change) bool {
	if c.GetLabel() == 0 {
		return r.numbers[c.GetTeam()] == c.GetParent()
	}
	current := r.labels[c.GetTeam()]
	return c.GetParentLabel() == current && c.GetLabel() > current
}

// Apply applies one change and returns its durable outcome and whether it makes
// a new version. For a change id that was applied before, it returns the first
// outcome, and accepted is false.
func (r *Recorder) Apply(c *messenger.Change) (record *messenger.ChangeRecord, accepted bool) {
	if earlier := r.recordsByID[c.GetId()]; earlier != nil {
		return earlier, false
	}
	record = &messenger.ChangeRecord{
		Id:               c.GetId(),
		Team:             c.GetTeam(),
		Operator:         c.GetOperator(),
		UnixMilliseconds: c.GetUnixMilliseconds(),
		Digest:           Digest(c),
		Label:            c.GetLabel(),
		Rollout:          rolloutService(c),
	}
	if isRollout(c) {
		return r.applyRollout(c, record)
	}
	parent := r.numbers[c.GetTeam()]
	if !r.matchesParent(c) {
		record.Conflict = true
		record.ActualParent = parent
		r.addRecord(record)
		return record, false
	}
	if err := r.accept(c); err != nil {
		record.Conflict = true
		record.ActualParent = parent
		r.addRecord(record)
		return record, false
	}
	record.Number = r.manifest.Number()
	hash := r.manifest.Hash()
	record.Hash = hash[:]
	r.addRecord(record)
	return record, true
}

// accept creates the next version. It fails if the change cannot be unpacked.
// Then it fails at every replica, because all have the same parent.
func (r *Recorder) accept(c *messenger.Change) error {
	rendered, _ := fireflymoor.HashFrom(c.GetRenderedHash())
	inputs := r.inputs[c.GetTeam()]
	template, err := unpack(c, inputs.Template)
	if err != nil {
		return err
	}
	if !c.GetKeepTemplate() {
		inputs.Template = template
	}
	if !c.GetKeepValues() {
		inputs.Values = c.GetValues()
	}
	entry, _ := r.manifest.Team(c.GetTeam())
	r.manifest = r.manifest.With(fireflymoor.TeamEntry{
		Team:     c.GetTeam(),
		Template: fireflymoor.HashOf(inputs.Template),
		Values:   fireflymoor.HashOf(inputs.Values),
		Rendered: rendered,
		Rollouts: entry.Rollouts,
	})
	r.inputs[c.GetTeam()] = inputs
	r.numbers[c.GetTeam()] = r.manifest.Number()
	if c.GetLabel() > 0 {
		r.labels[c.GetTeam()] = c.GetLabel()
	}
	return nil
}

// unpack returns a change's template, which may be compressed against the
// parent's template.
func unpack(c *messenger.Change, parent string) (string, error) {
	if len(c.GetPackedTemplate()) == 0 {
		return c.GetTemplate(), nil
	}
	base := fireflymoor.HashOf(parent)
	if string(base[:]) != string(c.GetBaseHash()) {
		return "", errors.New("recorder: the change is packed against a template other than the parent's")
	}
	template, err := compressor.Unpack(c.GetPackedTemplate(), parent)
	return template, errors.Wrap(err, "recorder: unpack a change")
}

// addRecord stores an outcome and discards the oldest one beyond maxRecords.
func (r *Recorder) addRecord(record *messenger.ChangeRecord) {
	r.records = append(r.records, record)
	r.recordsByID[record.GetId()] = record
	if len(r.records) > maxRecords {
		delete(r.recordsByID, r.records[0].GetId())
		r.records = r.records[1:]
	}
}

// Manifest returns the accepted version.
func (r *Recorder) Manifest() fireflymoor.Manifest {
	return r.manifest
}

// Label returns the label of a team's accepted change, or 0 if it has none.
func (r *Recorder) Label(team string) uint64 {
	return r.labels[team]
}

// Number returns the number of the version that last changed a team's template or
// values, or 0 if it has none.
func (r *Recorder) Number(team string) uint64 {
	return r.numbers[team]
}

// Inputs returns a team's accepted inputs, and false if it has none.
func (r *Recorder) Inputs(team string) (fireflymoor.Inputs, bool) {
	inputs, ok := r.inputs[team]
	return inputs, ok
}

// Record returns the outcome of a change, or nil if it is unknown.
func (r *Recorder) Record(id string) *messenger.ChangeRecord {
	return r.recordsByID[id]
}

// Records returns at most limit of the latest outcomes, the newest first.
func (r *Recorder) Records(limit int) []*messenger.ChangeRecord {
	records := make([]*messenger.ChangeRecord, 0, min(limit, len(r.records)))
	for i := len(r.records) - 1; i >= 0 && len(records) < limit; i-- {
		records = append(records, r.records[i])
	}
	return records
}

// Snapshot returns the whole state, encoded.
func (r *Recorder) Snapshot() ([]byte, error) {
	state := &messenger.State{
		Manifest: messenger.FromManifest(r.manifest),
		Inputs:   map[string]*messenger.Inputs{},
		Records:  r.records,
		Labels:   r.labels,
	}
	for team, inputs := range r.inputs {
		state.Inputs[team] = &messenger.Inputs{
			Template: inputs.Template,
			Values:   inputs.Values,
			Rollouts: inputs.Rollouts,
			Number:   r.numbers[team],
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	return data, errors.Wrap(err, "recorder: encode the state")
}

// Restore replaces the whole state by one that Snapshot returned.
func (r *Recorder) Restore(data []byte) error {
	state := &messenger.State{}
	if err := proto.Unmarshal(data, state); err != nil {
		return errors.Wrap(err, "recorder: decode the state")
	}
	manifest, err := messenger.ToManifest(state.GetManifest())
	if err != nil {
		return errors.Wrap(err, "recorder: decode the state")
	}
	*r = *New()
	r.manifest = manifest
	for team, inputs := range state.GetInputs() {
		r.inputs[team] = fireflymoor.Inputs{
			Template: inputs.GetTemplate(),
			Values:   inputs.GetValues(),
			Rollouts: inputs.GetRollouts(),
		}
		entry, _ := manifest.Team(team)
		r.numbers[team] = cmp.Or(inputs.GetNumber(), entry.Number)
		if r.rollouts[team], err = fireflymoor.DecodeRollouts(inputs.GetRollouts()); err != nil {
			return errors.Wrap(err, "recorder: decode the state")
		}
	}
	for team, label := range state.GetLabels() {
		r.labels[team] = label
	}
	for _, record := range state.GetRecords() {
		r.addRecord(record)
	}
	return nil
}
