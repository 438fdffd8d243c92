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

// cluster drives replicas without sockets or disks, in steps of time.
type cluster struct {
	t        testing.TB
	random   *rand.Rand
	now      time.Time
	names    []string
	replicas map[string]*machine
	network  []*messenger.ReplicaMessage
	cut      map[[2]string]bool
	loss     float64
	anyDisk  bool

	// committed is what any replica has ever applied, by index.
	committed map[uint64]string
	// leaders is the leader of each term.
	leaders map[uint64]string
	// fork says where two replicas applied different entries, or nothing.
	fork  string
	reads map[uint64]uint64
}

// machine is one replica with its disk.
type machine struct {
	name    string
	disk    string
	disks   int
	durable Durable
	up      bool
	frozen  bool
	state   []string
	applied uint64
	*Replicator
}

// newCluster returns a cluster whose log was started with all replicas.
func newCluster(t testing.TB, seed uint64, size int, anyDisk bool) *cluster {
	c := newBlankCluster(t, seed, size, anyDisk)
	c.bootstrap("a", c.names...)
	c.untilAllMembers()
	return c
}

// newBlankCluster returns a cluster whose log has not been started.
func newBlankCluster(t testing.TB, seed uint64, size int, anyDisk bool) *cluster {
	c := &cluster{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, seed)),
		now:       time.Unix(1, 0),
		replicas:  map[string]*machine{},
		cut:       map[[2]string]bool{},
		anyDisk:   anyDisk,
		committed: map[uint64]string{},
		leaders:   map[uint64]string{},
		reads:     map[uint64]uint64{},
	}
	for i := range size {
		c.names = append(c.names, string(rune('a'+i)))
	}
	for _, name := range c.names {
		m := &machine{name: name}
		c.replicas[name] = m
		c.newDisk(m)
		c.start(m)
	}
	return c
}

// bootstrap has a replica start the log with the members named.
func (c *cluster) bootstrap(name string, members ...string) {
	c.t.Helper()
	c.bootstrapSized(name, 0, members...)
}

// bootstrapSized has a replica start the log with the members named and a size.
func (c *cluster) bootstrapSized(name string, size int, members ...string) {
	c.t.Helper()
	var all []*messenger.Member
	for _, member := range members {
		all = append(all, &messenger.Member{
			Name: member,
			Disk: c.replicas[member].disk,
		})
	}
	first := c.replicas[name]
	effects, err := first.Bootstrap(all, size, c.now)
	if err != nil {
		c.t.Fatal(err)
	}
	c.handle(first, effects)
}

func (c *cluster) untilAllMembers() {
	c.t.Helper()
	c.until("all are members", func() bool {
		leader := c.leader()
		return leader != nil && len(leader.members()) == len(c.names) && leader.commit == leader.lastIndex()
	})
}

func (c *cluster) newDisk(m *machine) {
	m.disks++
	m.disk = fmt.Sprintf("%s%d", m.name, m.disks)
	m.durable = Durable{}
}

func (c *cluster) start(m *machine) {
	m.up = true
	m.state = nil
	m.applied = 0
	durable := m.durable
	durable.Entries = slices.Clone(durable.Entries)
	if durable.Snapshot != nil {
		m.restore(durable.Snapshot)
	}
	m.Replicator = New(Config{
		Name:         m.name,
		Disk:         m.disk,
		Peers:        c.names,
		Heartbeat:    testHeartbeat,
		Election:     testElection,
		AdmitAnyDisk: c.anyDisk,
	}, durable, rand.New(rand.NewPCG(c.random.Uint64(), 1)), c.now)
}

func (m *machine) restore(s *messenger.Snapshot) {
	m.applied = s.GetIndex()
	m.state = []string{string(s.GetState())}
}

func (c *cluster) kill(m *machine) {
	m.up = false
	m.frozen = false
}

// handle carries out effects. A crash may come after the save.
func (c *cluster) handle(m *machine, effects Effects) {
	if effects.Save != nil {
		m.save(*effects.Save)
	}
	for _, message := range effects.Messages {
		c.network = append(c.network, proto.CloneOf(message))
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

func (m *machine) durableTerm() uint64 {
	return m.Replicator.durable.Term
}

// save does what the keeper does.
func (m *machine) save(save Save) {
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
			panic(fmt.Sprintf("%s: disk holds %d where %d belongs", m.name, e.GetIndex(), next))
		}
		next++
	}
}

func (c *cluster) apply(m *machine, e *messenger.Entry) {
	if e.GetIndex() != m.applied+1 {
		c.t.Fatalf("%s applies %d after %d", m.name, e.GetIndex(), m.applied)
	}
	m.applied = e.GetIndex()
	value := fmt.Sprintf("%d/%s", e.GetKind(), e.GetData())
	if first, ok := c.committed[e.GetIndex()]; ok && first != value {
		c.fork = fmt.Sprintf("index %d forked: %q and %q", e.GetIndex(), first, value)
	}
	c.committed[e.GetIndex()] = value
	m.state = append(m.state, string(e.GetData()))
}

func (c *cluster) leader() *machine {
	for _, name := range c.names {
		m := c.replicas[name]
		if m.up && !m.frozen && m.role == Leader && m.heardByQuorum(c.now) {
			return m
		}
	}
	return nil
}

// step lets time pass and delivers what is on the network, in random order.
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
	case c.cut[[2]string{m.GetFrom(), m.GetTo()}], c.random.Float64() < c.loss:
		return
	case c.loss > 0 && c.random.Float64() < c.loss:
		c.network = append(c.network, m)
	case to.frozen:
		c.network = append(c.network, m)
		return
	}
	if to.up {
		c.handle(to, to.Step(proto.CloneOf(m), c.now))
	}
}

func (c *cluster) until(what string, ask func() bool) {
	c.t.Helper()
	for range 4000 {
		if ask() {
			return
		}
		c.step()
	}
	c.t.Fatalf("gave up waiting: %s", what)
}

func (c *cluster) run(steps int) {
	for range steps {
		c.step()
	}
}

// propose has a value taken by a leader, which may still lose it.
func (c *cluster) propose(value string) bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	effects, err := leader.Propose([]byte(value), c.now)
	c.handle(leader, effects)
	return err == nil
}

// commit has a value committed, proposing it again when it got lost.
func (c *cluster) commit(value string) {
	c.t.Helper()
	for range 40 {
		c.until("a leader", func() bool { return c.propose(value) })
		for range 100 {
			c.step()
			if c.isCommitted(value) {
				return
			}
		}
	}
	c.t.Fatalf("gave up waiting: commitment of %s", value)
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
	c.cut = map[[2]string]bool{}
	c.loss = 0
	for _, name := range c.names {
		m := c.replicas[name]
		m.frozen = false
		if !m.up {
			c.start(m)
		}
	}
}

// isolate cuts a replica from all others, in both directions or only in one.
func (c *cluster) isolate(name string, out bool) {
	for _, other := range c.names {
		c.cut[[2]string{other, name}] = true
		if out {
			c.cut[[2]string{name, other}] = true
		}
	}
}

// checkAll makes sure that every replica comes to hold all that was ever
// committed.
func (c *cluster) checkAll() {
	c.t.Helper()
	if c.fork != "" {
		c.t.Fatal(c.fork)
	}
	last := uint64(0)
	for index := range c.committed {
		last = max(last, index)
	}
	c.until("all hold everything", func() bool {
		for _, m := range c.replicas {
			if m.applied < last {
				return false
			}
		}
		return c.leader() != nil
	})
}
