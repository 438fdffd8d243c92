// Package messenger holds the messages between the system's processes,
// generated from proto/messenger.proto, and their conversions to the values
// of package fireflymoor.
package messenger

import (
	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
)

var errHash = errors.New("messenger: a hash does not hold 32 bytes")

// FromEntry returns an entry as a message.
func FromEntry(e fireflymoor.TeamEntry) *TeamEntry {
	return &TeamEntry{
		Team:         e.Team,
		Number:       e.Number,
		TemplateHash: e.Template[:],
		ValuesHash:   e.Values[:],
		RenderedHash: e.Rendered[:],
	}
}

// ToEntry returns the entry that a message holds.
func ToEntry(m *TeamEntry) (fireflymoor.TeamEntry, error) {
	template, templateOK := fireflymoor.HashFrom(m.GetTemplateHash())
	values, valuesOK := fireflymoor.HashFrom(m.GetValuesHash())
	rendered, renderedOK := fireflymoor.HashFrom(m.GetRenderedHash())
	if !templateOK || !valuesOK || !renderedOK {
		return fireflymoor.TeamEntry{}, errHash
	}
	return fireflymoor.TeamEntry{
		Team:     m.GetTeam(),
		Number:   m.GetNumber(),
		Template: template,
		Values:   values,
		Rendered: rendered,
	}, nil
}

// FromManifest returns a manifest as a message.
func FromManifest(manifest fireflymoor.Manifest) *Manifest {
	m := &Manifest{
		Number: manifest.Number(),
	}
	for _, e := range manifest.Teams() {
		m.Teams = append(m.Teams, FromEntry(e))
	}
	return m
}

// ToManifest returns the manifest that a message holds.
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

// HeadOf returns the head that names a manifest on a link's opening.
func HeadOf(manifest fireflymoor.Manifest) *Head {
	hash := manifest.Hash()
	return &Head{
		Number: manifest.Number(),
		Hash:   hash[:],
	}
}
