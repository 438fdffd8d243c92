package claimer

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// keepersPerKey is the number of keepers of a key. A majority of them must
// grant a claim.
const keepersPerKey = 3

// A Member is a node that may be a keeper.
type Member struct {
	// Name is the node's name.
	Name string
	// Zone is the node's availability zone.
	Zone string
	// Address is the node's overlay address.
	Address string
	// Reachable reports whether requests should be sent to the node.
	Reachable bool
}

// A Ring is one node's view of the nodes that may be keepers. It assigns
// keepers to keys. It is immutable.
type Ring struct {
	members map[string]Member
	zones   []hashedName
	nodes   map[string][]hashedName
	sum     uint64
}

// hashedName is a name with its hash.
type hashedName struct {
	name string
	hash uint64
}

func newHashedName(name string) hashedName {
	return hashedName{
		name: name,
		hash: xxhash.Sum64String(name),
	}
}

// NewRing returns a new Ring of members.
func NewRing(members []Member) *Ring {
	r := &Ring{
		members: map[string]Member{},
		nodes:   map[string][]hashedName{},
	}
	var names []string
	for i := range members {
		m := members[i]
		r.members[m.Name] = m
		r.nodes[m.Zone] = append(r.nodes[m.Zone], newHashedName(m.Name))
		names = append(names, m.Name)
	}
	for name := range r.nodes {
		r.zones = append(r.zones, newHashedName(name))
	}
	slices.Sort(names)
	r.sum = xxhash.Sum64String(strings.Join(names, " "))
	return r
}

// Member returns the named member, and false if there is none.
func (r *Ring) Member(name string) (Member, bool) {
	m, ok := r.members[name]
	return m, ok
}

// Sum returns a hash of the members' names. Rings with the same names have the
// same sum.
func (r *Ring) Sum() uint64 {
	return r.sum
}

// score returns a candidate's score for a key by rendezvous hashing.
func score(key uint64, n hashedName) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:], key)
	binary.LittleEndian.PutUint64(pair[8:], n.hash)
	return xxhash.Sum64(pair[:])
}

// candidate is a candidate for a key with its score.
type candidate struct {
	hashedName
	score uint64
}

// before reports whether c ranks higher than other. Equal scores are ordered by
// name.
func (c candidate) before(other candidate) bool {
	if c.score != other.score {
		return c.score > other.score
	}
	return c.name < other.name
}

// topNames returns the names of the highest-scoring candidates for a key, at
// most limit of them.
func topNames(key uint64, candidates []hashedName, limit int) []string {
	top := make([]candidate, 0, keepersPerKey+1)
	for i := range candidates {
		c := candidate{
			hashedName: candidates[i],
			score:      score(key, candidates[i]),
		}
		if len(top) == limit && !c.before(top[limit-1]) {
			continue
		}
		position := len(top)
		for position > 0 && c.before(top[position-1]) {
			position--
		}
		top = slices.Insert(top, position, c)
		top = top[:min(len(top), limit)]
	}
	names := make([]string, 0, len(top))
	for i := range top {
		names = append(names, top[i].name)
	}
	return names
}

// Keepers returns the names of a key's keepers in sorted order: one in each of
// three zones, or several in one zone if there are fewer than three zones. The
// keepers of a key change only if one of them is removed or a node or zone with
// a higher score is added.
func (r *Ring) Keepers(key string) []string {
	hash := xxhash.Sum64String(key)
	zones := topNames(hash, r.zones, keepersPerKey)
	chosen := make([]string, 0, keepersPerKey)
	for i, zone := range zones {
		count := keepersPerKey / len(zones)
		if i < keepersPerKey%len(zones) {
			count++
		}
		chosen = append(chosen, topNames(hash, r.nodes[zone], count)...)
	}
	slices.Sort(chosen)
	return chosen
}

// Partners returns the members that may be keepers of the same keys as the
// named member: all members of other zones, or all other members if there are
// fewer than three zones.
func (r *Ring) Partners(name string) []Member {
	self := r.members[name]
	var partners []Member
	for _, m := range r.members {
		eligible := m.Zone != self.Zone || len(r.zones) < keepersPerKey
		if m.Name != name && eligible {
			partners = append(partners, m)
		}
	}
	return partners
}
