package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// load is callers at work: each call has a name of its own, so that the
// targets' notes tell how often it ran.
type load struct {
	m       *mesh
	id      string
	stop    atomic.Bool
	group   sync.WaitGroup
	lock    sync.Mutex
	answers map[string]answer
	slowest time.Duration
	began   time.Time
	late    map[string]time.Duration
}

// startLoad starts callers that call through random nodes among those given.
func (m *mesh) startLoad(callers int, method string, nodes func() []*launcher.Process) *load {
	l := &load{
		m:       m,
		id:      uuid.NewString()[:8],
		answers: map[string]answer{},
		began:   time.Now(),
		late:    map[string]time.Duration{},
	}
	for i := range callers {
		l.group.Go(func() {
			for n := 0; !l.stop.Load(); n++ {
				l.one(fmt.Sprintf("%s-%s-%d-%d", method, l.id, i, n), method, nodes())
			}
		})
	}
	return l
}

func (l *load) one(name, method string, nodes []*launcher.Process) {
	began := time.Now()
	node := nodes[rand.IntN(len(nodes))]
	a := call(node, method, "/reservas/"+name, name, "body of "+name)
	took := time.Since(began)
	defer time.Sleep(time.Millisecond)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.answers[name] = a
	l.slowest = max(l.slowest, took)
	if took > time.Second {
		l.late[name] = took
	}
}

// verdict is what the callers and the targets counted.
type verdict struct {
	answered, notRun, unknown, broken int
}

// end stops the callers and checks what must always hold: no call ran twice,
// none that was not run ran, and each answer is whole and the caller's own.
func (l *load) end() verdict {
	l.m.t.Helper()
	l.stop.Store(true)
	l.group.Wait()
	runs := l.m.runs()
	v := verdict{}
	for name, a := range l.answers {
		if strings.HasPrefix(name, http.MethodPost) && runs[name] > 1 {
			l.m.t.Errorf("%s ran %d times", name, runs[name])
		}
		switch {
		case a.err != nil:
			v.broken++
		case a.outcome == "answered" && a.status == http.StatusOK:
			v.answered++
			if a.call != name || a.body != name+" /reservas/"+name+"\nbody of "+name {
				l.m.t.Errorf("%s got another's answer or a part: %+v", name, a)
			}
			if runs[name] == 0 {
				l.m.t.Errorf("%s was answered and never ran", name)
			}
		case a.outcome == "not-run":
			v.notRun++
			l.m.t.Logf("%s was not run: %s", name, strings.TrimSpace(a.body))
			if runs[name] > 0 {
				l.m.t.Errorf("%s was said not to have run, and ran: %+v", name, a)
			}
		case a.outcome == "unknown":
			v.unknown++
			l.m.t.Logf("%s is unknown: %s", name, strings.TrimSpace(a.body))
		default:
			l.m.t.Errorf("%s has no outcome: %+v", name, a)
		}
	}
	l.m.t.Logf("%d calls: %+v, slowest %s", len(l.answers), v, l.slowest)
	return v
}

// runs returns how often each call ran, by the targets' notes.
func (m *mesh) runs() map[string]int {
	data, err := os.ReadFile(m.RunsFile())
	m.is.NoErr(err)
	runs := map[string]int{}
	for _, name := range strings.Fields(string(data)) {
		runs[name]++
	}
	return runs
}

var busy = shape{
	zones:    []string{"lima-norte", "lima-centro", "lima-sur"},
	replicas: 3,
	services: []string{"reservas", "reservas"},
	delay:    10 * time.Millisecond,
	relay:    true,
}

func (m *mesh) allNodes() []*launcher.Process {
	return m.nodes
}

// TestSilentConnections makes all connections between nodes silent for good,
// again and again, under calls that must not repeat. Each ends answered or
// provably not run, and a silent connection costs later calls nothing after
// two seconds.
func TestSilentConnections(t *testing.T) {
	m := start(t, busy)
	l := m.startLoad(12, http.MethodPost, m.allNodes)
	silenced := 0
	for range 5 {
		time.Sleep(700 * time.Millisecond)
		silenced += m.relayer.Silence(func(string, string) bool { return true })
	}
	time.Sleep(2 * time.Second)
	l.lock.Lock()
	settled := l.slowest
	l.slowest = 0
	l.lock.Unlock()
	time.Sleep(time.Second)
	l.lock.Lock()
	after := l.slowest
	l.lock.Unlock()
	v := l.end()
	t.Logf("%d connections silenced, slowest call %s then %s", silenced, settled, after)
	m.is.Equal(v.unknown, 0) // revoked over a new connection
	m.is.Equal(v.broken, 0)
	m.is.True(settled < 4*time.Second)
	m.is.True(after < 500*time.Millisecond) // later calls pay nothing
}

// TestResets breaks the connections between nodes under calls that must not
// repeat.
func TestResets(t *testing.T) {
	m := start(t, busy)
	l := m.startLoad(12, http.MethodPost, m.allNodes)
	for range 20 {
		time.Sleep(150 * time.Millisecond)
		m.relayer.Reset(func(string, string) bool { return true })
	}
	v := l.end()
	m.is.Equal(v.unknown, 0) // the target's node lives and knows
}

// TestKilledNodesAndTargets kills nodes and targets under load. Calls that
// must not repeat run at most once, and others go on.
func TestKilledNodesAndTargets(t *testing.T) {
	m := start(t, busy)
	entry := func() []*launcher.Process { return m.nodes[:2] }
	posts := m.startLoad(8, http.MethodPost, entry)
	gets := m.startLoad(4, http.MethodGet, entry)
	for i := range 6 {
		time.Sleep(300 * time.Millisecond)
		victim := m.nodes[2+i%4]
		if i%2 == 0 {
			victim = m.targets[2+i%4]
		}
		victim.Kill()
		time.Sleep(300 * time.Millisecond)
		m.is.NoErr(m.Restart(victim))
	}
	posted := posts.end()
	got := gets.end()
	m.is.True(posted.answered > 100)
	m.is.Equal(got.unknown+got.notRun+got.broken, 0) // others are tried again
}

// TestRollingRestart restarts every node gracefully under load. No call is
// cut, and none fails whose caller enters elsewhere.
func TestRollingRestart(t *testing.T) {
	m := start(t, busy)
	var current atomic.Int64
	entry := func() []*launcher.Process {
		leaving := int(current.Load())
		var nodes []*launcher.Process
		for i, n := range m.nodes {
			if i != leaving {
				nodes = append(nodes, n)
			}
		}
		return nodes
	}
	current.Store(-1)
	l := m.startLoad(12, http.MethodPost, entry)
	for i, n := range m.nodes {
		current.Store(int64(i))
		n.Signal(syscall.SIGTERM)
		<-n.Ended()
		m.is.Equal(n.ExitCode(), 0)
		m.is.NoErr(m.Restart(n))
		m.until("the node is back", startTime, func() bool { return launcher.Ready(n.IP) })
	}
	v := l.end()
	m.is.Equal(v.unknown, 0)
	m.is.Equal(v.broken, 0)
	m.is.Equal(v.notRun, 0)
}

// TestLeavingTargetGetsNoWork drains a node by the operators' command. Within
// three seconds no call reaches its target, while the others go on.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	m := start(t, busy)
	l := m.startLoad(6, http.MethodPost, m.allNodes)
	time.Sleep(300 * time.Millisecond)
	m.is.NoErr(m.client.Drain(t.Context(), m.nodes[0].Name))
	m.until("the target is draining everywhere", 3*time.Second, func() bool {
		targets, err := m.client.Targets(t.Context())
		if err != nil {
			return false
		}
		for _, target := range targets {
			if target.Node == m.nodes[0].Name && target.State == "draining" {
				return true
			}
		}
		return false
	})
	v := l.end()
	m.is.Equal(v.notRun+v.unknown+v.broken, 0)
}

// TestOverload offers more calls than all slots and queues hold. What is
// refused was not run.
func TestOverload(t *testing.T) {
	s := busy
	s.relay = false
	s.delay = 300 * time.Millisecond
	m := start(t, s)
	m.accept(sample(t, "mesh.template"), "[values]\nslots = 2\nqueue = 2\n")
	m.untilInForce(inForce)
	l := m.startLoad(80, http.MethodPost, m.allNodes)
	time.Sleep(3 * time.Second)
	v := l.end()
	m.is.True(v.notRun > 0)
	m.is.Equal(v.unknown+v.broken, 0)
}
