package rationer

import (
	"cmp"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxCandidates is the number of nodes of a zone that may become the aggregator of
// a shard while others do not respond.
const maxCandidates = 4

// A Member is a node as the overlay knows it.
type Member struct {
	// Name is the node's name.
	Name string
	// Zone is the node's availability zone.
	Zone string
	// Address is the node's overlay address.
	Address string
	// Alive is false if the node is suspected.
	Alive bool
}

// Members is one node's view of the nodes that have not left. It is immutable.
type Members struct {
	self   Member
	byName map[string]Member
	byZone map[string][]Member
	shards int

	// lock guards orders, a cache of the results of order.
	lock   sync.Mutex
	orders map[zoneShard][]Member
}

// zoneShard is a shard in a zone.
type zoneShard struct {
	zone  string
	shard int
}

// NewMembers returns the view of the node self. If members does not contain self, it
// is added.
func NewMembers(self Member, members []Member) *Members {
	m := &Members{
		self:   self,
		byName: map[string]Member{},
		byZone: map[string][]Member{},
		shards: 1,
		orders: map[zoneShard][]Member{},
	}
	if !slices.ContainsFunc(members, func(other Member) bool { return other.Name == self.Name }) {
		members = append(slices.Clone(members), self)
	}
	largest := 0
	for i := range members {
		member := members[i]
		m.byName[member.Name] = member
		m.byZone[member.Zone] = append(m.byZone[member.Zone], member)
		largest = max(largest, len(m.byZone[member.Zone]))
	}
	if largest > largeZone {
		for 2*m.shards <= min(largest, maxShards) {
			m.shards *= 2
		}
	}
	return m
}

// Len returns the number of nodes.
func (m *Members) Len() int {
	return len(m.byName)
}

// share returns a zone's part of the nodes. Suspected nodes count, so that both sides
// of a partition compute shares that add up to 1.
func (m *Members) share(zone string) float64 {
	return float64(len(m.byZone[zone])) / float64(len(m.byName))
}

// otherZones returns the names of the other zones, sorted.
func (m *Members) otherZones() []string {
	var zones []string
	for zone := range m.byZone {
		if zone != m.self.Zone {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// shardOf returns the shard of a tenant.
func (m *Members) shardOf(id uint64) int {
	return int(id % uint64(m.shards))
}

// order returns the first candidates for the aggregator of a shard in a zone, by
// rendezvous hashing. Suspected nodes come last.
func (m *Members) order(zone string, shard int) []Member {
	m.lock.Lock()
	defer m.lock.Unlock()
	key := zoneShard{
		zone:  zone,
		shard: shard,
	}
	if cached, ok := m.orders[key]; ok {
		return cached
	}
	ordered := slices.Clone(m.byZone[zone])
	suffix := "\x00" + strconv.Itoa(shard)
	score := func(member Member) uint64 { return xxhash.Sum64String(member.Name + suffix) }
	slices.SortFunc(ordered, func(x, y Member) int {
		if x.Alive != y.Alive {
			if x.Alive {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(y), score(x)), cmp.Compare(x.Name, y.Name))
	})
	ordered = ordered[:min(len(ordered), maxCandidates)]
	m.orders[key] = ordered
	return ordered
}

// isFirst reports whether this node is the first candidate of its zone for a shard.
func (m *Members) isFirst(shard int) bool {
	ordered := m.order(m.self.Zone, shard)
	return len(ordered) > 0 && ordered[0].Name == m.self.Name
}
