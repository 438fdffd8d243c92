// Package messenger contains the messages between the system's processes,
// generated from proto/messenger.proto, and conversions between them and the
// types of package fireflymoor.
package messenger

import (
	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

var errHashLength = errors.New("messenger: hash is not 32 bytes long")

// FromEntry converts an entry to a message.
func FromEntry(e fireflymoor.TeamEntry) *TeamEntry {
	m := &TeamEntry{
		Team:         e.Team,
		Number:       e.Number,
		TemplateHash: e.Template[:],
		ValuesHash:   e.Values[:],
		RenderedHash: e.Rendered[:],
	}
	if e.Rollouts != (fireflymoor.Hash{}) {
		m.RolloutsHash = e.Rollouts[:]
	}
	return m
}

// ToEntry converts a message to an entry. It returns an error if a hash does not
// have 32 bytes.
func ToEntry(m *TeamEntry) (fireflymoor.TeamEntry, error) {
	template, templateOK := fireflymoor.HashFrom(m.GetTemplateHash())
	values, valuesOK := fireflymoor.HashFrom(m.GetValuesHash())
	rendered, renderedOK := fireflymoor.HashFrom(m.GetRenderedHash())
	rollouts, rolloutsOK := fireflymoor.HashFrom(m.GetRolloutsHash())
	rolloutsOK = rolloutsOK || len(m.GetRolloutsHash()) == 0
	if !templateOK || !valuesOK || !renderedOK || !rolloutsOK {
		return fireflymoor.TeamEntry{}, errHashLength
	}
	return fireflymoor.TeamEntry{
		Team:     m.GetTeam(),
		Number:   m.GetNumber(),
		Template: template,
		Values:   values,
		Rendered: rendered,
		Rollouts: rollouts,
	}, nil
}

// FromManifest converts a manifest to a message.
func FromManifest(manifest fireflymoor.Manifest) *Manifest {
	m := &Manifest{
		Number: manifest.Number(),
	}
	for _, e := range manifest.Teams() {
		m.Teams = append(m.Teams, FromEntry(e))
	}
	return m
}

// ToManifest converts a message to a manifest. It returns an error if a hash does
// not have 32 bytes.
func ToManifest(m *Manifest) (fireflymoor.Manifest, error) {
	entries := make([]fireflymoor.TeamEntry, 0, len(m.GetTeams()))
	for _, t := range m.GetTeams() {
		e, err := ToEntry(t)
		if err != nil {
			return fireflymoor.Manifest{}, err
		}
		entries = append(entries, e)
	}
	return fireflymoor.NewManifest(m.GetNumber(), entries), nil
}

// HeadOf returns the head that announces a manifest when a link opens.
func HeadOf(manifest fireflymoor.Manifest) *Head {
	hash := manifest.Hash()
	return &Head{
		Number: manifest.Number(),
		Hash:   hash[:],
	}
}
