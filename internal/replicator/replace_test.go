package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testReplace = 200 * time.Millisecond

// addReplica starts a new replica with an empty disk and adds it to the peers
// of all replicas.
func (c *cluster) addReplica(name string) {
	m := &testReplica{name: name}
	c.replicas[name] = m
	c.newDisk(m)
	c.start(m)
	c.names = append(c.names, name)
	c.updatePeers(nil)
}

// updatePeers sets the peers of every replica to all other running replicas.
// A peer that is not in foundingNames replaces a failed member.
func (c *cluster) updatePeers(foundingNames []string) {
	founding := map[string]bool{}
	for _, name := range foundingNames {
		founding[name] = true
	}
	for _, m := range c.replicas {
		var peers []Peer
		for _, other := range c.replicas {
			if other != m && other.up {
				peers = append(peers, Peer{
					Name:     other.name,
					Founding: founding[other.name],
				})
			}
		}
		m.config.ReplaceTimeout = testReplace
		m.SetPeers(peers, c.now)
	}
}

func (c *cluster) isMember(name string) bool {
	leader := c.leader()
	if leader == nil || leader.commit < leader.membershipIndex(leader.lastIndex()) {
		return false
	}
	_, ok := leader.memberDisk(name)
	return ok
}

// TestReplace kills a replica for good, adds another one in its place, and kills
// a second replica as soon as the first has been replaced. No committed value
// may be lost, and the log must still commit new ones.
func TestReplace(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		c := newBlankCluster(t, seed, 3, false)
		c.bootstrapWithSize("a", len(c.names), c.names...)
		c.waitForAllMembers()
		c.commit("first")
		c.kill(c.replicas["c"])
		c.addReplica("d")
		c.waitUntil("the replacement of c by d", func() bool {
			return c.isMember("d") && !c.isMember("c")
		})
		c.kill(c.replicas["a"])
		c.commit("second")
		is.True(c.isCommitted("first"))
	}
}

// TestUnresponsiveMemberStaysWithoutReplacement checks that a member that is
// down for long stays a member if no replica was admitted to replace it, as its
// disk still counts in a quorum.
func TestUnresponsiveMemberStaysWithoutReplacement(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		c := newBlankCluster(t, seed, 3, false)
		c.bootstrapWithSize("a", len(c.names), c.names...)
		c.waitForAllMembers()
		c.commit("first")
		c.kill(c.replicas["c"])
		c.updatePeers(nil)
		c.run(int(10 * testReplace / testStep))
		c.commit("second")
		is.True(c.isMember("c"))
	}
}

// TestFoundingReplicasIncreaseSize admits founding replicas that are not initial
// members. Each must increase the log's size. Otherwise one of them would count
// as a replacement, and an unresponsive member would be removed.
func TestFoundingReplicasIncreaseSize(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		c := newBlankCluster(t, seed, 5, false)
		c.updatePeers(c.names)
		c.bootstrapWithSize("a", 3, "a", "b", "c")
		c.waitForAllMembers()
		c.commit("first")
		c.kill(c.replicas["e"])
		c.run(int(10 * testReplace / testStep))
		is.True(c.isMember("e"))
		is.Equal(c.leader().membership().GetSize(), uint32(5))
	}
}

// TestSlowFollowerIsNotFlooded starts many reads while a follower lags behind.
// The missing entries must not be sent to it again for each read. The follower
// must catch up, and the reads must be confirmed.
func TestSlowFollowerIsNotFlooded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, 3, false)
	c.commit("first")
	leader := c.leader()
	slow := c.replicas["a"]
	if leader == slow {
		slow = c.replicas["b"]
	}
	slow.frozen = true
	const values = 20
	for i := range values {
		c.commit(fmt.Sprint("value", i))
	}
	sent := 0
	for range 100 {
		_, effects, err := leader.Confirm(c.now)
		is.NoErr(err)
		for _, m := range effects.Messages {
			if m.GetTo() == slow.name {
				sent += len(m.GetEntries())
			}
		}
		c.handle(leader, effects)
		c.run(1)
	}
	is.True(sent <= 100*values/10)
	slow.frozen = false
	c.heal()
	c.commit("last")
	c.checkConvergence()
	is.True(len(c.reads) >= 95) // all but the last reads are confirmed
}

// TestFoundingReplicaWithNewDisk gives a founding replica a new disk, and later
// replaces it by another replica. The size must stay, so that the replaced one is
// removed.
func TestFoundingReplicaWithNewDisk(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		c := newBlankCluster(t, seed, 3, false)
		c.updatePeers(c.names)
		c.bootstrapWithSize("a", 3, c.names...)
		c.waitForAllMembers()
		c.commit("first")
		m := c.replicas["c"]
		c.kill(m)
		c.newDisk(m)
		c.start(m)
		c.updatePeers(c.names)
		c.waitUntil("the admission of the new disk", func() bool {
			leader := c.leader()
			return leader != nil && leader.countsInQuorum("c", m.disk) && c.isMember("c")
		})
		is.Equal(c.leader().membership().GetSize(), uint32(3))
		c.kill(m)
		c.addReplica("d")
		c.waitUntil("the replacement of c by d", func() bool {
			return c.isMember("d") && !c.isMember("c")
		})
	}
}
