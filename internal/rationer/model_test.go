package rationer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fireflymoor/fireflymoor"
)

const (
	modelStep = 10 * time.Millisecond
	// calls may run in any window at most (rate x window + burst) x 1.1 + 20 times.
	window = 5 * time.Second
	tenant = "t"
)

// model is a fleet whose nodes run the package's code over simulated links, with
// random arrivals. Messages are delayed, lost and duplicated.
type model struct {
	random  *rand.Rand
	began   time.Time
	now     time.Time
	queue   queue
	nodes   []*modelNode
	weights []float64
	rate    float64
	usual   float64
	cut     string
	// loss is the share of lost messages, and of doubled ones.
	loss float64
	// ran holds the times of admitted calls. offered and refused are counted between
	// countFrom and countTo.
	ran                []time.Duration
	countFrom, countTo time.Duration
	offered, refused   int
	// ideal is the level of a bucket with the tenant's rate and burst that all calls
	// pass, and idealRefused the calls that it refuses.
	ideal        float64
	idealRefused int
	exchanges    int
}

type modelNode struct {
	member     Member
	node       *Node
	aggregator *Aggregator
	boot       uint64
	down       bool
	suspended  bool
}

type event struct {
	at  time.Time
	run func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newModel returns a model of nodes in four zones. The tenant's callers are spread
// unevenly over the nodes, and its usual load is rate/1.6.
func newModel(nodes int, rate float64, seed uint64) *model {
	began := time.Unix(1000, 0)
	m := &model{
		random:  rand.New(rand.NewPCG(seed, 1)),
		began:   began,
		now:     began,
		rate:    rate,
		usual:   rate / 1.6,
		loss:    0.02,
		countTo: time.Hour,
	}
	total := 0.0
	for i := range nodes {
		m.nodes = append(m.nodes, &modelNode{
			member: Member{
				Name:    fmt.Sprintf("node-%d", i),
				Zone:    fmt.Sprintf("zone-%d", i%4),
				Address: fmt.Sprintf("node-%d", i),
				Alive:   true,
			},
		})
		m.weights = append(m.weights, math.Exp(0.6*m.random.NormFloat64()))
		total += m.weights[i]
	}
	for i, n := range m.nodes {
		m.weights[i] /= total
		m.start(n)
	}
	return m
}

func (m *model) members() []Member {
	var members []Member
	for _, n := range m.nodes {
		members = append(members, n.member)
	}
	return members
}

// start starts a node's process.
func (m *model) start(n *modelNode) {
	n.boot = uint64(m.now.UnixNano()) + m.random.Uint64N(1000)
	n.down = false
	view := NewMembers(n.member, m.members())
	n.node = NewNode(view, n.boot, rand.New(rand.NewPCG(m.random.Uint64(), 1)))
	n.aggregator = NewAggregator(view, n.boot)
	n.node.Configure(m.tenants(), m.now)
	n.aggregator.Configure(m.tenants())
}

func (m *model) tenants() []fireflymoor.Tenant {
	return []fireflymoor.Tenant{{
		Name:  tenant,
		Rate:  m.rate,
		Burst: m.rate,
	}}
}

func (m *model) configure(rate float64) {
	m.rate = rate
	for _, n := range m.nodes {
		n.node.Configure(m.tenants(), m.now)
		n.aggregator.Configure(m.tenants())
	}
}

// suspect marks a node as suspected, or alive, at all nodes.
func (m *model) suspect(n *modelNode, alive bool) {
	n.member.Alive = alive
	for _, other := range m.nodes {
		view := NewMembers(other.member, m.members())
		other.node.SetMembers(view, m.now)
		other.aggregator.SetMembers(view)
	}
}

func (m *model) after(d time.Duration, run func()) {
	heap.Push(&m.queue, event{
		at:  m.now.Add(d),
		run: run,
	})
}

// send delivers a message between two nodes.
func (m *model) send(from, to *modelNode, deliver func()) {
	separate := from.member.Zone != to.member.Zone
	if m.random.Float64() < m.loss {
		return
	}
	latency := 10 * time.Millisecond
	if separate {
		latency = 30 * time.Millisecond
	}
	copies := 1
	if m.random.Float64() < m.loss {
		copies = 2
	}
	boot := to.boot
	for range copies {
		var arrive func()
		arrive = func() {
			held := separate && (from.member.Zone == m.cut || to.member.Zone == m.cut)
			if to.suspended || held {
				m.after(10*modelStep, arrive) // as TCP does
			} else if !to.down && to.boot == boot {
				deliver()
			}
		}
		m.after(latency/2+time.Duration(m.random.Int64N(int64(latency))), arrive)
	}
}

// request sends a request and its reply. reply is called in the receiver, and returns
// what is called in the sender, once; failed is called if nothing comes back.
func (m *model) request(from *modelNode, address string, reply func(to *modelNode) func(), failed func()) {
	var to *modelNode
	for _, n := range m.nodes {
		if n.member.Address == address {
			to = n
		}
	}
	ended := false
	boot := from.boot
	end := func(f func()) {
		if !ended && from.boot == boot {
			ended = true
			f()
		}
	}
	if to.down {
		m.after(modelStep, func() { end(failed) })
		return
	}
	m.after(RequestTimeout, func() { end(failed) })
	m.send(from, to, func() {
		done := reply(to)
		m.send(to, from, func() { end(done) })
	})
}

// tick runs the periodic work of a node.
func (m *model) tick(n *modelNode) {
	for _, r := range n.node.Tick(m.now) {
		m.request(n, r.To.Address, func(to *modelNode) func() {
			grants := to.aggregator.Receive(r.Content, m.now)
			return func() { n.node.Acknowledge(r.Content, grants, m.now) }
		}, func() { n.node.Fail(r, m.now) })
	}
	work := n.aggregator.Tick(m.now)
	for _, f := range work.Forwards {
		m.request(n, f.To.Address, func(to *modelNode) func() {
			to.aggregator.Receive(f.Content, m.now)
			return func() { n.aggregator.Forwarded(f, true, m.now) }
		}, func() { n.aggregator.Forwarded(f, false, m.now) })
	}
	for _, p := range work.Pushes {
		m.request(n, p.To.Address, func(to *modelNode) func() {
			to.node.Receive(p.Content, m.now)
			return func() {}
		}, func() {})
	}
	for _, e := range work.Exchanges {
		m.exchanges++
		m.request(n, e.To.Address, func(to *modelNode) func() {
			sums := to.aggregator.Exchange(e.Content, m.now)
			return func() { n.aggregator.Exchanged(e, sums, m.now) }
		}, func() { n.aggregator.Unanswered(e, m.now) })
	}
}

// run runs the model. load returns the tenant's load in a zone relative to the usual one.
func (m *model) run(until time.Duration, load func(at time.Duration, zone string) float64) {
	for step := 0; m.now.Sub(m.began) < until; step++ {
		for len(m.queue) > 0 && !m.queue[0].at.After(m.now) {
			heap.Pop(&m.queue).(event).run()
		}
		at := m.now.Sub(m.began)
		for i, n := range m.nodes {
			if n.down || n.suspended {
				continue
			}
			if (step+i)%int(TickInterval/modelStep) == 0 {
				m.tick(n)
			}
			for range m.poisson(m.usual * m.weights[i] * load(at, n.member.Zone) * modelStep.Seconds()) {
				m.arrive(n, at)
			}
		}
		m.ideal = min(m.rate, m.ideal+m.rate*modelStep.Seconds())
		m.now = m.now.Add(modelStep)
	}
}

func (m *model) arrive(n *modelNode, at time.Duration) {
	admitted, _ := n.node.Admit(tenant, m.now)
	if admitted {
		m.ran = append(m.ran, at)
	}
	if at < m.countFrom || at >= m.countTo {
		return
	}
	m.offered++
	if !admitted {
		m.refused++
	}
	if m.ideal >= 1 {
		m.ideal--
	} else {
		m.idealRefused++
	}
}

// poisson returns a random number with a Poisson distribution.
func (m *model) poisson(mean float64) int {
	count := 0
	product := m.random.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= m.random.Float64()
	}
	return count
}

// worst returns the largest number of calls in a window relative to the bound for a
// rate, of windows that begin from a time on.
func (m *model) worst(rate float64, from time.Duration) float64 {
	worst := 0
	first := 0
	for i, at := range m.ran {
		for at-m.ran[first] > window || m.ran[first] < from && first < i {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return float64(worst) / ((rate*window.Seconds()+rate)*1.1 + 20)
}
