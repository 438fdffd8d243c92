package replicator

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// testAdmission is the number of steps within which a replica with a new disk
// must be admitted again.
const testAdmission = 200

// testLatency is the additional latency of a distant replica, below an election
// timeout.
const testLatency = 4 * testStep

// load is a source of requests to the leader, which are made more often than it
// sends heartbeats.
type load struct {
	name string
	// request makes one request.
	request func(c *cluster, n int)
}

var loads = []load{
	{
		name: "changes",
		request: func(c *cluster, n int) {
			c.propose(fmt.Sprint("change", n))
		},
	},
	{
		name: "reads",
		request: func(c *cluster, _ int) {
			if leader := c.leader(); leader != nil {
				_, effects, _ := leader.Confirm(c.now)
				c.handle(leader, effects)
			}
		},
	},
}

// replaceDisk kills a replica and starts it again with an empty disk.
func (c *cluster) replaceDisk(name string) {
	m := c.replicas[name]
	c.kill(m)
	c.newDisk(m)
	c.start(m)
}

// admitted reports whether the membership with a replica's current disk is
// committed.
func (c *cluster) admitted(name string) bool {
	return c.isMember(name) && c.leader().countsInQuorum(name, c.replicas[name].disk)
}

// TestMembershipChangesUnderLoad guards against the loss of the log when two disks
// are lost one after the other under load: requests that came more often than
// heartbeats kept the leader from admitting the first replica again.
func TestMembershipChangesUnderLoad(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				c := newCluster(t, seed, 3, false)
				c.commit("first")
				for n, name := range []string{"a", "b", "c"} {
					c.replaceDisk(name)
					steps := 0
					for ; steps < testAdmission && !c.admitted(name); steps++ {
						l.request(c, n*testAdmission+steps)
						c.step()
					}
					is.True(steps < testAdmission) // the replica is admitted under load
				}
				c.commit("last")
				c.checkConvergence()
				is.True(c.isCommitted("first"))
			}
		})
	}
}

// TestAdmissionOfLaggingReplica guards against the same loss where a replica is
// always behind: it was admitted only when it had every committed entry, while more
// were committed without it.
func TestAdmissionOfLaggingReplica(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3, false)
		c.commit("first")
		c.replaceDisk("c")
		c.latencies["c"] = testLatency
		steps := 0
		for ; steps < testAdmission && !c.admitted("c"); steps++ {
			c.propose(fmt.Sprint("change", steps))
			c.step()
		}
		is.True(steps < testAdmission) // the replica is admitted under load
		c.heal()
		c.commit("last")
		c.checkConvergence()
	}
}
