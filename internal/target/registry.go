// Package target speaks with the targets in this process's instance: they
// announce themselves, and calls go to them.
package target

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
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
}

// local is one announced target.
type local struct {
	announcement Announcement
	limiter      *limiter.Limiter
	draining     bool
	renewed      time.Time
}

// A Registry holds the targets that are announced and whose leases last.
type Registry struct {
	node    string
	lease   time.Duration
	log     zerolog.Logger
	changed func(targets []*messenger.Target)

	lock          sync.Mutex
	targets       map[string]*local
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
	}
}

// Announce adds a target or renews its lease.
func (r *Registry) Announce(a Announcement, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if known := r.targets[a.ID]; known != nil && known.announcement == a {
		known.renewed = now
		return
	}
	r.targets[a.ID] = &local{
		announcement: a,
		limiter:      limiter.New(r.slots(a), r.queue(a)),
		renewed:      now,
	}
	r.log.Info().Str("target", a.ID).Str("service", a.Service).Str("address", a.Address).Msg("target: announced")
	r.tell()
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
	return nil
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
	t := r.targets[id]
	if t == nil {
		return nil, ErrUnknown
	}
	if !t.draining {
		t.draining = true
		r.log.Info().Str("target", id).Msg("target: draining")
		r.tell()
	}
	return t.limiter.Drain(), nil
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
			Id:      r.node + "/" + id,
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
	if len(id) <= len(r.node) || id[:len(r.node)] != r.node {
		return nil, ErrUnknown
	}
	t := r.targets[id[len(r.node)+1:]]
	if t == nil {
		return nil, ErrUnknown
	}
	if r.leaving {
		return nil, limiter.ErrDraining
	}
	return t, nil
}
