package claimer

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// keepers is the number of keepers of a key. A majority must grant a claim.
const keepers = 3

// A Member is a node that may keep claims.
type Member struct {
	// Name is the node's name.
	Name string
	// Zone is its availability zone.
	Zone string
	// Address is its overlay address.
	Address string
	// Reachable says whether it is worth asking.
	Reachable bool
}

// A Ring is the nodes that claims are kept among, as one node knows them. It
// is immutable.
type Ring struct {
	members map[string]Member
	zones   []ranked
	nodes   map[string][]ranked
	sum     uint64
}

// ranked is a name with its hash.
type ranked struct {
	name string
	hash uint64
}

func newRanked(name string) ranked {
	return ranked{
		name: name,
		hash: xxhash.Sum64String(name),
	}
}

// NewRing returns a new Ring of members.
func NewRing(members []Member) *Ring {
	r := &Ring{
		members: map[string]Member{},
		nodes:   map[string][]ranked{},
	}
	var names []string
	for i := range members {
		m := members[i]
		r.members[m.Name] = m
		r.nodes[m.Zone] = append(r.nodes[m.Zone], newRanked(m.Name))
		names = append(names, m.Name)
	}
	for name := range r.nodes {
		r.zones = append(r.zones, newRanked(name))
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

// Sum sums up the members' names.
func (r *Ring) Sum() uint64 {
	return r.sum
}

// score ranks the candidates for a key by rendezvous hashing.
func score(key uint64, r ranked) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:], key)
	binary.LittleEndian.PutUint64(pair[8:], r.hash)
	return xxhash.Sum64(pair[:])
}

// scored is a candidate for a key with its score.
type scored struct {
	ranked
	score uint64
}

// before says whether a candidate goes before another.
func (s scored) before(other scored) bool {
	if s.score != other.score {
		return s.score > other.score
	}
	return s.name < other.name
}

// best returns the highest ranked names, at most most of them.
func best(key uint64, candidates []ranked, most int) []string {
	top := make([]scored, 0, keepers+1)
	for i := range candidates {
		c := scored{
			ranked: candidates[i],
			score:  score(key, candidates[i]),
		}
		if len(top) == most && !c.before(top[most-1]) {
			continue
		}
		at := len(top)
		for at > 0 && c.before(top[at-1]) {
			at--
		}
		top = slices.Insert(top, at, c)
		top = top[:min(len(top), most)]
	}
	names := make([]string, 0, len(top))
	for i := range top {
		names = append(names, top[i].name)
	}
	return names
}

// Keepers returns the names of a key's keepers: one in each of three zones,
// or more in a zone where there are fewer zones. A key moves only if one of
// its keepers goes or a better one comes.
func (r *Ring) Keepers(key string) []string {
	hash := xxhash.Sum64String(key)
	zones := best(hash, r.zones, keepers)
	chosen := make([]string, 0, keepers)
	for i, zone := range zones {
		share := keepers / len(zones)
		if i < keepers%len(zones) {
			share++
		}
		chosen = append(chosen, best(hash, r.nodes[zone], share)...)
	}
	slices.Sort(chosen)
	return chosen
}

// Partners returns the members that may keep the same keys as the named one:
// those of other zones, or all others where there are fewer than three zones.
func (r *Ring) Partners(name string) []Member {
	own := r.members[name]
	var partners []Member
	for _, m := range r.members {
		apart := m.Zone != own.Zone || len(r.zones) < keepers
		if m.Name != name && apart {
			partners = append(partners, m)
		}
	}
	return partners
}
