package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// testCatchUp is the number of steps within which the members are settled again once
// all replicas are back.
const testCatchUp = 400

// loss is the loss of a disk. It is made up for once the replica with the new disk is a
// member, and the replicas that it replaces, if any, are none.
type loss struct {
	replaced  []string
	successor string
}

// sizedCluster is a cluster whose replicas are replaced by others.
type sizedCluster struct {
	*cluster
	// founding are the replicas whose process runs since the first start. A process
	// that is started again is not told that it was there at that time.
	founding map[string]bool
	// foundingCount is the number of founding replicas.
	foundingCount int
	// current are the replicas that have not been replaced.
	current []string
	// leaving are the replicas that another one has been added for.
	leaving map[string]bool
	// losses are the lost disks that the log has not made up for yet.
	losses []loss
	// due are the events to come, by their step.
	due    map[int][]func()
	now    int
	events []string
}

// newSizedCluster returns a cluster of founding replicas. The log starts with the first
// three of them.
func newSizedCluster(t testing.TB, seed uint64, count int) *sizedCluster {
	s := &sizedCluster{
		cluster:       newBlankCluster(t, seed, count, false),
		founding:      map[string]bool{},
		foundingCount: count,
		leaving:       map[string]bool{},
		due:           map[int][]func(){},
	}
	s.current = append(s.current, s.names...)
	for _, name := range s.names {
		s.founding[name] = true
	}
	s.updatePeers()
	s.bootstrapWithSize("a", 3, "a", "b", "c")
	for _, name := range s.names[3:] {
		s.losses = append(s.losses, loss{successor: name})
	}
	s.commit("first")
	return s
}

// updatePeers tells all replicas who is there and which of them are founding.
func (s *sizedCluster) updatePeers() {
	var names []string
	for name := range s.founding {
		names = append(names, name)
	}
	s.cluster.updatePeers(names)
}

// stop ends a process. Its successor is not founding.
func (s *sizedCluster) stop(name string) {
	s.kill(s.replicas[name])
	delete(s.founding, name)
	s.updatePeers()
}

// restart starts a process again, unless the replica is gone.
func (s *sizedCluster) restart(name string) {
	if !slices.Contains(s.current, name) {
		return
	}
	s.start(s.replicas[name])
	s.updatePeers()
}

// add starts a replica in the place of another one.
func (s *sizedCluster) add(name string) {
	s.addReplica(name)
	s.current = append(s.current, name)
	s.updatePeers()
}

// remove ends a replica for good.
func (s *sizedCluster) remove(name string) {
	s.stop(name)
	s.current = slices.DeleteFunc(s.current, func(other string) bool { return other == name })
}

// updateLosses drops the losses that the log has made up for.
func (s *sizedCluster) updateLosses() {
	if s.leader() == nil {
		return
	}
	s.losses = slices.DeleteFunc(s.losses, func(l loss) bool {
		return s.admitted(l.successor) && !slices.ContainsFunc(l.replaced, s.isMember)
	})
}

// after has an event happen some steps later.
func (s *sizedCluster) after(steps int, event func()) {
	s.due[s.now+steps] = append(s.due[s.now+steps], event)
}

// play runs steps with the events that are due, and checks the size after each.
func (s *sizedCluster) play(steps int) {
	s.t.Helper()
	for range steps {
		for _, event := range s.due[s.now] {
			event()
		}
		delete(s.due, s.now)
		s.now++
		s.step()
		s.updateLosses()
		for _, name := range s.names {
			if size := int(s.replicas[name].membership().GetSize()); size > s.foundingCount {
				s.t.Fatalf("%s has size %d with %d founding replicas after %v", name, size, s.foundingCount, s.events)
			}
		}
	}
}

// settle ends all faults, waits until the members are settled, and checks them.
func (s *sizedCluster) settle() {
	s.t.Helper()
	for len(s.due) > 0 {
		s.play(1)
	}
	for _, name := range s.current {
		s.replicas[name].frozen = false
		if !s.replicas[name].up {
			s.restart(name)
		}
	}
	s.play(testCatchUp)
	leader := s.leader()
	if leader == nil {
		s.t.Fatalf("no leader after %v", s.events)
	}
	for _, m := range leader.members() {
		if !s.replicas[m.GetName()].up {
			s.t.Fatalf("%s is gone and still a member of %v after %v", m.GetName(), leader.members(), s.events)
		}
	}
}

// loseDisks has as many replicas lose their disks as the log bears.
func (s *sizedCluster) loseDisks(random *rand.Rand) {
	for _, i := range random.Perm(len(s.current))[:(s.foundingCount-1)/2] {
		s.events = append(s.events, "final loss of "+s.current[i])
		s.replaceDisk(s.current[i])
	}
	s.updatePeers()
}

// lose reports whether the log bears that a replica's disk is lost and that a successor
// takes its place, and if so, takes note of it.
func (s *sizedCluster) lose(name, successor string) bool {
	var replaced []string
	if name != successor {
		replaced = append(replaced, name)
	}
	for i, l := range s.losses {
		if l.successor == name && s.isUnknown(name) {
			// The disk has not counted yet.
			s.losses[i] = loss{
				replaced:  append(replaced, l.replaced...),
				successor: successor,
			}
			return true
		}
	}
	if len(s.losses) >= (s.foundingCount-1)/2 {
		return false
	}
	s.losses = append(s.losses, loss{
		replaced:  replaced,
		successor: successor,
	})
	return true
}

// isUnknown reports whether the leader has not proposed a replica as a member.
func (s *sizedCluster) isUnknown(name string) bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	_, member := leader.memberDisk(name)
	return !member
}

// disrupt makes a random fault at a replica, or replaces it. No more disks are lost at
// the same time than the log bears.
func (s *sizedCluster) disrupt(random *rand.Rand, added *int) {
	name := s.current[random.IntN(len(s.current))]
	m := s.replicas[name]
	if !m.up || m.frozen || s.leaving[name] {
		return
	}
	span := random.IntN(4 * int(testReplace/testStep))
	kind := []string{"freeze", "kill", "wipe", "planned", "unplanned"}[random.IntN(5)]
	next := name
	if kind == "planned" || kind == "unplanned" {
		next = fmt.Sprint("new-", *added+1)
	}
	if kind != "freeze" && kind != "kill" && !s.lose(name, next) {
		return
	}
	s.events = append(s.events, fmt.Sprintf("%s of %s at %d for %d", kind, name, s.now, span))
	switch kind {
	case "freeze":
		m.frozen = true
		s.after(span, func() { m.frozen = false })
	case "kill":
		s.stop(name)
		s.after(span, func() { s.restart(name) })
	case "wipe":
		s.stop(name)
		s.newDisk(m)
		s.after(span, func() { s.restart(name) })
	default:
		*added++
		s.leaving[name] = true
		if kind == "planned" {
			s.add(next)
			s.after(span, func() { s.remove(name) })
			return
		}
		s.remove(name)
		s.after(span, func() { s.add(next) })
	}
}

// TestFrozenFoundingReplicaKeepsSize guards against the loss of an acknowledged change: a
// founding replica that was frozen while another one was replaced made the size larger
// when it was admitted again, so that the replaced one stayed a member for good and the
// next lost disk ended the quorum.
func TestFrozenFoundingReplicaKeepsSize(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		s := newSizedCluster(t, seed, 3)
		s.replicas["c"].frozen = true
		s.play(int(testReplace / testStep))
		s.add("d")
		s.waitUntil("the removal of the frozen replica", func() bool { return s.isMember("d") && !s.isMember("c") })
		s.remove("b")
		s.replicas["c"].frozen = false
		s.settle()
		is.Equal(s.leader().membership().GetSize(), uint32(3))
		s.commit("second")
		s.replaceDisk("a")
		s.updatePeers()
		s.commit("third")
	}
}

// TestSizeUnderRandomFaults replaces, freezes, kills and wipes replicas at random. The
// size must never exceed the number of founding replicas, and once all are back each
// member must be alive, so that the log bears the loss of disks that it is to bear.
func TestSizeUnderRandomFaults(t *testing.T) {
	for _, count := range []int{3, 4, 5} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			for seed := range uint64(60) {
				s := newSizedCluster(t, seed, count)
				random := rand.New(rand.NewPCG(seed, uint64(count)))
				if seed%2 == 0 {
					s.waitForAllMembers()
				}
				added := 0
				for range 2 + random.IntN(8) {
					s.disrupt(random, &added)
					s.play(random.IntN(2 * int(testReplace/testStep)))
				}
				s.settle()
				s.commit("acknowledged")
				s.loseDisks(random)
				s.commit("after the loss")
			}
		})
	}
}

// dropFounding rewrites the memberships of a log as a build does that does not know the
// names of the founding replicas.
func (s *sizedCluster) dropFounding() {
	for _, m := range s.replicas {
		s.kill(m)
		if snapshot := m.durable.Snapshot; snapshot != nil {
			snapshot.Membership.Founding = nil
		}
		for i, e := range m.durable.Entries {
			if e.GetKind() == messenger.EntryKind_ENTRY_MEMBERSHIP {
				membership := decodeMembership(e)
				membership.Founding = nil
				m.durable.Entries[i] = membershipEntry(e.GetIndex(), e.GetTerm(), membership)
			}
		}
	}
	for _, name := range s.current {
		s.start(s.replicas[name])
	}
	s.updatePeers()
}

// TestSizeOfEarlierLog guards against a founding replica that counts twice in a log that a
// build without the names of the founding replicas has written, whether or not a snapshot
// has replaced the memberships.
func TestSizeOfEarlierLog(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprint("compacted=", compacted), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(30) {
				s := newSizedCluster(t, seed, 4)
				s.waitForAllMembers()
				s.commit("second")
				if compacted {
					for _, m := range s.replicas {
						s.handle(m, m.Compact(m.applied, nil))
					}
				}
				s.dropFounding()
				s.replicas["c"].frozen = true
				s.play(int(testReplace / testStep))
				s.add("e")
				s.waitUntil("the removal of the frozen replica", func() bool { return s.isMember("e") && !s.isMember("c") })
				s.remove("b")
				s.replicas["c"].frozen = false
				s.settle()
				is.Equal(s.leader().membership().GetSize(), uint32(4))
			}
		})
	}
}

// TestSizeAboveMembers guards against a quorum that stays too large in a log whose size
// an earlier build made larger than the number of replicas: the member that is gone must
// be removed, so that the log bears the loss of another disk. An odd number of members
// must keep it, as its disk still counts.
func TestSizeAboveMembers(t *testing.T) {
	for _, size := range []int{4, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(30) {
				c := newBlankCluster(t, seed, size, false)
				c.bootstrapWithSize("a", size, c.names...)
				c.waitForAllMembers()
				c.kill(c.replicas["b"])
				c.updatePeers(nil)
				for _, m := range c.replicas {
					m.config.AbandonTimeout = 5 * testReplace
				}
				c.run(int(4 * testReplace / testStep))
				is.True(c.isMember("b"))
				c.run(int(6 * testReplace / testStep))
				is.Equal(c.isMember("b"), size%2 != 0)
				c.replaceDisk("a")
				c.updatePeers(nil)
				c.commit("after the loss")
			}
		})
	}
}
