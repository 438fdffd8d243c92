package announcer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// ringDistanceFactor is the ratio between the ring distances of successive
	// neighbours.
	ringDistanceFactor = 4
	// smallZoneSize is the number of members below which a zone is small. Each
	// member of a small zone links to several other availability zones instead
	// of one.
	smallZoneSize = 16
	// maxSmallZoneCrossLinks is the maximum number of cross-zone links of each
	// member of a small zone.
	maxSmallZoneCrossLinks = 3
	// reportersPerZone is the number of nodes in each zone that collect the
	// versions held by the nodes of the zone.
	reportersPerZone = 2
)

// ring returns the live members of a zone in ring order, from the cache if
// possible.
func (a *Announcer) ring(zone string) []*messenger.Fact {
	members, ok := a.rings[zone]
	if !ok {
		members = a.makeRing(zone)
		a.rings[zone] = members
	}
	return members
}

// makeRing returns the live members of a zone, sorted by the hashes of their
// names.
func (a *Announcer) makeRing(zone string) []*messenger.Fact {
	var members []*messenger.Fact
	for _, r := range a.facts {
		alive := r.fact.GetState() == messenger.MemberState_MEMBER_ALIVE
		if alive && r.fact.GetZone() == zone {
			members = append(members, r.fact)
		}
	}
	slices.SortFunc(members, func(x, y *messenger.Fact) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(x.GetName()), xxhash.Sum64String(y.GetName())),
			cmp.Compare(x.GetName(), y.GetName()),
		)
	})
	return members
}

// zones returns the other zones that have live members, sorted by name.
func (a *Announcer) zones() []string {
	var zones []string
	for _, r := range a.facts {
		zone := r.fact.GetZone()
		alive := r.fact.GetState() == messenger.MemberState_MEMBER_ALIVE
		if alive && zone != a.Self().GetZone() && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// ZoneSize returns the number of live members in this process's zone.
func (a *Announcer) ZoneSize() int {
	return len(a.ring(a.Self().GetZone()))
}

// Neighbours returns the members to which this process maintains links: ring
// successors at exponentially growing distances in its zone, and one or a few
// members of other zones.
func (a *Announcer) Neighbours() []*messenger.Fact {
	if a.neighbours == nil {
		a.neighbours = a.makeNeighbours()
	}
	return a.neighbours
}

// Successor returns the next member on this zone's ring, or nil if there is
// none. The link to it has the shortest heartbeat interval, so that the failure
// of either end is detected early.
func (a *Announcer) Successor() *messenger.Fact {
	members := a.ring(a.Self().GetZone())
	for i, f := range members {
		if f.GetName() == a.self && len(members) > 1 {
			return members[(i+1)%len(members)]
		}
	}
	return nil
}

// Adjacent returns the two of the given members that are next to this process on
// its zone's ring, one in each direction. The result has one name if they are the
// same member, and none if no given member is on the ring.
func (a *Announcer) Adjacent(among func(name string) bool) []string {
	members := a.ring(a.Self().GetZone())
	position := slices.IndexFunc(members, func(f *messenger.Fact) bool {
		return f.GetName() == a.self
	})
	if position < 0 {
		return nil
	}
	find := func(step int) string {
		for i := 1; i < len(members); i++ {
			name := members[(position+i*step+len(members)*i)%len(members)].GetName()
			if among(name) {
				return name
			}
		}
		return ""
	}
	next, previous := find(1), find(-1)
	if next == "" {
		return nil
	}
	if next == previous {
		return []string{next}
	}
	return []string{next, previous}
}

func (a *Announcer) makeNeighbours() []*messenger.Fact {
	members := a.ring(a.Self().GetZone())
	position := slices.IndexFunc(members, func(f *messenger.Fact) bool {
		return f.GetName() == a.self
	})
	var neighbours []*messenger.Fact
	for distance := 1; distance < len(members); distance *= ringDistanceFactor {
		neighbours = append(neighbours, members[(position+distance)%len(members)])
	}
	return append(neighbours, a.crossNeighbours(position, len(members))...)
}

// crossNeighbours returns the neighbours in other zones of the member at the
// given position on a ring of the given size. The positions spread the links
// over the other zones and over their members.
func (a *Announcer) crossNeighbours(position, size int) []*messenger.Fact {
	zones := a.zones()
	links := 1
	if size < smallZoneSize {
		links = min(maxSmallZoneCrossLinks, len(zones))
	}
	var neighbours []*messenger.Fact
	for i := 0; i < links && len(zones) > 0; i++ {
		offset := max(position, 0) + i
		members := a.ring(zones[offset%len(zones)])
		neighbours = append(neighbours, members[(offset/len(zones)+max(position, 0))%len(members)])
	}
	return neighbours
}

// ShouldRelay reports whether this process forwards the named member's fact to
// neighbours in other zones. It forwards the facts of its zone and those of
// small zones. A large zone has links to all other zones itself.
func (a *Announcer) ShouldRelay(name string) bool {
	zone := a.Fact(name).GetZone()
	return zone == a.Self().GetZone() || len(a.ring(zone)) < smallZoneSize
}

// Suspects returns the facts of all suspected members.
func (a *Announcer) Suspects() []*messenger.Fact {
	var suspects []*messenger.Fact
	for _, r := range a.facts {
		if r.fact.GetState() == messenger.MemberState_MEMBER_SUSPECT {
			suspects = append(suspects, r.fact)
		}
	}
	return suspects
}

// Reporters returns the nodes that collect the versions held by the nodes of a
// zone. The first one reports to the control replicas, and the next one is ready
// to replace it.
func (a *Announcer) Reporters(zone string) []*messenger.Fact {
	nodes := a.ZoneNodes(zone)
	return nodes[:min(reportersPerZone, len(nodes))]
}

// ZoneNodes returns the live nodes of a zone, without control replicas.
func (a *Announcer) ZoneNodes(zone string) []*messenger.Fact {
	return slices.DeleteFunc(slices.Clone(a.ring(zone)), func(f *messenger.Fact) bool {
		return f.GetControl()
	})
}
