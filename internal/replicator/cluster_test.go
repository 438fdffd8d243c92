package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	testHeartbeat = 10 * time.Millisecond
	testElection  = 60 * time.Millisecond
	testStep      = 5 * time.Millisecond
)

// cluster simulates replicas in steps of time, without sockets or disks.
type cluster struct {
	t            testing.TB
	random       *rand.Rand
	now          time.Time
	names        []string
	replicas     map[string]*testReplica
	network      []*messenger.ReplicaMessage
	blockedLinks map[[2]string]bool
	lossRate     float64
	// delayRates are the probabilities, by sender, that a message stays in
	// flight for one more step.
	delayRates map[string]float64
	// latencies are the additional times, by sender, that its messages are in
	// flight. arrivals are the times at which such messages are due.
	latencies    map[string]time.Duration
	arrivals     map[*messenger.ReplicaMessage]time.Time
	admitAnyDisk bool

	// committed maps each index to the value that a replica has applied there.
	committed map[uint64]string
	// leaders maps each term to its leader.
	leaders map[uint64]string
	// divergence describes an index where two replicas applied different
	// entries. It is empty if there is none.
	divergence string
	reads      map[uint64]uint64
}

// testReplica is one replica with its disk.
type testReplica struct {
	name      string
	disk      string
	diskCount int
	durable   DurableState
	up        bool
	frozen    bool
	// full reports whether the disk refuses writes. writes counts the writes,
	// and failAt is the number of the write from which on they fail, or zero.
	full    bool
	writes  int
	failAt  int
	state   []string
	applied uint64
	*Replicator
}

// newCluster returns a cluster whose log was bootstrapped with all replicas as
// members.
func newCluster(t testing.TB, seed uint64, size int, admitAnyDisk bool) *cluster {
	c := newBlankCluster(t, seed, size, admitAnyDisk)
	c.bootstrap("a", c.names...)
	c.waitForAllMembers()
	return c
}

// newBlankCluster returns a cluster whose log has not been bootstrapped.
func newBlankCluster(t testing.TB, seed uint64, size int, admitAnyDisk bool) *cluster {
	c := &cluster{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, seed)),
		now:          time.Unix(1, 0),
		replicas:     map[string]*testReplica{},
		blockedLinks: map[[2]string]bool{},
		delayRates:   map[string]float64{},
		latencies:    map[string]time.Duration{},
		arrivals:     map[*messenger.ReplicaMessage]time.Time{},
		admitAnyDisk: admitAnyDisk,
		committed:    map[uint64]string{},
		leaders:      map[uint64]string{},
		reads:        map[uint64]uint64{},
	}
	for i := range size {
		c.names = append(c.names, string(rune('a'+i)))
	}
	for _, name := range c.names {
		m := &testReplica{name: name}
		c.replicas[name] = m
		c.newDisk(m)
		c.start(m)
	}
	return c
}

// bootstrap starts the log at a replica with the given initial members.
func (c *cluster) bootstrap(name string, members ...string) {
	c.t.Helper()
	c.bootstrapWithSize(name, 0, members...)
}

// bootstrapWithSize starts the log at a replica with the given size and initial
// members.
func (c *cluster) bootstrapWithSize(name string, size int, members ...string) {
	c.t.Helper()
	var initial []*messenger.Member
	for _, member := range members {
		initial = append(initial, &messenger.Member{
			Name: member,
			Disk: c.replicas[member].disk,
		})
	}
	replica := c.replicas[name]
	effects, err := replica.Bootstrap(initial, size, c.now)
	if err != nil {
		c.t.Fatal(err)
	}
	c.handle(replica, effects)
}

func (c *cluster) waitForAllMembers() {
	c.t.Helper()
	c.waitUntil("all replicas to be members", func() bool {
		leader := c.leader()
		return leader != nil && len(leader.members()) == len(c.names) && leader.commit == leader.lastIndex()
	})
}

func (c *cluster) newDisk(m *testReplica) {
	m.diskCount++
	m.disk = fmt.Sprintf("%s%d", m.name, m.diskCount)
	m.durable = DurableState{}
}

func (c *cluster) start(m *testReplica) {
	m.up = true
	m.state = nil
	m.applied = 0
	durable := m.durable
	durable.Entries = slices.Clone(durable.Entries)
	if durable.Snapshot != nil {
		m.restore(durable.Snapshot)
	}
	m.Replicator = New(Config{
		Name:               m.name,
		Disk:               m.disk,
		Peers:              c.names,
		Heartbeat:          testHeartbeat,
		MinElectionTimeout: testElection,
		AdmitAnyDisk:       c.admitAnyDisk,
	}, durable, rand.New(rand.NewPCG(c.random.Uint64(), 1)), c.now)
}

func (m *testReplica) restore(s *messenger.Snapshot) {
	m.applied = s.GetIndex()
	m.state = []string{string(s.GetState())}
}

func (c *cluster) kill(m *testReplica) {
	m.up = false
	m.frozen = false
}

// handle carries out effects. A simulated crash comes only after the save. If the
// disk refuses the save, the replica is suspended and nothing else is done.
func (c *cluster) handle(m *testReplica, effects Effects) {
	if effects.Save != nil {
		m.writes++
		m.full = m.full || m.writes == m.failAt
		if m.full {
			durable := m.durable
			durable.Entries = slices.Clone(durable.Entries)
			m.Suspend(durable, m.applied)
			return
		}
		m.save(*effects.Save)
	}
	for _, message := range effects.Messages {
		message = proto.CloneOf(message)
		c.network = append(c.network, message)
		if latency := c.latencies[m.name]; latency > 0 {
			c.arrivals[message] = c.now.Add(latency)
		}
	}
	if effects.Restore != nil {
		m.restore(effects.Restore)
	}
	for _, e := range effects.Committed {
		c.apply(m, e)
	}
	for _, r := range effects.Reads {
		c.reads[r.Token] = r.Index
	}
	if m.role == Leader {
		if other, ok := c.leaders[m.durableTerm()]; ok && other != m.name+m.disk {
			c.t.Fatalf("term %d has two leaders, %s and %s", m.durableTerm(), other, m.name+m.disk)
		}
		c.leaders[m.durableTerm()] = m.name + m.disk
	}
}

func (m *testReplica) durableTerm() uint64 {
	return m.Replicator.durable.Term
}

// save updates the simulated disk as package persister updates its file.
func (m *testReplica) save(save Save) {
	d := &m.durable
	d.Term = save.Term
	d.Vote = save.Vote
	if save.Snapshot != nil {
		keep := d.Entries[:0:0]
		for _, e := range d.Entries {
			if !save.Reset && e.GetIndex() > save.Snapshot.GetIndex() {
				keep = append(keep, e)
			}
		}
		d.Entries = keep
		d.Snapshot = save.Snapshot
	}
	if save.From > 0 {
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e *messenger.Entry) bool {
			return e.GetIndex() >= save.From
		})
		d.Entries = append(d.Entries, save.Entries...)
	}
	next := d.Snapshot.GetIndex() + 1
	for _, e := range d.Entries {
		if e.GetIndex() != next {
			panic(fmt.Sprintf("%s: disk holds entry %d where %d is expected", m.name, e.GetIndex(), next))
		}
		next++
	}
}

func (c *cluster) apply(m *testReplica, e *messenger.Entry) {
	if e.GetIndex() != m.applied+1 {
		c.t.Fatalf("%s applied entry %d after %d", m.name, e.GetIndex(), m.applied)
	}
	m.applied = e.GetIndex()
	value := fmt.Sprintf("%d/%s", e.GetKind(), e.GetData())
	if first, ok := c.committed[e.GetIndex()]; ok && first != value {
		c.divergence = fmt.Sprintf("index %d diverged: %q and %q", e.GetIndex(), first, value)
	}
	c.committed[e.GetIndex()] = value
	m.state = append(m.state, string(e.GetData()))
}

func (c *cluster) leader() *testReplica {
	for _, name := range c.names {
		m := c.replicas[name]
		if m.up && !m.frozen && m.role == Leader && m.hasQuorumContact(c.now) {
			return m
		}
	}
	return nil
}

// step advances time by one step and delivers the messages in flight in random
// order.
func (c *cluster) step() {
	c.now = c.now.Add(testStep)
	messages := c.network
	c.network = nil
	c.random.Shuffle(len(messages), func(i, j int) {
		messages[i], messages[j] = messages[j], messages[i]
	})
	for _, m := range messages {
		c.deliver(m)
	}
	for _, name := range c.names {
		if m := c.replicas[name]; m.up && !m.frozen {
			c.handle(m, m.Tick(c.now))
		}
	}
}

func (c *cluster) deliver(m *messenger.ReplicaMessage) {
	to := c.replicas[m.GetTo()]
	switch {
	case c.blockedLinks[[2]string{m.GetFrom(), m.GetTo()}], c.random.Float64() < c.lossRate:
		return
	case c.lossRate > 0 && c.random.Float64() < c.lossRate:
		c.network = append(c.network, m)
	case c.now.Before(c.arrivals[m]):
		c.network = append(c.network, m)
		return
	case to.frozen, c.random.Float64() < c.delayRates[m.GetFrom()]:
		c.network = append(c.network, m)
		return
	}
	delete(c.arrivals, m)
	if to.up {
		c.handle(to, to.Step(proto.CloneOf(m), c.now))
	}
}

func (c *cluster) waitUntil(what string, condition func() bool) {
	c.t.Helper()
	for range 4000 {
		if condition() {
			return
		}
		c.step()
	}
	c.t.Fatalf("timed out waiting for %s", what)
}

func (c *cluster) run(steps int) {
	for range steps {
		c.step()
	}
}

// propose proposes a value to a leader, which may still lose it. It reports
// whether a leader accepted the proposal.
func (c *cluster) propose(value string) bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	effects, err := leader.Propose([]byte(value), c.now)
	c.handle(leader, effects)
	return err == nil
}

// commit proposes a value until it is committed.
func (c *cluster) commit(value string) {
	c.t.Helper()
	for range 40 {
		c.waitUntil("a leader", func() bool { return c.propose(value) })
		for range 100 {
			c.step()
			if c.isCommitted(value) {
				return
			}
		}
	}
	c.t.Fatalf("timed out waiting for the commit of %s", value)
}

func (c *cluster) isCommitted(value string) bool {
	for _, v := range c.committed {
		if v == fmt.Sprintf("%d/%s", messenger.EntryKind_ENTRY_CHANGE, value) {
			return true
		}
	}
	return false
}

// heal ends all faults.
func (c *cluster) heal() {
	c.blockedLinks = map[[2]string]bool{}
	c.lossRate = 0
	c.delayRates = map[string]float64{}
	c.latencies = map[string]time.Duration{}
	for _, name := range c.names {
		m := c.replicas[name]
		m.frozen = false
		c.freeDisk(m)
		if !m.up {
			c.start(m)
		}
	}
}

// freeDisk lets a replica's disk take writes again.
func (c *cluster) freeDisk(m *testReplica) {
	m.full = false
	if m.up && m.Suspended() {
		m.Resume(c.now)
	}
}

// isolate blocks all messages to a replica and, if bothWays, all messages from
// it.
func (c *cluster) isolate(name string, bothWays bool) {
	for _, other := range c.names {
		c.blockedLinks[[2]string{other, name}] = true
		if bothWays {
			c.blockedLinks[[2]string{name, other}] = true
		}
	}
}

// checkConvergence checks that no two replicas applied different entries, and
// waits until every replica has applied every committed entry.
func (c *cluster) checkConvergence() {
	c.t.Helper()
	if c.divergence != "" {
		c.t.Fatal(c.divergence)
	}
	last := uint64(0)
	for index := range c.committed {
		last = max(last, index)
	}
	c.waitUntil("all replicas to apply every committed entry", func() bool {
		for _, m := range c.replicas {
			if m.applied < last {
				return false
			}
		}
		return c.leader() != nil
	})
}
