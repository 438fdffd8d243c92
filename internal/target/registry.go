// Package target speaks with the targets in this process's instance: they
// announce themselves, and calls go to them.
package target

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/limiter"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// ErrUnknown says that no target of that id is announced here.
var ErrUnknown = errors.New("no such target is announced here")

// An Announcement is what a target says of itself.
type Announcement struct {
	// ID is unique among the targets of the instance.
	ID string `json:"id"`
	// Service is the name of the target's service.
	Service string `json:"service"`
	// Address is the target's IP number and port.
	Address string `json:"address"`
	// Slots is the number of calls it serves at once.
	Slots int `json:"slots"`
	// Started is when the target started, in Unix milliseconds by its own
	// clock, or 0.
	Started int64 `json:"started,omitempty"`
	// Sequence numbers the target's announcements from its start, so that a
	// late one is known, or is 0.
	Sequence uint64 `json:"sequence,omitempty"`
	// Draining says that the target wants no new work.
	Draining bool `json:"draining,omitempty"`
}

// same says whether b describes the same target with the same capacity.
func (a Announcement) same(b Announcement) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots && a.Started == b.Started
}

// local is one announced target.
type local struct {
	announcement Announcement
	limiter      *limiter.Limiter
	draining     bool
	renewed      time.Time
}

// mark is the last that was heard of a target, which outlasts it.
type mark struct {
	started  int64
	sequence uint64
	gone     bool
	heard    time.Time
}

// markLife is how long a target that is gone is remembered. It is longer than
// an announcement may be held up on its way.
const markLife = 5 * time.Minute

// A Registry holds the targets that are announced and whose leases last.
type Registry struct {
	node    string
	lease   time.Duration
	log     zerolog.Logger
	changed func(targets []*messenger.Target)

	lock          sync.Mutex
	targets       map[string]*local
	marks         map[string]*mark
	configuration fireflymoor.Configuration
	leaving       bool
}

// NewRegistry returns a new Registry. Changed is told of every change that
// other processes must know of.
func NewRegistry(node string, lease time.Duration, log zerolog.Logger, changed func([]*messenger.Target)) *Registry {
	return &Registry{
		node:    node,
		lease:   lease,
		log:     log,
		changed: changed,
		targets: map[string]*local{},
		marks:   map[string]*mark{},
	}
}

// Announce adds a target, renews its lease or drains it. An announcement that
// is older than what is known changes nothing.
func (r *Registry) Announce(a Announcement, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if reason := r.stale(a); reason != "" {
		r.log.Info().Str("target", a.ID).Int64("started", a.Started).Uint64("sequence", a.Sequence).
			Str("reason", reason).Msg("target: announcement ignored")
		return
	}
	r.marks[a.ID] = &mark{
		started:  a.Started,
		sequence: a.Sequence,
		heard:    now,
	}
	known := r.targets[a.ID]
	if known == nil || !known.announcement.same(a) {
		r.replaceAt(a)
		known = r.add(a)
	}
	known.announcement = a
	known.renewed = now
	if a.Draining {
		r.drain(a.ID)
	}
}

// stale says why an announcement is older than what is known, or nothing.
func (r *Registry) stale(a Announcement) string {
	m := r.marks[a.ID]
	switch {
	case m != nil && a.Started < m.started:
		return "the target has started again since"
	case m != nil && a.Started == m.started && m.gone && a.Started > 0:
		return "the target is gone"
	case m != nil && a.Started == m.started && a.Sequence < m.sequence:
		return "a later one was heard"
	}
	for id, t := range r.targets {
		if id != a.ID && t.announcement.Address == a.Address && a.Started < t.announcement.Started {
			return "a later target has the address"
		}
	}
	return ""
}

// replaceAt drops the other targets at the address of a new one.
func (r *Registry) replaceAt(a Announcement) {
	for _, id := range r.ids() {
		if r.targets[id].announcement.Address == a.Address {
			r.drop(id, "another target has its address")
		}
	}
}

func (r *Registry) add(a Announcement) *local {
	t := &local{
		announcement: a,
		limiter:      limiter.New(r.slots(a), r.queue(a)),
	}
	r.targets[a.ID] = t
	r.log.Info().Str("target", a.ID).Str("service", a.Service).Str("address", a.Address).Msg("target: announced")
	r.tell()
	return t
}

func (r *Registry) slots(a Announcement) int {
	service, ok := r.configuration.Service(a.Service)
	if !ok {
		return a.Slots
	}
	return min(a.Slots, service.Slots)
}

func (r *Registry) queue(a Announcement) int {
	service, _ := r.configuration.Service(a.Service)
	return service.Queue
}

// Configure takes the slots and queues of a new configuration.
func (r *Registry) Configure(configuration fireflymoor.Configuration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.configuration = configuration
	for _, t := range r.targets {
		t.limiter.Resize(r.slots(t.announcement), r.queue(t.announcement))
	}
}

// Withdraw drops a target that says it is gone.
func (r *Registry) Withdraw(id string) error {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.targets[id] == nil {
		return ErrUnknown
	}
	r.drop(id, "withdrawn")
	if m := r.marks[id]; m != nil {
		m.gone = true
	}
	return nil
}

// Leave drops a target that says it is going, and ignores what it said before
// and is still on its way. Started is when it started, or 0 if it does not
// say. What an earlier start of the target says changes nothing.
func (r *Registry) Leave(id string, started int64, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	m := r.marks[id]
	if m == nil {
		m = &mark{
			started: started,
		}
		r.marks[id] = m
	}
	if started > 0 && started < m.started {
		r.log.Info().Str("target", id).Int64("started", started).Msg("target: an earlier start says it is going, ignored")
		return
	}
	m.started = max(m.started, started)
	m.gone = true
	m.heard = now
	if r.targets[id] != nil {
		r.drop(id, "left")
	}
}

func (r *Registry) drop(id, reason string) {
	r.targets[id].limiter.Drain()
	delete(r.targets, id)
	r.log.Info().Str("target", id).Str("reason", reason).Msg("target: dropped")
	r.tell()
}

// Drain gives a target no new work. The channel is closed once the calls in
// flight have ended.
func (r *Registry) Drain(id string) (<-chan struct{}, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.targets[id] == nil {
		return nil, ErrUnknown
	}
	return r.drain(id), nil
}

func (r *Registry) drain(id string) <-chan struct{} {
	t := r.targets[id]
	if !t.draining {
		t.draining = true
		r.log.Info().Str("target", id).Msg("target: draining")
		r.tell()
	}
	return t.limiter.Drain()
}

// DrainAll gives no target new work.
func (r *Registry) DrainAll() {
	r.lock.Lock()
	r.leaving = true
	ids := r.ids()
	r.lock.Unlock()
	for _, id := range ids {
		_, _ = r.Drain(id)
	}
}

// Expire drops the targets whose leases have run out.
func (r *Registry) Expire(now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, id := range r.ids() {
		if now.Sub(r.targets[id].renewed) > r.lease {
			r.drop(id, "lease ran out")
		}
	}
	for id, m := range r.marks {
		if r.targets[id] == nil && now.Sub(m.heard) > markLife {
			delete(r.marks, id)
		}
	}
}

func (r *Registry) ids() []string {
	ids := make([]string, 0, len(r.targets))
	for id := range r.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// tell passes on what other processes must know.
func (r *Registry) tell() {
	targets := make([]*messenger.Target, 0, len(r.targets))
	for id, t := range r.targets {
		state := messenger.TargetState_TARGET_READY
		if t.draining || r.leaving {
			state = messenger.TargetState_TARGET_DRAINING
		}
		targets = append(targets, &messenger.Target{
			Id:      labeler.JoinTarget(r.node, id),
			Service: t.announcement.Service,
			Slots:   uint32(t.announcement.Slots),
			State:   state,
		})
	}
	slices.SortFunc(targets, func(a, b *messenger.Target) int {
		return cmp.Compare(a.GetId(), b.GetId())
	})
	r.changed(targets)
}

// find returns the target of an id as other processes know it.
func (r *Registry) find(id string) (*local, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	own, ok := strings.CutPrefix(id, labeler.JoinTarget(r.node, ""))
	if !ok {
		return nil, ErrUnknown
	}
	t := r.targets[own]
	if t == nil {
		return nil, ErrUnknown
	}
	if r.leaving {
		return nil, limiter.ErrDraining
	}
	return t, nil
}
