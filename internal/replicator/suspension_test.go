package replicator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestFullDiskAtEachWrite makes the disk of the leader, and then of a follower,
// refuse each of its next writes in turn. The other replicas must go on
// committing. The suspended replica must send nothing that its disk does not
// hold, must not lead, and must catch up once its disk takes writes, also if it
// loses power before.
func TestFullDiskAtEachWrite(t *testing.T) {
	is := is.New(t)
	for _, leads := range []bool{true, false} {
		for _, losesPower := range []bool{true, false} {
			for k := 1; k <= 12; k++ {
				c := newCluster(t, uint64(k), 3, false)
				c.commit("first")
				m := c.leader()
				if !leads {
					m = c.replicas[c.names[(strings.Index("abc", m.name)+1)%3]]
				}
				m.failAt = m.writes + k
				for i := range 20 {
					c.commit(fmt.Sprint("value", i))
				}
				is.True(m.full && m.Suspended())
				is.True(c.leader() != m)
				is.Equal(m.Status(c.now).Quorum, false)
				if losesPower {
					c.kill(m)
				}
				c.heal()
				c.commit("last")
				c.checkConvergence()
			}
		}
	}
}

// TestAllDisksFull fills all disks. No value may be committed, and all values
// that were committed before must be there when the disks take writes again.
func TestAllDisksFull(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 9, 3, false)
	c.commit("first")
	for _, m := range c.replicas {
		m.full = true
	}
	c.propose("second")
	c.run(200)
	is.True(!c.isCommitted("second"))
	is.True(c.leader() == nil)
	c.heal()
	c.commit("third")
	c.checkConvergence()
	is.True(c.isCommitted("first"))
}

// TestSuspendedReads checks that a suspended replica learns from the leader up to
// which index a read must wait, and so does not return an old state for it.
func TestSuspendedReads(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 11, 3, false)
	c.commit("first")
	leader := c.leader()
	m := c.replicas[c.names[(strings.Index("abc", leader.name)+1)%3]]
	m.full = true
	c.commit("second")
	c.run(20)
	is.True(m.Suspended())
	token, effects, err := m.Confirm(c.now)
	is.NoErr(err)
	c.handle(m, effects)
	c.waitUntil("the read", func() bool { return c.reads[token] > 0 })
	is.True(c.reads[token] > m.applied)
}

// TestFullDisks fills and frees disks at random while replicas are killed and
// messages are lost and delayed. No committed entry may be lost.
func TestFullDisks(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(r, "size")
		c := newCluster(t, rapid.Uint64().Draw(r, "seed"), size, false)
		c.lossRate = rapid.Float64Range(0, 0.2).Draw(r, "loss")
		for i := range 400 {
			m := c.replicas[c.names[c.random.IntN(len(c.names))]]
			switch c.random.IntN(16) {
			case 0, 1, 2, 3:
				c.propose(fmt.Sprint("value", i))
			case 4, 5:
				m.full = true
			case 6, 7:
				c.freeDisk(m)
			case 8:
				c.kill(m)
			case 9:
				if !m.up {
					c.start(m)
				}
			case 10:
				if m.up {
					c.handle(m, m.Compact(m.applied, []byte(strings.Join(m.state, ","))))
				}
			case 11:
				c.delayRates[m.name] = 0.9
			case 12:
				c.heal()
			}
			c.step()
			c.checkMatches()
		}
		c.heal()
		c.commit("last")
		c.checkConvergence()
	})
}
