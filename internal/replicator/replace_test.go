package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testReplace = 200 * time.Millisecond

// addReplica starts a replica with an empty disk that was not there at first,
// and makes it known to all.
func (c *cluster) addReplica(name string) {
	m := &machine{name: name}
	c.replicas[name] = m
	c.newDisk(m)
	c.start(m)
	c.names = append(c.names, name)
	c.know(nil)
}

// know tells every replica of all others that run. Those that are not among
// first stand in for one that is gone.
func (c *cluster) know(first []string) {
	founding := map[string]bool{}
	for _, name := range first {
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
		m.config.Replace = testReplace
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

// TestReplace loses a replica for good, has another stand in for it, and loses
// a second one as soon as the first has been replaced. Nothing is lost, and
// the log goes on.
func TestReplace(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		c := newBlankCluster(t, seed, 3, false)
		c.bootstrapSized("a", len(c.names), c.names...)
		c.untilAllMembers()
		c.commit("first")
		c.kill(c.replicas["c"])
		c.addReplica("d")
		c.until("c is replaced by d", func() bool {
			return c.isMember("d") && !c.isMember("c")
		})
		c.kill(c.replicas["a"])
		c.commit("second")
		is.True(c.isCommitted("first"))
	}
}

// TestSilentMemberStays has a member away for long while no other replica
// stands in for it. It stays a member: its disk still counts.
func TestSilentMemberStays(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		c := newBlankCluster(t, seed, 3, false)
		c.bootstrapSized("a", len(c.names), c.names...)
		c.untilAllMembers()
		c.commit("first")
		c.kill(c.replicas["c"])
		c.know(nil)
		c.run(int(10 * testReplace / testStep))
		c.commit("second")
		is.True(c.isMember("c"))
	}
}

// TestFoundingGrows admits replicas that were there at the first start and are
// not among the first members. The log grows by them, so that none of them is
// taken for one that stands in for another.
func TestFoundingGrows(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(30) {
		c := newBlankCluster(t, seed, 5, false)
		c.know(c.names)
		c.bootstrapSized("a", 3, "a", "b", "c")
		c.untilAllMembers()
		c.commit("first")
		c.kill(c.replicas["e"])
		c.run(int(10 * testReplace / testStep))
		is.True(c.isMember("e"))
		is.Equal(c.leader().membership().GetSize(), uint32(5))
	}
}

// TestSlowFollowerIsNotFlooded has a follower lag behind while many reads are
// asked. It is sent what it lacks once, and not again for each read; it catches
// up, and all reads are answered.
func TestSlowFollowerIsNotFlooded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, 3, false)
	c.commit("first")
	leader := c.leader()
	away := c.replicas["a"]
	if leader == away {
		away = c.replicas["b"]
	}
	away.frozen = true
	const values = 20
	for i := range values {
		c.commit(fmt.Sprint("value", i))
	}
	sent := 0
	for token := range uint64(100) {
		effects, err := leader.Confirm(token+1, c.now)
		is.NoErr(err)
		for _, m := range effects.Messages {
			if m.GetTo() == away.name {
				sent += len(m.GetEntries())
			}
		}
		c.handle(leader, effects)
		c.run(1)
	}
	is.True(sent <= 100*values/10)
	away.frozen = false
	c.heal()
	c.commit("last")
	c.checkAll()
	is.True(len(c.reads) >= 95) // but for the last ones all are answered
}
