package replicator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// checkMatches checks that every follower still stores the entries up to the
// index at which the leader of its term counts it.
func (c *cluster) checkMatches() {
	c.t.Helper()
	for _, leader := range c.replicas {
		if !leader.up || leader.role != Leader {
			continue
		}
		for name, p := range leader.progress {
			m := c.replicas[name]
			if !m.up || m.disk != p.disk || m.durableTerm() != leader.durableTerm() {
				continue
			}
			if m.lastIndex() < p.match {
				c.t.Fatalf("%s counts %s up to entry %d, but its last one is %d", leader.name, name, p.match, m.lastIndex())
			}
		}
	}
}

// TestSnapshotsAndDelays compacts logs, up to an index that was captured some
// time before, while messages are delayed, reordered, duplicated and lost, and
// while disks are lost. A leader must never count an entry that a follower has
// dropped, and no committed entry may be lost.
func TestSnapshotsAndDelays(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(r, "size")
		c := newCluster(t, rapid.Uint64().Draw(r, "seed"), size, false)
		lossRate := rapid.Float64Range(0, 0.1).Draw(r, "loss")
		delayRate := rapid.Float64Range(0.5, 0.98).Draw(r, "delay")
		index, state := uint64(0), []byte(nil)
		for i := range 1200 {
			if i%50 == 0 {
				c.heal()
				c.lossRate = lossRate
				slow := c.names[c.random.IntN(len(c.names))]
				c.delayRates[slow] = delayRate
			}
			switch c.random.IntN(8) {
			case 0, 1, 2:
				c.propose(fmt.Sprint("value", i))
			case 3:
				if leader := c.leader(); leader != nil {
					index, state = leader.applied, []byte(strings.Join(leader.state, ","))
				}
			case 4:
				if leader := c.leader(); leader != nil {
					c.handle(leader, leader.Compact(index, state))
				}
			}
			if c.random.IntN(200) == 0 {
				c.loseDisk(c.replicas[c.names[c.random.IntN(len(c.names))]])
			}
			c.step()
			c.checkMatches()
		}
		c.heal()
		c.commit("last")
		c.checkConvergence()
	})
}

// TestSnapshotKeepsTail installs a snapshot on a follower that stores, and has
// acknowledged, entries after it. The follower must keep them.
func TestSnapshotKeepsTail(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, 3, false)
	c.commit("first")
	leader := c.leader()
	follower := c.replicas["a"]
	if follower == leader {
		follower = c.replicas["b"]
	}
	base, term := leader.lastIndex(), leader.durableTerm()
	entries := []*messenger.Entry{}
	for i := range uint64(5) {
		entries = append(entries, &messenger.Entry{
			Index: base + 1 + i,
			Term:  term,
			Data:  []byte(fmt.Sprint("tail", i)),
		})
	}
	effects := follower.Step(&messenger.ReplicaMessage{
		Kind:    messenger.ReplicaMessageKind_APPEND,
		From:    leader.name,
		To:      follower.name,
		Term:    term,
		Index:   base,
		LogTerm: leader.termAt(base),
		Commit:  base,
		Entries: entries,
	}, c.now)
	is.Equal(effects.Messages[0].GetIndex(), base+5)
	c.handle(follower, effects)
	effects = follower.Step(&messenger.ReplicaMessage{
		Kind:   messenger.ReplicaMessageKind_INSTALL,
		From:   leader.name,
		To:     follower.name,
		Term:   term,
		Commit: base + 2,
		Snapshot: &messenger.Snapshot{
			Index:      base + 2,
			Term:       term,
			Membership: leader.membership(),
			State:      []byte("state"),
		},
	}, c.now)
	c.handle(follower, effects)
	is.Equal(follower.lastIndex(), base+5)                   // in memory
	is.Equal(len(follower.durable.Entries), 3)               // on disk
	is.Equal(follower.commit, base+2)                        // what the snapshot has committed
	is.Equal(string(follower.entryAt(base+5).Data), "tail4") // the acknowledged tail
	is.Equal(follower.Replicator.durable.Entries[0].Index, base+3)
}
