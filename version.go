package fireflymoor

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// A Hash is the SHA-256 hash of a piece of content.
type Hash [sha256.Size]byte

// HashOf returns the hash of text.
func HashOf(text string) Hash {
	return sha256.Sum256([]byte(text))
}

// HashFrom returns the hash in b, and false if b does not have the length of a
// hash.
func HashFrom(b []byte) (Hash, bool) {
	h := Hash{}
	return h, copy(h[:], b) == len(h) && len(b) == len(h)
}

// Inputs are a team's template and values, as the operator wrote them.
type Inputs struct {
	// Template is the text of the template, with its parameters.
	Template string
	// Values is the text of the team's values.
	Values string
	// Rollouts is the text of the team's roll-outs, which the system writes. It is
	// empty if there are none.
	Rollouts string
}

// Rendered is the result of rendering a template with values.
type Rendered struct {
	// Text is the rendered form of the configuration.
	Text string
	// Configuration is the parsed text.
	Configuration Configuration
}

// A TeamEntry is one team's entry in a Manifest.
type TeamEntry struct {
	// Team is the team's name.
	Team string
	// Number is the number of the version that last changed the entry.
	Number uint64
	// Template is the hash of the template.
	Template Hash
	// Values is the hash of the values.
	Values Hash
	// Rendered is the hash of the rendered form.
	Rendered Hash
	// Rollouts is the hash of the roll-outs, or zero if there are none.
	Rollouts Hash
}

// A Manifest lists the content of one accepted version by hash. It is immutable.
type Manifest struct {
	number uint64
	teams  []TeamEntry
}

// NewManifest returns the Manifest of the version with the number.
func NewManifest(number uint64, teams []TeamEntry) Manifest {
	sorted := slices.Clone(teams)
	slices.SortFunc(sorted, func(a, b TeamEntry) int {
		return cmp.Compare(a.Team, b.Team)
	})
	return Manifest{
		number: number,
		teams:  sorted,
	}
}

// Number returns the version's number. It is 0 for the empty version before the
// first change.
func (m Manifest) Number() uint64 {
	return m.number
}

// Teams returns a copy of the entries, sorted by team name.
func (m Manifest) Teams() []TeamEntry {
	return slices.Clone(m.teams)
}

// Team returns the entry of the named team, and false if there is none.
func (m Manifest) Team(name string) (TeamEntry, bool) {
	i, ok := slices.BinarySearchFunc(m.teams, name, func(e TeamEntry, name string) int {
		return cmp.Compare(e.Team, name)
	})
	if !ok {
		return TeamEntry{}, false
	}
	return m.teams[i], true
}

// With returns the manifest of the next version, in which entry replaces the
// team's previous entry. The entry gets the number of the new version.
func (m Manifest) With(entry TeamEntry) Manifest {
	entry.Number = m.number + 1
	teams := slices.DeleteFunc(m.Teams(), func(e TeamEntry) bool {
		return e.Team == entry.Team
	})
	return NewManifest(entry.Number, append(teams, entry))
}

// Hash returns the hash of the version's number and all entries. Roll-outs are
// appended, so that a version without any has the hash that builds without roll-outs
// compute.
func (m Manifest) Hash() Hash {
	b := &bytes.Buffer{}
	b.Write(binary.BigEndian.AppendUint64(nil, m.number))
	for _, e := range m.teams {
		b.Write(binary.BigEndian.AppendUint32(nil, uint32(len(e.Team))))
		b.WriteString(e.Team)
		b.Write(binary.BigEndian.AppendUint64(nil, e.Number))
		b.Write(e.Template[:])
		b.Write(e.Values[:])
		b.Write(e.Rendered[:])
	}
	for _, e := range m.teams {
		if e.Rollouts != (Hash{}) {
			b.Write(binary.BigEndian.AppendUint32(nil, uint32(len(e.Team))))
			b.WriteString(e.Team)
			b.Write(e.Rollouts[:])
		}
	}
	return sha256.Sum256(b.Bytes())
}

// Pieces returns the hashes of the templates, values and roll-outs of all teams.
func (m Manifest) Pieces() []Hash {
	hashes := make([]Hash, 0, 2*len(m.teams))
	for _, e := range m.teams {
		hashes = append(hashes, e.Template, e.Values)
		if e.Rollouts != (Hash{}) {
			hashes = append(hashes, e.Rollouts)
		}
	}
	return hashes
}
