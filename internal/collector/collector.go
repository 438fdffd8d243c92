// Package collector sums up how calls to the versions of a service end while a
// roll-out runs, and hands the sums over in numbered messages.
package collector

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	// usualStep is the fraction by which each call moves the usual time of its route.
	usualStep = 0.05
	// slowFactor is the multiple of the usual time from which a call is slow.
	slowFactor = 2
	// maxSums bounds the sums that are kept while no message is acknowledged. Further
	// roll-outs and routes are not counted.
	maxSums = 4096
)

// A Call describes how a call of a service under roll-out ended at one version.
type Call struct {
	// Team and Route are the names of the call's team and route.
	Team, Route string
	// Rollout is the roll-out by which the version was chosen.
	Rollout fireflymoor.Rollout
	// ToNew is whether the call was sent to the version that is rolled out.
	ToNew bool
	// Failed is whether the call failed at the version.
	Failed bool
	// Took is the time to the start of the response of a call that did not fail.
	Took time.Duration
}

// sumKey identifies a sum.
type sumKey struct {
	team, service, route string
	started              int64
	toNew                bool
}

func keyOf(s *messenger.EvidenceSample) sumKey {
	return sumKey{
		team:    s.GetTeam(),
		service: s.GetService(),
		route:   s.GetRoute(),
		started: s.GetStarted(),
		toNew:   s.GetToNew(),
	}
}

// routeKey identifies a route of a service.
type routeKey struct {
	team, service, route string
}

// A Collector sums up calls. It is safe for concurrent use.
type Collector struct {
	node string
	boot uint64

	lock sync.Mutex
	sums map[sumKey]*messenger.EvidenceSample
	// usual holds the usual times of the calls to old versions.
	usual    map[routeKey]time.Duration
	sequence uint64
	// pending is the last message if it is not acknowledged, or nil.
	pending *messenger.Evidence
	// sending is set while a message is being sent.
	sending bool
}

// New returns a Collector whose messages name a node and the number of its process.
func New(node string, boot uint64) *Collector {
	return &Collector{
		node:  node,
		boot:  boot,
		sums:  map[sumKey]*messenger.EvidenceSample{},
		usual: map[routeKey]time.Duration{},
	}
}

// Record adds a call.
func (c *Collector) Record(call Call) {
	sample := &messenger.EvidenceSample{
		Team:    call.Team,
		Service: call.Rollout.Service,
		Started: call.Rollout.Started.UnixMilli(),
		Route:   call.Route,
		ToNew:   call.ToNew,
		Calls:   1,
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if call.Failed {
		sample.Failures = 1
	} else {
		sample.LatencyMicroseconds = uint64(max(call.Took.Microseconds(), 1))
		if c.observeUsual(call) {
			sample.Slow = 1
		}
	}
	c.add(sample)
}

// observeUsual reports whether a call took over slowFactor times the usual time of its
// route. Calls to old versions move the usual time in steps towards the median.
func (c *Collector) observeUsual(call Call) bool {
	key := routeKey{
		team:    call.Team,
		service: call.Rollout.Service,
		route:   call.Route,
	}
	usual, known := c.usual[key]
	if !call.ToNew {
		if !known && len(c.usual) >= maxSums {
			clear(c.usual)
		}
		switch {
		case !known:
			c.usual[key] = call.Took
		case call.Took > usual:
			c.usual[key] = time.Duration(float64(usual) * (1 + usualStep))
		case call.Took < usual:
			c.usual[key] = time.Duration(float64(usual) / (1 + usualStep))
		}
	}
	return known && call.Took > slowFactor*usual
}

// Add adds the samples of another node's message.
func (c *Collector) Add(samples []*messenger.EvidenceSample) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, sample := range samples {
		c.add(sample)
	}
}

func (c *Collector) add(sample *messenger.EvidenceSample) {
	key := keyOf(sample)
	sum := c.sums[key]
	if sum == nil {
		if len(c.sums) < maxSums {
			c.sums[key] = proto.CloneOf(sample)
		}
		return
	}
	sum.Calls += sample.GetCalls()
	sum.Failures += sample.GetFailures()
	sum.LatencyMicroseconds += sample.GetLatencyMicroseconds()
	sum.Slow += sample.GetSlow()
}

// Next returns the message to send: the last one if it is not acknowledged, otherwise
// one with the calls since, or nil if there are none.
func (c *Collector) Next() *messenger.Evidence {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.pending != nil || len(c.sums) == 0 {
		return c.pending
	}
	c.sequence++
	c.pending = &messenger.Evidence{
		Node:     c.node,
		Boot:     c.boot,
		Sequence: c.sequence,
	}
	for _, sum := range c.sums {
		c.pending.Samples = append(c.pending.Samples, sum)
	}
	slices.SortFunc(c.pending.Samples, func(a, b *messenger.EvidenceSample) int {
		return cmp.Or(
			cmp.Compare(a.GetTeam(), b.GetTeam()),
			cmp.Compare(a.GetService(), b.GetService()),
			cmp.Compare(a.GetStarted(), b.GetStarted()),
			cmp.Compare(a.GetRoute(), b.GetRoute()),
			cmp.Compare(boolOrder(a.GetToNew()), boolOrder(b.GetToNew())),
		)
	})
	c.sums = map[sumKey]*messenger.EvidenceSample{}
	return c.pending
}

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Acknowledge records that the message with the sequence number was received.
func (c *Collector) Acknowledge(sequence uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.pending.GetSequence() == sequence {
		c.pending = nil
	}
}

// Begin reports whether no message is being sent, and records that one is until End is
// called.
func (c *Collector) Begin() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	began := !c.sending
	c.sending = true
	return began
}

// End records that a message is not being sent any longer.
func (c *Collector) End() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.sending = false
}
