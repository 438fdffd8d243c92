// Package target manages the targets in this process's instance. It keeps the
// targets that announce themselves and forwards calls to them.
package target

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/limiter"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// ErrUnknown is returned for the id of a target that is not announced here.
var ErrUnknown = errors.New("no such target is announced here")

// An Announcement is the description that a target sends of itself.
type Announcement struct {
	// ID is unique among the targets of the instance.
	ID string `json:"id"`
	// Service is the name of the target's service.
	Service string `json:"service"`
	// Address is the target's IP address and port.
	Address string `json:"address"`
	// Slots is the number of calls that the target serves concurrently.
	Slots int `json:"slots"`
	// Version is the version of the target's software, or empty.
	Version string `json:"version,omitempty"`
	// Started is when the target started, in Unix milliseconds by the clock of
	// the target, or 0 if the target does not send it.
	Started int64 `json:"started,omitempty"`
	// Sequence numbers the announcements of the target from its start, so that
	// an announcement that arrives late is detected. It is 0 if the target does
	// not number them.
	Sequence uint64 `json:"sequence,omitempty"`
	// Draining reports whether the target accepts no new calls.
	Draining bool `json:"draining,omitempty"`
}

// sameTarget reports whether b describes the same start of a target with the same
// capacity.
func (a Announcement) sameTarget(b Announcement) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots && a.Started == b.Started &&
		a.Version == b.Version
}

// localTarget is an announced target of this instance.
type localTarget struct {
	// id, address and started do not change. Calls read them without the registry's
	// lock, which the announcement requires.
	id, address  string
	started      int64
	announcement Announcement
	limiter      *limiter.Limiter
	draining     bool
	renewedAt    time.Time
	own          ownLoad
	limit        statedLimit
	end          targetEnd
}

// record is the latest state received of a target. It is kept after the target is
// dropped.
type record struct {
	started  int64
	sequence uint64
	// draining is set once the target has reported that it is draining, or was
	// drained by command.
	draining bool
	departed bool
	updated  time.Time
}

// departure returns the notice that other processes keep of the target, or nil if
// it has given none. Without its start, the notice would shut out later starts too.
func (rec *record) departure(id string) *messenger.Departure {
	if rec.started <= 0 || !rec.draining && !rec.departed {
		return nil
	}
	return &messenger.Departure{
		Id:       id,
		Started:  rec.started,
		Sequence: rec.sequence,
		Left:     rec.departed,
	}
}

// recordRetention is how long the record of a dropped target is kept. It is longer
// than an announcement may be delayed on its way.
const recordRetention = 5 * time.Minute

// secureTimeout bounds the time for making a notice known to other processes. A
// target waits a second for the acknowledgement of its notice.
const secureTimeout = 800 * time.Millisecond

// A Registry holds the announced targets whose leases have not expired.
type Registry struct {
	node     string
	lease    time.Duration
	log      zerolog.Logger
	onChange func(targets []*messenger.Target, departures []*messenger.Departure)
	secure   func(ctx context.Context) error

	lock          sync.Mutex
	targets       map[string]*localTarget
	records       map[string]*record
	configuration fireflymoor.Configuration
	leaving       bool
	// notices counts the notices of draining and leaving targets. The first
	// securedNotices of them are known to other processes.
	notices        uint64
	securedNotices uint64
}

// NewRegistry returns a new Registry for the targets of a node. It drops a target
// whose last announcement is older than lease. It calls onChange with all targets
// and departures after every change that other processes must know of. The function
// secure waits until enough of them know the last change.
func NewRegistry(node string, lease time.Duration, log zerolog.Logger, onChange func([]*messenger.Target, []*messenger.Departure), secure func(ctx context.Context) error) *Registry {
	return &Registry{
		node:     node,
		lease:    lease,
		log:      log,
		onChange: onChange,
		secure:   secure,
		targets:  map[string]*localTarget{},
		records:  map[string]*record{},
	}
}

// Announce adds a target, renews its lease or drains it. An announcement that is
// older than the known state is ignored.
func (r *Registry) Announce(a Announcement, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if reason := r.staleReason(a); reason != "" {
		r.log.Info().Str("target", a.ID).Int64("started", a.Started).Uint64("sequence", a.Sequence).
			Str("reason", reason).Msg("target: announcement ignored")
		return
	}
	rec := r.records[a.ID]
	if rec == nil || rec.started != a.Started || a.Started == 0 {
		rec = &record{
			started: a.Started,
		}
		r.records[a.ID] = rec
	}
	rec.sequence = a.Sequence
	rec.updated = now
	known := r.targets[a.ID]
	if known == nil || !known.announcement.sameTarget(a) {
		r.dropAtAddress(a)
		before := known
		known = r.add(a)
		if before != nil && before.started == a.Started && before.address == a.Address {
			rate, _ := before.limit.state()
			known.limit.adopt(rate, known.limiter.SetRate)
		}
	}
	known.announcement = a
	known.renewedAt = now
	if a.Draining || rec.draining {
		r.drainForGood(a.ID)
	}
}

// staleReason returns why an announcement is older than the known state, or an
// empty string if it is not.
func (r *Registry) staleReason(a Announcement) string {
	rec := r.records[a.ID]
	switch {
	case rec != nil && a.Started < rec.started:
		return "a later start of the target is known"
	case rec != nil && a.Started == rec.started && rec.departed && a.Started > 0:
		return "the target has left"
	case rec != nil && a.Started == rec.started && a.Sequence < rec.sequence:
		return "a later announcement was received"
	}
	for id, t := range r.targets {
		if id != a.ID && t.announcement.Address == a.Address && a.Started < t.announcement.Started {
			return "a target that started later has the address"
		}
	}
	return ""
}

// dropAtAddress drops the targets that hold the address of a new target.
func (r *Registry) dropAtAddress(a Announcement) {
	for _, id := range r.ids() {
		if r.targets[id].announcement.Address == a.Address {
			r.drop(id, "another target announced its address")
		}
	}
}

func (r *Registry) add(a Announcement) *localTarget {
	t := &localTarget{
		id:           a.ID,
		address:      a.Address,
		started:      a.Started,
		announcement: a,
		limiter:      limiter.New(r.slots(a), r.queue(a)),
	}
	r.targets[a.ID] = t
	r.log.Info().Str("target", a.ID).Str("service", a.Service).Str("address", a.Address).Msg("target: announced")
	r.notify()
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

// Configure applies the slots and queue lengths of a new configuration.
func (r *Registry) Configure(configuration fireflymoor.Configuration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.configuration = configuration
	for _, t := range r.targets {
		t.limiter.Resize(r.slots(t.announcement), r.queue(t.announcement))
	}
}

// current returns the configuration that was applied last.
func (r *Registry) current() fireflymoor.Configuration {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.configuration
}

// Withdraw drops a target that has withdrawn its announcement. It returns
// ErrUnknown if the target is not announced.
func (r *Registry) Withdraw(id string) error {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.targets[id] == nil {
		return ErrUnknown
	}
	if rec := r.records[id]; rec != nil {
		rec.departed = true
		r.countNotice(rec)
	}
	r.drop(id, "withdrawn")
	return nil
}

// HandleLeave drops a target that reports that it is leaving. Started is when the
// target started, or 0 if the target does not send it. If the start is known, from
// the report or from an announcement, Announce ignores the announcements from that
// start that are still in flight. A report from an earlier start of the target is
// ignored.
func (r *Registry) HandleLeave(id string, started int64, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	rec := r.records[id]
	if rec == nil {
		rec = &record{
			started: started,
		}
		r.records[id] = rec
	}
	if started > 0 && started < rec.started {
		r.log.Info().Str("target", id).Int64("started", started).Msg("target: notice of leaving from an earlier start ignored")
		return
	}
	rec.started = max(rec.started, started)
	rec.departed = true
	rec.updated = now
	r.countNotice(rec)
	if r.targets[id] != nil {
		r.drop(id, "left")
		return
	}
	r.notify()
}

// Secure waits until the notices of draining and leaving targets received so far
// are known to enough other processes that a restart of this one does not lose
// them. Only then they may be acknowledged.
func (r *Registry) Secure(ctx context.Context) error {
	r.lock.Lock()
	notices := r.notices
	secured := notices == r.securedNotices
	r.lock.Unlock()
	if secured {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, secureTimeout)
	defer cancel()
	if err := r.secure(ctx); err != nil {
		return errors.Wrap(err, "target: secure a notice")
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.securedNotices = max(r.securedNotices, notices)
	return nil
}

// Restore applies the notices that an earlier run of this node announced.
func (r *Registry) Restore(departures []*messenger.Departure, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	changed := false
	for _, d := range departures {
		changed = r.restore(d, now) || changed
	}
	if changed {
		r.notify()
	}
}

// restore applies one notice and reports whether it is news.
func (r *Registry) restore(d *messenger.Departure, now time.Time) bool {
	rec := r.records[d.GetId()]
	if rec == nil || rec.started < d.GetStarted() {
		rec = &record{
			started: d.GetStarted(),
		}
		r.records[d.GetId()] = rec
	}
	known := rec.draining && rec.sequence >= d.GetSequence() && (rec.departed || !d.GetLeft())
	if rec.started != d.GetStarted() || known {
		return false
	}
	rec.sequence = max(rec.sequence, d.GetSequence())
	rec.departed = rec.departed || d.GetLeft()
	rec.draining = true
	rec.updated = now
	r.log.Info().Str("target", d.GetId()).Int64("started", d.GetStarted()).Uint64("sequence", d.GetSequence()).
		Bool("left", d.GetLeft()).Msg("target: notice to an earlier run of the node learned")
	t := r.targets[d.GetId()]
	switch {
	case t == nil:
	case rec.departed || t.announcement.Started < d.GetStarted():
		r.drop(d.GetId(), "left before this process started")
	default:
		r.drain(d.GetId())
	}
	return true
}

func (r *Registry) drop(id, reason string) {
	r.targets[id].limiter.Drain()
	delete(r.targets, id)
	r.log.Info().Str("target", id).Str("reason", reason).Msg("target: dropped")
	r.notify()
}

// Drain stops new calls to a target. The returned channel is closed once the calls
// in flight and in the queue have ended. Drain returns ErrUnknown if the target is
// not announced.
func (r *Registry) Drain(id string) (<-chan struct{}, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.targets[id] == nil {
		return nil, ErrUnknown
	}
	return r.drainForGood(id), nil
}

// drainForGood drains a target, also after a restart of this process.
func (r *Registry) drainForGood(id string) <-chan struct{} {
	if rec := r.records[id]; rec != nil && !rec.draining {
		rec.draining = true
		r.countNotice(rec)
		r.notify()
	}
	return r.drain(id)
}

// drainLeaving drains a target that has stated that it is leaving, unless it is no
// longer announced.
func (r *Registry) drainLeaving(t *localTarget, source string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	rec := r.records[t.id]
	if r.targets[t.id] != t || t.draining && rec != nil && rec.draining {
		return
	}
	r.log.Info().Str("target", t.id).Str("source", source).Msg("target: leaving")
	r.drainForGood(t.id)
}

// countNotice counts a notice that is to be secured.
func (r *Registry) countNotice(rec *record) {
	if rec.started > 0 {
		r.notices++
	}
}

func (r *Registry) drain(id string) <-chan struct{} {
	t := r.targets[id]
	if !t.draining {
		t.draining = true
		r.log.Info().Str("target", id).Msg("target: draining")
		r.notify()
	}
	return t.limiter.Drain()
}

// DrainAll stops new calls to all targets because the node is leaving. A later run
// of the node serves them again.
func (r *Registry) DrainAll() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.leaving = true
	for _, id := range r.ids() {
		r.drain(id)
	}
}

// Expire drops the targets whose leases have expired, and records that are no
// longer needed.
func (r *Registry) Expire(now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, id := range r.ids() {
		if now.Sub(r.targets[id].renewedAt) > r.lease {
			r.drop(id, "lease expired")
		}
	}
	for id, rec := range r.records {
		if r.targets[id] == nil && now.Sub(rec.updated) > recordRetention {
			delete(r.records, id)
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

// notify passes all targets with their states, and all departures, to onChange.
func (r *Registry) notify() {
	targets := make([]*messenger.Target, 0, len(r.targets))
	for id, t := range r.targets {
		state := messenger.TargetState_TARGET_READY
		if t.draining || r.leaving {
			state = messenger.TargetState_TARGET_DRAINING
		}
		targets = append(targets, &messenger.Target{
			Id:      annotator.JoinTarget(r.node, id),
			Service: t.announcement.Service,
			Slots:   uint32(t.announcement.Slots),
			Version: t.announcement.Version,
			State:   state,
		})
	}
	slices.SortFunc(targets, func(a, b *messenger.Target) int {
		return cmp.Compare(a.GetId(), b.GetId())
	})
	r.onChange(targets, r.departures())
}

// departures returns the notices that other processes keep, sorted by id.
func (r *Registry) departures() []*messenger.Departure {
	var departures []*messenger.Departure
	for id, rec := range r.records {
		if d := rec.departure(id); d != nil {
			departures = append(departures, d)
		}
	}
	slices.SortFunc(departures, func(a, b *messenger.Departure) int {
		return cmp.Compare(a.GetId(), b.GetId())
	})
	return departures
}

// find returns the target with an id as other processes know it, which begins with
// the name of the node. It returns ErrUnknown if the target is not announced here or
// its lease has expired at now, and limiter.ErrDraining if the node is leaving. A
// process that was suspended may get a call before Expire drops the target.
func (r *Registry) find(id string, now time.Time) (*localTarget, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	localID, ok := strings.CutPrefix(id, annotator.JoinTarget(r.node, ""))
	if !ok {
		return nil, ErrUnknown
	}
	t := r.targets[localID]
	if t == nil || now.Sub(t.renewedAt) > r.lease {
		return nil, ErrUnknown
	}
	if r.leaving {
		return nil, limiter.ErrDraining
	}
	return t, nil
}

// valid reports whether a target's lease is valid at now. The wait for a slot may
// have outlasted it, such as in a process that was suspended.
func (r *Registry) valid(t *localTarget, now time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return now.Sub(t.renewedAt) <= r.lease
}
