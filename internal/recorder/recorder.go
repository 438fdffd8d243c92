// Package recorder applies committed changes, in the order of the log, to the
// accepted state of the configuration.
package recorder

import (
	"crypto/sha256"
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/compressor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// recordsKept is how many outcomes of changes are kept to answer resends:
// about six days at 3,200 changes a day.
const recordsKept = 20_000

// A Recorder is the state machine behind the replicated log. Every replica
// that applies the same entries holds the same state. Its methods are called
// from one goroutine.
type Recorder struct {
	manifest fireflymoor.Manifest
	inputs   map[string]fireflymoor.Inputs
	records  []*messenger.ChangeRecord
	byID     map[string]*messenger.ChangeRecord
	labels   map[string]uint64
}

// New returns a new, empty Recorder.
func New() *Recorder {
	return &Recorder{
		inputs: map[string]fireflymoor.Inputs{},
		byID:   map[string]*messenger.ChangeRecord{},
		labels: map[string]uint64{},
	}
}

// Digest sums up what an operator asked for, so that a change id that is used
// again for something else is found. It does not depend on what was accepted
// when the change was sent.
func Digest(c *messenger.Change) []byte {
	text := fmt.Appendf(nil, "%q %d %x %x", c.GetTeam(), c.GetParent(), c.GetTemplateHash(), c.GetValuesHash())
	if c.GetLabel() > 0 {
		text = fmt.Appendf(text, " %d %d", c.GetLabel(), c.GetParentLabel())
	}
	sum := sha256.Sum256(text)
	return sum[:]
}

// follows says whether a change is made on what is accepted. With a label it
// must name the accepted label, and its own must be greater.
func (r *Recorder) follows(c *messenger.Change, entry fireflymoor.TeamEntry) bool {
	if c.GetLabel() == 0 {
		return entry.Number == c.GetParent()
	}
	current := r.labels[c.GetTeam()]
	return c.GetParentLabel() == current && c.GetLabel() > current
}

// Apply applies one change and returns its lasting outcome. A change id that
// was applied before gets its first outcome again, and accepted is false.
func (r *Recorder) Apply(c *messenger.Change) (record *messenger.ChangeRecord, accepted bool) {
	if first := r.byID[c.GetId()]; first != nil {
		return first, false
	}
	record = &messenger.ChangeRecord{
		Id:               c.GetId(),
		Team:             c.GetTeam(),
		Operator:         c.GetOperator(),
		UnixMilliseconds: c.GetUnixMilliseconds(),
		Digest:           Digest(c),
		Label:            c.GetLabel(),
	}
	entry, _ := r.manifest.Team(c.GetTeam())
	if !r.follows(c, entry) {
		record.Conflict = true
		record.ActualParent = entry.Number
		r.keep(record)
		return record, false
	}
	if err := r.accept(c); err != nil {
		record.Conflict = true
		record.ActualParent = entry.Number
		r.keep(record)
		return record, false
	}
	record.Number = r.manifest.Number()
	hash := r.manifest.Hash()
	record.Hash = hash[:]
	r.keep(record)
	return record, true
}

// accept makes the next version. It fails on a change that cannot be unpacked,
// at every replica alike: all hold the same parent.
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
	r.manifest = r.manifest.With(fireflymoor.TeamEntry{
		Team:     c.GetTeam(),
		Template: fireflymoor.HashOf(inputs.Template),
		Values:   fireflymoor.HashOf(inputs.Values),
		Rendered: rendered,
	})
	r.inputs[c.GetTeam()] = inputs
	if c.GetLabel() > 0 {
		r.labels[c.GetTeam()] = c.GetLabel()
	}
	return nil
}

// unpack returns a change's template, which may be packed against the parent's.
func unpack(c *messenger.Change, parent string) (string, error) {
	if len(c.GetPackedTemplate()) == 0 {
		return c.GetTemplate(), nil
	}
	base := fireflymoor.HashOf(parent)
	if string(base[:]) != string(c.GetBaseHash()) {
		return "", errors.New("recorder: the change is packed against another template")
	}
	template, err := compressor.Unpack(c.GetPackedTemplate(), parent)
	return template, errors.Wrap(err, "recorder: unpack a change")
}

func (r *Recorder) keep(record *messenger.ChangeRecord) {
	r.records = append(r.records, record)
	r.byID[record.GetId()] = record
	if len(r.records) > recordsKept {
		delete(r.byID, r.records[0].GetId())
		r.records = r.records[1:]
	}
}

// Manifest returns the accepted version.
func (r *Recorder) Manifest() fireflymoor.Manifest {
	return r.manifest
}

// Label returns the label of a team's accepted change, or 0.
func (r *Recorder) Label(team string) uint64 {
	return r.labels[team]
}

// Inputs returns a team's accepted inputs, and false if it has none.
func (r *Recorder) Inputs(team string) (fireflymoor.Inputs, bool) {
	inputs, ok := r.inputs[team]
	return inputs, ok
}

// Record returns the outcome of a change, or nil.
func (r *Recorder) Record(id string) *messenger.ChangeRecord {
	return r.byID[id]
}

// Records returns the latest outcomes, the newest first.
func (r *Recorder) Records(most int) []*messenger.ChangeRecord {
	records := make([]*messenger.ChangeRecord, 0, min(most, len(r.records)))
	for i := len(r.records) - 1; i >= 0 && len(records) < most; i-- {
		records = append(records, r.records[i])
	}
	return records
}

// Snapshot returns the whole state.
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
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	return data, errors.Wrap(err, "recorder: encode the state")
}

// Restore replaces the whole state.
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
		}
	}
	for team, label := range state.GetLabels() {
		r.labels[team] = label
	}
	for _, record := range state.GetRecords() {
		r.keep(record)
	}
	return nil
}
