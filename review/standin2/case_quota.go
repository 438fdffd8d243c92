package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["quota"] = playQuota
}

const (
	// quotaRate and quotaBurst are the usage cap of the tenant. Its consumers usually send
	// usualRate, which is the cap divided by 1.6, and hotRate for hotTime.
	quotaRate  = 800
	quotaBurst = 80
	usualRate  = 500
	hotRate    = 1600
	hotTime    = 7 * time.Second
	// quotaWindow, quotaOver and quotaSlack are the bounds of the rule.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// cutTime is how long one machine is cut from all others.
	cutTime = 5500 * time.Millisecond
	// loopsPerNode is the number of consumers at each node.
	loopsPerNode = 24
	quotaKey     = "k-7f3a91c2"
)

// quotaRun is one request of the tenant that a worker ran.
type quotaRun struct {
	sent, at time.Time
}

// playQuota lets the consumers of one tenant send many times their usual, at all nodes alike,
// and cuts one node from all other machines meanwhile.
func playQuota(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	d.links = &links{}
	defer d.links.close()
	if err := d.setUpTenant(ctx); err != nil {
		return verdict{}, err
	}
	for _, w := range d.workers {
		w.setQuiet()
	}
	load := newTenantLoad(d)
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	load.start(runCtx)
	pause(ctx, 6*time.Second)
	if trouble {
		load.setHot(true)
		pause(ctx, (hotTime-cutTime)/2)
		d.log.printf("%s is cut from all other machines", d.nodes[0].name)
		d.links.setCut(d.nodes[0].ip)
	}
	pause(ctx, cutTime)
	if trouble {
		d.links.setCut("")
		d.log.printf("the cut ends")
		pause(ctx, (hotTime-cutTime)/2)
		load.setHot(false)
	}
	pause(ctx, 6*time.Second)
	stop()
	load.running.Wait()
	load.write()
	most, at := load.mostInWindow()
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	d.log.printf("most requests sent and run within %v: %d, %.1f s after the start of the load; allowed are %.0f", quotaWindow, most, at.Seconds(), allowed)
	return verdict{
		broken: float64(most) > allowed,
		reason: fmt.Sprintf("QUOTA: %d requests in a window, %.0f are allowed", most, allowed),
	}, nil
}

// setUpTenant starts six nodes of one service and a configuration with one tenant.
func (d *deployment) setUpTenant(ctx context.Context) error {
	d.tenants = []tenant{
		{
			Name:  "club",
			Keys:  []string{quotaKey},
			Rate:  quotaRate,
			Burst: quotaBurst,
		},
	}
	return d.setUp(ctx, 60, []string{firstService, firstService}, lookupRoute(firstService, 2*time.Second))
}

// tenantLoad is the load of one tenant at all nodes.
type tenantLoad struct {
	deployment *deployment
	running    sync.WaitGroup
	began      time.Time
	hot        atomic.Bool

	lock sync.Mutex
	sent map[string]time.Time
	// counts holds what was sent and answered in each second at each node.
	counts map[second]map[string]int
}

// second is one second of the load at one machine.
type second struct {
	number int
	name   string
}

func newTenantLoad(d *deployment) *tenantLoad {
	return &tenantLoad{
		deployment: d,
		began:      time.Now(),
		sent:       map[string]time.Time{},
		counts:     map[second]map[string]int{},
	}
}

// count counts an event of a machine.
func (l *tenantLoad) count(name, event string, at time.Time) {
	key := second{
		number: int(at.Sub(l.began).Seconds()),
		name:   name,
	}
	if l.counts[key] == nil {
		l.counts[key] = map[string]int{}
	}
	l.counts[key][event]++
}

// countNow counts an event that happens now.
func (l *tenantLoad) countNow(name, event string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.count(name, event, time.Now())
}

// start starts the consumers.
func (l *tenantLoad) start(ctx context.Context) {
	for _, p := range l.deployment.nodes {
		for range loopsPerNode {
			l.running.Go(func() { l.loop(ctx, p) })
		}
	}
}

// setHot sets whether the consumers send hotRate or usualRate.
func (l *tenantLoad) setHot(hot bool) {
	l.deployment.log.printf("the tenant sends many times its usual: %v", hot)
	l.hot.Store(hot)
}

// loop sends requests at an even pace.
func (l *tenantLoad) loop(ctx context.Context, p *process) {
	client := http.Client{
		Timeout:   3 * time.Second,
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	interval := time.Duration(float64(time.Second) * float64(len(l.deployment.nodes)*loopsPerNode) / hotRate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	credit := rand.Float64()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if credit += float64(usualRate) / hotRate; credit >= 1 || l.hot.Load() {
			credit -= math.Floor(credit)
			l.send(&client, p)
		}
	}
}

func (l *tenantLoad) send(client *http.Client, p *process) {
	request, err := http.NewRequest(http.MethodGet, "http://"+hostPort(p.ip, portOutbound)+"/lepu270/sheet", http.NoBody)
	if err != nil {
		return
	}
	id := nextID()
	request.Host = firstHost
	request.Header.Set("X-Fireflymoor-Request-Id", id)
	request.Header.Set("X-Fireflymoor-Deadline-Ms", "2000")
	request.Header.Set("Authorization", "Token "+quotaKey)
	l.lock.Lock()
	l.sent[id] = time.Now()
	l.count(p.name, "sent", l.sent[id])
	l.lock.Unlock()
	response, err := client.Do(request)
	if err != nil {
		l.countNow(p.name, "no answer")
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	l.countNow(p.name, fmt.Sprint("status ", response.StatusCode))
}

// write writes what was sent, answered and run in each second.
func (l *tenantLoad) write() {
	for _, w := range l.deployment.workers {
		for _, e := range w.executed() {
			l.count(w.id, "run", e.at)
		}
	}
	keys := slices.SortedFunc(maps.Keys(l.counts), func(a, b second) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.name, b.name))
	})
	for _, key := range keys {
		l.deployment.log.printf("second %d of the load, %s: %v", key.number, key.name, l.counts[key])
	}
}

// mostInWindow returns the largest number of requests that were both sent and run within a
// window, and when that window began.
func (l *tenantLoad) mostInWindow() (int, time.Duration) {
	var runs []quotaRun
	for _, w := range l.deployment.workers {
		for _, e := range w.executed() {
			if at, ok := l.sent[e.id]; ok {
				runs = append(runs, quotaRun{sent: at, at: e.at})
			}
		}
	}
	slices.SortFunc(runs, func(a, b quotaRun) int { return a.sent.Compare(b.sent) })
	most, at := 0, time.Duration(0)
	for i := range runs {
		end := runs[i].sent.Add(quotaWindow)
		count := 0
		for j := i; j < len(runs) && runs[j].sent.Before(end); j++ {
			if runs[j].at.Before(end) {
				count++
			}
		}
		if count > most {
			most, at = count, runs[i].sent.Sub(l.began)
		}
	}
	return most, at
}
