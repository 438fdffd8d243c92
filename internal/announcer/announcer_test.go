package announcer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

var start = time.Unix(1, 0)

func fact(name string, boot, sequence uint64) *messenger.Fact {
	return &messenger.Fact{
		Name:     name,
		Zone:     "zone-" + name[:1],
		Boot:     boot,
		Sequence: sequence,
	}
}

// TestMergeIsOrderIndependent merges the same facts in two different orders,
// with some duplicates, and checks that both processes compute the same digest.
func TestMergeIsOrderIndependent(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var facts []*messenger.Fact
	for i := range 40 {
		for boot := range uint64(3) {
			for sequence := range uint64(3) {
				f := fact(fmt.Sprintf("a%d", i), boot+1, sequence+1)
				facts = append(facts, f)
				if sequence == 1 {
					suspect := proto.CloneOf(f)
					suspect.State = messenger.MemberState_MEMBER_SUSPECT
					facts = append(facts, suspect, f)
				}
			}
		}
	}
	var digests [2][]uint64
	for i := range digests {
		a := New(fact("b", 1, 1), start)
		random.Shuffle(len(facts), func(i, j int) { facts[i], facts[j] = facts[j], facts[i] })
		for _, f := range facts {
			a.Merge(f, start)
		}
		digests[i] = a.Digest()
	}
	is.Equal(digests[0], digests[1])
}

// TestRefutation checks that a process refutes a suspicion, and a fact of an
// earlier run with a higher boot number, by a newer fact about itself.
func TestRefutation(t *testing.T) {
	is := is.New(t)
	a := New(fact("a", 5, 1), start)
	suspect := proto.CloneOf(a.Self())
	suspect.State = messenger.MemberState_MEMBER_SUSPECT
	update := a.Merge(suspect, start)
	is.Equal(update.GetSequence(), uint64(2))
	is.Equal(update.GetState(), messenger.MemberState_MEMBER_ALIVE)
	update = a.Merge(fact("a", 9, 4), start)
	is.Equal(update.GetBoot(), uint64(10)) // the clock went back, so the boot is raised past the received one
}

// TestSuspicionOfAnEarlierBoot checks that suspicion of an earlier boot does not
// affect the current one.
func TestSuspicionOfAnEarlierBoot(t *testing.T) {
	is := is.New(t)
	a := New(fact("a", 1, 1), start)
	a.Merge(fact("b", 1, 1), start)
	a.Merge(fact("b", 2, 1), start)
	is.True(a.Suspect("b", 1, start) == nil)
	is.True(a.Suspect("b", 2, start) != nil)
}

// TestAntiEntropy checks that two processes that have missed different facts
// converge by exchanging digests, keys and facts.
func TestAntiEntropy(t *testing.T) {
	is := is.New(t)
	a, b := New(fact("a", 1, 1), start), New(fact("b", 1, 1), start)
	for i := range 300 {
		to := a
		if i%3 == 0 {
			to = b
		}
		to.Merge(fact(fmt.Sprintf("c%d", i), 1, uint64(i)+1), start)
	}
	buckets := b.Differing(a.Digest())
	for _, f := range b.Newer(buckets, a.Keys(buckets)) {
		a.Merge(f, start)
	}
	for _, f := range a.Newer(buckets, b.Keys(buckets)) {
		b.Merge(f, start)
	}
	is.Equal(len(a.Differing(b.Digest())), 0)
	is.Equal(len(a.Facts()), 302)
}

// TestRingIsConnected checks that in an overlay of 600 members all members are
// reachable from one of them over the neighbours' links, within a bounded
// number of steps and links per member.
func TestRingIsConnected(t *testing.T) {
	is := is.New(t)
	var facts []*messenger.Fact
	for i := range 600 {
		facts = append(facts, fact(fmt.Sprintf("%c-%d", 'a'+i%6, i), 1, 1))
	}
	links := map[string][]string{}
	for _, self := range facts {
		a := New(self, start)
		for _, f := range facts {
			a.Merge(f, start)
		}
		for _, n := range a.Neighbours() {
			links[self.GetName()] = append(links[self.GetName()], n.GetName())
			links[n.GetName()] = append(links[n.GetName()], self.GetName())
		}
	}
	maxLinks := 0
	for _, l := range links {
		maxLinks = max(maxLinks, len(l))
	}
	reached := map[string]int{"a-0": 0}
	frontier := []string{"a-0"}
	for len(frontier) > 0 {
		name := frontier[0]
		frontier = frontier[1:]
		for _, n := range links[name] {
			if _, ok := reached[n]; !ok {
				reached[n] = reached[name] + 1
				frontier = append(frontier, n)
			}
		}
	}
	maxSteps := 0
	for _, steps := range reached {
		maxSteps = max(maxSteps, steps)
	}
	t.Logf("at most %d steps, at most %d links", maxSteps, maxLinks)
	is.Equal(len(reached), 600)
	is.True(maxSteps <= 12)
	is.True(maxLinks <= 24)
}

func BenchmarkNeighbours(b *testing.B) {
	a := New(fact("a-0", 1, 1), start)
	for i := range 2300 {
		a.Merge(fact(fmt.Sprintf("%c-%d", 'a'+i%6, i+1), 1, 1), start)
	}
	b.ReportAllocs()
	for b.Loop() {
		a.Neighbours()
	}
}

func BenchmarkMergeOne(b *testing.B) {
	a := New(fact("a-0", 1, 1), start)
	for i := range 2300 {
		a.Merge(fact(fmt.Sprintf("%c-%d", 'a'+i%6, i+1), 1, 1), start)
	}
	b.ReportAllocs()
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		a.Merge(fact("c-2", 1, sequence), start)
		a.Neighbours()
	}
}

// TestAddressTakenOver guards against routing to a member whose instance has
// vanished when a member with another name has started at the same address.
// The address responds, so failure detection does not notice. The facts must
// give the same result in either order.
func TestAddressTakenOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	member := func(name, address string, boot uint64) *messenger.Fact {
		return &messenger.Fact{
			Name:           name,
			Zone:           "zone",
			Boot:           boot,
			OverlayAddress: address,
			Targets: []*messenger.Target{{
				Id: name + "/target",
			}},
		}
	}
	for _, order := range [][]string{{"old", "new"}, {"new", "old"}} {
		a := New(member("self", "127.0.0.1:1", 1), now)
		facts := map[string]*messenger.Fact{
			"old": member("old", "127.0.0.2:1", 5),
			"new": member("new", "127.0.0.2:1", 9),
		}
		for _, name := range order {
			a.Merge(facts[name], now)
		}
		var ids []string
		for _, target := range a.Targets() {
			ids = append(ids, target.ID)
		}
		is.Equal(ids, []string{"new/target", "self/target"})
		is.Equal(a.Fact("old").GetState(), messenger.MemberState_MEMBER_LEFT)
	}
}

// TestShouldRelay floods one fact from each of three zones over the links of
// overlays of 5 zones with 1 to 20 members each. ShouldRelay decides whether a
// member forwards the fact to another zone. Each fact must reach all members.
func TestShouldRelay(t *testing.T) {
	for size := 1; size <= 20; size++ {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			members := map[string]*Announcer{}
			for zone := range 5 {
				for i := range size {
					f := fact(fmt.Sprintf("%c-%d", 'a'+zone, i), 1, 1)
					members[f.GetName()] = New(f, start)
				}
			}
			links := map[string][]string{}
			for name, a := range members {
				for _, other := range members {
					a.Merge(other.Self(), start)
				}
				for _, f := range a.Neighbours() {
					links[name] = append(links[name], f.GetName())
					links[f.GetName()] = append(links[f.GetName()], name)
				}
			}
			for _, origin := range []string{"a-0", "c-0", "e-0"} {
				reached := map[string]bool{
					origin: true,
				}
				frontier := []string{origin}
				for len(frontier) > 0 {
					name := frontier[0]
					frontier = frontier[1:]
					for _, next := range links[name] {
						passed := name == origin || name[0] == next[0] || members[name].ShouldRelay(origin)
						if passed && !reached[next] {
							reached[next] = true
							frontier = append(frontier, next)
						}
					}
				}
				is.Equal(len(reached), len(members))
			}
		})
	}
}
