package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// tenantLoad sends the calls of one tenant through all nodes at a fixed rate.
type tenantLoad struct {
	lock  sync.Mutex
	ran   []time.Time
	calls int
	// refused counts the calls with status 429, and wrong those of them that lack the
	// time to retry or the outcome.
	refused, wrong int
}

func (l *tenantLoad) call(node *launcher.Process, key string) {
	request, _ := http.NewRequest(http.MethodGet, "http://"+launcher.CallersAddress(node.IP)+"/reservas/x", http.NoBody)
	request.Header.Set(annotator.Key, key)
	response, err := http.DefaultClient.Do(request)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.calls++
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		l.ran = append(l.ran, time.Now())
	case http.StatusTooManyRequests:
		l.refused++
		if response.Header.Get("Retry-After") == "" || response.Header.Get(annotator.Outcome) != fireflymoor.NotRun.String() {
			l.wrong++
		}
	}
}

// run sends calls until the duration has passed, through one node after another.
func (l *tenantLoad) run(nodes []*launcher.Process, key string, rate int, duration time.Duration) {
	group := sync.WaitGroup{}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range rate * int(duration/time.Second) {
		<-ticker.C
		group.Go(func() { l.call(nodes[i%len(nodes)], key) })
	}
	group.Wait()
}

// worstWindow returns the most calls that ran in any 5 s.
func (l *tenantLoad) worstWindow() int {
	worst, first := 0, 0
	for i, at := range l.ran {
		for at.Sub(l.ran[first]) > 5*time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// TestTenantLimits has one tenant exceed its limit several times over at all nodes,
// while a zone is cut off for some seconds and a node is killed. The limit must hold over
// all nodes, and a tenant below its limit must not be refused.
func TestTenantLimits(t *testing.T) {
	const rate = 40
	s := relayed
	s.delay = 0
	m := start(t, s)
	template := readSample(t, "mesh.template")
	for _, name := range []string{"loud", "quiet"} {
		template += fmt.Sprintf("\n[tenant %s]\nkeys = %s\nrate = %d\nburst = %d\n",
			name, fireflymoor.FormatKeyHash(fireflymoor.HashKey("key of "+name)), rate, rate)
	}
	m.accept(template, readSample(t, "mesh.values"))
	m.waitInForce(startTimeout)
	time.Sleep(2 * time.Second)
	var loud, quiet tenantLoad
	group := sync.WaitGroup{}
	group.Go(func() { loud.run(m.nodes, "key of loud", 5*rate, 16*time.Second) })
	group.Go(func() { quiet.run(m.nodes[1:], "key of quiet", rate/2, 16*time.Second) })
	time.Sleep(3 * time.Second)
	m.isolateZone(2)
	time.Sleep(6 * time.Second)
	m.relayer.SetRules(passAll)
	time.Sleep(2 * time.Second)
	m.nodes[0].Kill()
	group.Wait()
	t.Logf("loud: %d of %d ran, %d refused, at most %d in 5 s; quiet: %d of %d ran, %d refused",
		len(loud.ran), loud.calls, loud.refused, loud.worstWindow(), len(quiet.ran), quiet.calls, quiet.refused)
	m.is.True(float64(loud.worstWindow()) <= (5*rate+rate)*1.1+20)
	m.is.True(len(loud.ran) > 16*rate*6/10) // the limit is used
	m.is.Equal(loud.wrong, 0)
	m.is.True(quiet.refused <= quiet.calls/100)
	lines := 0
	for _, n := range m.nodes {
		lines += strings.Count(n.Log(), "limits: the tenant is over its limit")
	}
	t.Logf("%d log lines of tenants over their limits", lines)
	m.is.True(lines > 0 && lines < 100)
}
