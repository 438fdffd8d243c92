package announcer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// ringStep is the factor between the distances of ring successors.
	ringStep = 4
	// smallZone is the number of members below which each links to several
	// other availability zones and not to one.
	smallZone = 16
	// smallZoneCross is the most cross-zone links in a small zone.
	smallZoneCross = 3
	// reporters is how many nodes of a zone gather what its nodes hold.
	reporters = 2
)

// ring returns the members of a zone that are alive, in ring order.
func (a *Announcer) ring(zone string) []*messenger.Fact {
	members, ok := a.rings[zone]
	if !ok {
		members = a.makeRing(zone)
		a.rings[zone] = members
	}
	return members
}

func (a *Announcer) makeRing(zone string) []*messenger.Fact {
	var members []*messenger.Fact
	for _, h := range a.facts {
		alive := h.fact.GetState() == messenger.MemberState_MEMBER_ALIVE
		if alive && h.fact.GetZone() == zone {
			members = append(members, h.fact)
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

func (a *Announcer) zones() []string {
	var zones []string
	for _, h := range a.facts {
		zone := h.fact.GetZone()
		alive := h.fact.GetState() == messenger.MemberState_MEMBER_ALIVE
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

// Neighbours returns the members that this process keeps links to: ring
// successors at growing distance in its zone, and a few in other zones.
func (a *Announcer) Neighbours() []*messenger.Fact {
	if a.neighbours == nil {
		a.neighbours = a.makeNeighbours()
	}
	return a.neighbours
}

// Successor returns the next member of the zone's ring, or nil. The link to
// it is the one that finds the silence of either end soonest.
func (a *Announcer) Successor() *messenger.Fact {
	own := a.ring(a.Self().GetZone())
	for i, f := range own {
		if f.GetName() == a.self && len(own) > 1 {
			return own[(i+1)%len(own)]
		}
	}
	return nil
}

func (a *Announcer) makeNeighbours() []*messenger.Fact {
	own := a.ring(a.Self().GetZone())
	at := slices.IndexFunc(own, func(f *messenger.Fact) bool {
		return f.GetName() == a.self
	})
	var neighbours []*messenger.Fact
	for distance := 1; distance < len(own); distance *= ringStep {
		neighbours = append(neighbours, own[(at+distance)%len(own)])
	}
	return append(neighbours, a.crossNeighbours(at, len(own))...)
}

// crossNeighbours spreads the links of a zone's members over the other zones
// and over their members.
func (a *Announcer) crossNeighbours(at, size int) []*messenger.Fact {
	zones := a.zones()
	links := 1
	if size < smallZone {
		links = min(smallZoneCross, len(zones))
	}
	var neighbours []*messenger.Fact
	for i := 0; i < links && len(zones) > 0; i++ {
		turn := max(at, 0) + i
		other := a.ring(zones[turn%len(zones)])
		neighbours = append(neighbours, other[(turn/len(zones)+max(at, 0))%len(other)])
	}
	return neighbours
}

// Relays says whether a neighbour in another zone should hear of a member's
// fact from here: of one of the own zone always, and else unless the member's
// zone is large, as it then has links to all others itself.
func (a *Announcer) Relays(name string) bool {
	zone := a.Fact(name).GetZone()
	return zone == a.Self().GetZone() || len(a.ring(zone)) < smallZone
}

// Suspects returns the members that are not heard.
func (a *Announcer) Suspects() []*messenger.Fact {
	var suspects []*messenger.Fact
	for _, h := range a.facts {
		if h.fact.GetState() == messenger.MemberState_MEMBER_SUSPECT {
			suspects = append(suspects, h.fact)
		}
	}
	return suspects
}

// Reporters returns the nodes that gather what the nodes of a zone hold. The
// first tells the control replicas; the next is ready to take its place.
func (a *Announcer) Reporters(zone string) []*messenger.Fact {
	nodes := a.ZoneNodes(zone)
	return nodes[:min(reporters, len(nodes))]
}

// ZoneNodes returns the live nodes of a zone, control replicas left out.
func (a *Announcer) ZoneNodes(zone string) []*messenger.Fact {
	return slices.DeleteFunc(slices.Clone(a.ring(zone)), func(f *messenger.Fact) bool {
		return f.GetControl()
	})
}
