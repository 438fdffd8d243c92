package rationer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	fleet = 76
	// hot is how far a hot tenant exceeds its usual load.
	hot = 7.5
)

// between returns high from one time to another, and 1 otherwise.
func between(at, from, to time.Duration, high float64) float64 {
	if at >= from && at < to {
		return high
	}
	return 1
}

// TestBound has tenants of several sizes exceed their limits while processes and links
// fail. In no window may more calls run than the bound allows.
func TestBound(t *testing.T) {
	const jump, end = 10 * time.Second, 25 * time.Second
	everywhere := func(at time.Duration, _ string) float64 { return between(at, jump, end, hot) }
	for _, c := range []struct {
		name string
		load func(at time.Duration, zone string) float64
		// at holds what happens when.
		at map[time.Duration]func(m *model)
	}{
		{
			name: "all zones",
			load: everywhere,
		},
		{
			name: "one zone",
			load: func(at time.Duration, zone string) float64 {
				if zone != "zone-1" {
					return 1
				}
				return between(at, jump, end, 4*hot-3)
			},
		},
		{
			name: "above the limit before the jump",
			load: func(at time.Duration, _ string) float64 {
				return max(between(at, 5*time.Second, jump, 1.92), between(at, jump, end, hot))
			},
		},
		{
			name: "moving callers of a hot tenant",
			load: func(at time.Duration, zone string) float64 {
				if (zone == "zone-0" || zone == "zone-1") == (at/(3*time.Second)%2 == 0) {
					return 2 * hot
				}
				return 0
			},
		},
		{
			name: "aggregators killed at the jump and later",
			load: everywhere,
			at: map[time.Duration]func(m *model){
				jump:                         func(m *model) { m.killAggregator("zone-0") },
				jump + 5*time.Second:         func(m *model) { m.killAggregator("zone-1") },
				jump + 7500*time.Millisecond: func(m *model) { m.killAggregator("zone-0") },
			},
		},
		{
			name: "zone cut while the tenant is hot",
			load: everywhere,
			at: map[time.Duration]func(m *model){
				jump + 3*time.Second:  func(m *model) { m.cut = "zone-2" },
				jump + 13*time.Second: func(m *model) { m.cut = "" },
			},
		},
		{
			name: "jump while a zone is cut",
			load: everywhere,
			at: map[time.Duration]func(m *model){
				jump - 3*time.Second: func(m *model) { m.cut = "zone-2" },
				jump + 7*time.Second: func(m *model) { m.cut = "" },
			},
		},
		{
			name: "nodes and an aggregator suspended",
			load: everywhere,
			at: map[time.Duration]func(m *model){
				jump + 2*time.Second: func(m *model) { m.suspend(3 * time.Second) },
			},
		},
		{
			name: "all nodes restarted",
			load: everywhere,
			at: map[time.Duration]func(m *model){
				jump + 4*time.Second: func(m *model) { m.restart() },
			},
		},
		{
			name: "a tenth of the messages lost",
			load: everywhere,
			at: map[time.Duration]func(m *model){
				0: func(m *model) { m.loss = 0.1 },
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, rate := range []float64{2, 8, 30, 100, 400, 1500} {
				is := is.NewRelaxed(t)
				m := newModel(fleet, rate, 1)
				for at, run := range c.at {
					m.after(at, func() { run(m) })
				}
				m.run(end+5*time.Second, c.load)
				worst := m.worst(rate, 0)
				t.Logf("rate %.0f: %d calls ran, worst window %.2f of the bound", rate, len(m.ran), worst)
				is.True(worst <= 1)
				is.True(float64(len(m.ran)) > 0.6*rate*30) // the limit is used
			}
		})
	}
}

// killAggregator kills the process that aggregates a zone. It starts again after 4 s.
func (m *model) killAggregator(zone string) {
	for _, n := range m.nodes {
		if n.member.Zone != zone || n.down || !n.aggregator.members.isFirst(0) {
			continue
		}
		n.down = true
		m.after(2*time.Second, func() { m.suspect(n, false) })
		m.after(4*time.Second, func() {
			m.start(n)
			m.suspect(n, true)
		})
		return
	}
}

// suspend suspends the nodes of a zone for a time, in which nobody suspects them.
func (m *model) suspend(d time.Duration) {
	for i, n := range m.nodes {
		if i%8 != 0 {
			continue
		}
		n.suspended = true
		m.after(d, func() { n.suspended = false })
	}
}

// restart restarts all nodes. They get calls again a second later.
func (m *model) restart() {
	for _, n := range m.nodes {
		n.down = true
		m.after(time.Second, func() { m.start(n) })
	}
}

// TestLittleIsRefusedBelowTheLimit has tenants stay below their limits. Each refusal is
// a call lost for nothing; a small share of chance is allowed.
func TestLittleIsRefusedBelowTheLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		load func(at time.Duration, zone string) float64
		at   map[time.Duration]func(m *model)
		// from is when counting begins, and allowed the share that may be refused.
		from    time.Duration
		allowed float64
	}{
		{
			name:    "usual load",
			load:    func(time.Duration, string) float64 { return 1 },
			from:    2 * time.Second,
			allowed: 0.005,
		},
		{
			name:    "exactly the limit",
			load:    func(time.Duration, string) float64 { return 1.6 },
			from:    2 * time.Second,
			allowed: 0.03,
		},
		{
			name: "moving callers",
			load: func(at time.Duration, zone string) float64 {
				if (zone == "zone-0" || zone == "zone-1") == (at/(8*time.Second)%2 == 0) {
					return 2
				}
				return 0
			},
			from:    2 * time.Second,
			allowed: 0.01,
		},
		{
			name:    "after a hot phase",
			load:    func(at time.Duration, _ string) float64 { return between(at, 5*time.Second, 15*time.Second, hot) },
			from:    16 * time.Second,
			allowed: 0.005,
		},
		{
			name: "aggregators killed",
			load: func(time.Duration, string) float64 { return 1 },
			at: map[time.Duration]func(m *model){
				5 * time.Second:  func(m *model) { m.killAggregator("zone-0") },
				11 * time.Second: func(m *model) { m.killAggregator("zone-1") },
			},
			from:    2 * time.Second,
			allowed: 0.005,
		},
		{
			name: "zone cut",
			load: func(time.Duration, string) float64 { return 1 },
			at: map[time.Duration]func(m *model){
				5 * time.Second:  func(m *model) { m.cut = "zone-2" },
				15 * time.Second: func(m *model) { m.cut = "" },
			},
			from:    2 * time.Second,
			allowed: 0.02,
		},
		{
			name: "after a restart of all nodes",
			load: func(time.Duration, string) float64 { return 1 },
			at: map[time.Duration]func(m *model){
				5 * time.Second: func(m *model) { m.restart() },
			},
			from:    7 * time.Second,
			allowed: 0.005,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, rate := range []float64{2, 8, 30, 100, 400, 1500} {
				is := is.NewRelaxed(t)
				m := newModel(fleet, rate, 1)
				m.countFrom = c.from
				for at, run := range c.at {
					m.after(at, func() { run(m) })
				}
				m.run(25*time.Second, c.load)
				t.Logf("rate %.0f: %d of %d calls refused, %d by one bucket", rate, m.refused, m.offered, m.idealRefused)
				is.True(float64(m.refused) <= float64(m.idealRefused)+c.allowed*float64(m.offered)+2)
				is.True(m.worst(rate, 0) <= 1)
			}
		})
	}
}

// TestLoweredLimit lowers the limit of a tenant far below its load. The new limit must
// hold for all windows that begin 2 s later.
func TestLoweredLimit(t *testing.T) {
	const lowered = 10 * time.Second
	for _, rate := range []float64{30, 400, 1500} {
		is := is.NewRelaxed(t)
		m := newModel(fleet, rate, 1)
		m.after(lowered, func() { m.configure(rate / 5) })
		m.run(30*time.Second, func(time.Duration, string) float64 { return 1 })
		worst := m.worst(rate/5, lowered+2*time.Second)
		t.Logf("rate %.0f: worst window %.2f of the bound", rate, worst)
		is.True(worst <= 1)
	}
}

// TestSuspendedNode suspends a node that holds a grant of all calls. The grant may be
// wrong by now, so that the node must use its even share until a report is answered, and
// must not block for longer.
func TestSuspendedNode(t *testing.T) {
	is := is.New(t)
	m := newModel(fleet, fleet*10, 1)
	n := m.nodes[0].node
	now := m.now
	n.Tick(now)
	n.Tick(now.Add(500 * time.Millisecond))
	n.Tick(now.Add(youngAge))
	admit := func(at time.Time) int {
		admitted := 0
		for range 100 {
			if ok, _ := n.Admit(tenant, at); ok {
				admitted++
			}
		}
		return admitted
	}
	now = now.Add(youngAge)
	is.Equal(admit(now), 5) // half a second of the even share
	now = now.Add(3 * time.Second)
	is.Equal(admit(now), 5) // before the tick that follows the suspension
	reports := n.Tick(now)
	is.Equal(admit(now.Add(100*time.Millisecond)), 1)
	grants := m.nodes[1].aggregator.Receive(reports[0].Content, now)
	n.Acknowledge(reports[0].Content, grants, now.Add(100*time.Millisecond))
	is.Equal(admit(now.Add(100*time.Millisecond)), 5)
	admitted, retryAfter := n.Admit(tenant, now.Add(100*time.Millisecond))
	is.True(!admitted)
	is.Equal(retryAfter, 50*time.Millisecond) // twice the even share of 10 a second
	n.Return(tenant)
	admitted, _ = n.Admit(tenant, now.Add(100*time.Millisecond))
	is.True(admitted) // the returned call's place
}

// TestLargeZones limits a tenant in zones of 300 nodes, where tenants have aggregators
// of their own and calls are reported in steps.
func TestLargeZones(t *testing.T) {
	for _, rate := range []float64{60, 1500} {
		is := is.NewRelaxed(t)
		m := newModel(1200, rate, 1)
		m.countFrom, m.countTo = 2*time.Second, 10*time.Second
		m.run(20*time.Second, func(at time.Duration, _ string) float64 { return between(at, 10*time.Second, 20*time.Second, hot) })
		worst := m.worst(rate, 0)
		t.Logf("rate %.0f: worst window %.2f of the bound, %d of %d usual calls refused", rate, worst, m.refused, m.offered)
		is.True(worst <= 1)
		is.True(m.refused <= m.offered/100)
	}
}
