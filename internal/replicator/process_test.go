package replicator

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// withhold removes the messages of a kind to a replica that are in flight, and
// returns them.
func (c *cluster) withhold(kind messenger.ReplicaMessageKind, to string) []*messenger.ReplicaMessage {
	var withheld []*messenger.ReplicaMessage
	c.network = slices.DeleteFunc(c.network, func(m *messenger.ReplicaMessage) bool {
		matches := m.GetKind() == kind && m.GetTo() == to
		if matches {
			withheld = append(withheld, m)
		}
		return matches
	})
	return withheld
}

// follower returns a replica that does not lead.
func (c *cluster) follower() *testReplica {
	leader := c.leader()
	for _, name := range c.names {
		if c.replicas[name] != leader {
			return c.replicas[name]
		}
	}
	return nil
}

// restart kills a replica and starts it again with its disk.
func (c *cluster) restart(m *testReplica) {
	c.kill(m)
	c.start(m)
}

// confirm starts a read at a replica and returns its token.
func (c *cluster) confirm(m *testReplica) uint64 {
	token, effects, _ := m.Confirm(c.now)
	c.handle(m, effects)
	return token
}

// TestReadReplyToEarlierProcess guards against reads that return an old version
// after a restart: the reply to a read of the earlier process, which its sender had
// kept, confirmed a read of the new one.
func TestReadReplyToEarlierProcess(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 7, 3, false)
	c.commit("first")
	reader := c.follower()
	c.confirm(reader)
	var replies []*messenger.ReplicaMessage
	c.waitUntil("the reply", func() bool {
		replies = c.withhold(messenger.ReplicaMessageKind_READ_REPLY, reader.name)
		return len(replies) > 0
	})
	c.kill(reader)
	c.commit("second")
	c.start(reader)
	c.waitUntil("the leader is known", func() bool { return reader.leader != "" })
	token := c.confirm(reader)
	c.withhold(messenger.ReplicaMessageKind_READ, c.leader().name)
	for _, m := range replies {
		c.handle(reader, reader.Step(m, c.now))
	}
	_, confirmed := c.reads[token]
	is.True(!confirmed)
}

// TestAppendReplyToEarlierProcess guards against the same fault at a leader: the
// reply to an append message of its earlier process confirmed a round of the new
// one, and so a read, after another replica had been elected.
func TestAppendReplyToEarlierProcess(t *testing.T) {
	const rounds = 40
	is := is.New(t)
	c := newCluster(t, 7, 3, false)
	c.commit("first")
	m := c.leader()
	c.restart(m)
	start := m.round
	others := slices.DeleteFunc(slices.Clone(c.names), func(name string) bool { return name == m.name })
	lead := func() {
		c.waitUntil("the replica leads", func() bool {
			if leader := c.leader(); leader != nil && leader != m {
				c.kill(leader)
				c.run(2)
				c.start(leader)
			}
			return c.leader() == m
		})
	}
	lead()
	c.waitUntil("some rounds", func() bool { return m.round >= start+rounds })
	appends := c.withhold(messenger.ReplicaMessageKind_APPEND, others[0])
	is.True(len(appends) > 0)
	late := appends[len(appends)-1]
	lateRound := late.GetRound() - start

	c.restart(m)
	start = m.round
	lead()
	other := c.replicas[others[0]]
	effects := other.Step(late, c.now)
	is.Equal(len(effects.Messages), 1)
	reply := effects.Messages[0]
	c.waitUntil("the round before", func() bool { return m.round == start+lateRound-1 })
	is.Equal(c.leader(), m)

	m.frozen = true
	c.waitUntil("another leader", func() bool {
		leader := c.leader()
		return leader != nil && leader != m && c.propose("second")
	})
	c.run(20)
	is.True(c.isCommitted("second"))
	queued := c.withhold(messenger.ReplicaMessageKind_APPEND_REPLY, m.name)
	m.frozen = false
	token := c.confirm(m)
	c.handle(m, m.Step(reply, c.now))
	for _, earlier := range queued {
		if earlier.GetTerm() == m.durableTerm() {
			c.handle(m, m.Step(earlier, c.now))
		}
	}
	_, confirmed := c.reads[token]
	is.True(!confirmed)
}

// TestPreVoteReplyToEarlierProcess checks that votes for a candidacy of the earlier
// process do not count in one of the new process.
func TestPreVoteReplyToEarlierProcess(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 7, 3, false)
	c.commit("first")
	m := c.follower()
	c.leader().frozen = true
	c.run(int(testElection / testStep))
	m.electionDeadline = c.now
	var replies []*messenger.ReplicaMessage
	c.waitUntil("votes", func() bool {
		replies = slices.DeleteFunc(c.withhold(messenger.ReplicaMessageKind_PRE_VOTE_REPLY, m.name), (*messenger.ReplicaMessage).GetRefused)
		return len(replies) > 0
	})
	c.restart(m)
	c.isolate(m.name, false)
	m.electionDeadline = c.now
	c.waitUntil("a candidacy", func() bool { return m.role == PreCandidate })
	for _, reply := range replies {
		c.handle(m, m.Step(reply, c.now))
	}
	is.Equal(m.role, PreCandidate)
}
