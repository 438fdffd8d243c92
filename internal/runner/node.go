package runner

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/applier"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
	"github.com/fireflymoor/fireflymoor/internal/caller"
	"github.com/fireflymoor/fireflymoor/internal/ejector"
	"github.com/fireflymoor/fireflymoor/internal/forwarder"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/packer"
	"github.com/fireflymoor/fireflymoor/internal/platform"
	"github.com/fireflymoor/fireflymoor/internal/receiver"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/target"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
	"github.com/fireflymoor/fireflymoor/pkg/renderer"
)

const (
	leaseInterval = 100 * time.Millisecond
	// drainNotice is how long the others may take to hear that a leaving node's
	// target gets no new work.
	drainNotice = 100 * time.Millisecond
	// viewDelay gathers changes of members before the view is made anew.
	viewDelay      = 20 * time.Millisecond
	confirmTimeout = 1500 * time.Millisecond
	confirmWait    = 50 * time.Millisecond
)

var errNotReporter = errors.New("this process gathers no reports")

// node is the process in a target instance's slot.
type node struct {
	*member

	applier  *applier.Applier
	reports  *reports
	targets  *target.Registry
	tracker  *tracker.Tracker
	packer   *packer.Packer
	remote   *forwarder.Remote
	claims   *claims
	view     atomic.Pointer[fireflymoor.View]
	viewDue  bool
	spacer   applier.Spacer
	applyDue bool
	leaving  atomic.Bool

	callers  *http.Server
	calls    *http.Server
	platform *http.Server
	// ready and announcements are served only through an adapter.
	ready         *http.Server
	announcements *http.Server
}

// NewNode returns a new fireflymoor.Process for the role of a node. Its
// addresses are taken at once.
func NewNode(settings loader.Settings, out io.Writer, options ...Option) (fireflymoor.Process, error) {
	m, err := newMember(settings, out, options, settings.Overlay, settings.Calls, settings.Callers, settings.Platform,
		settings.Ready, settings.Announcements)
	if err != nil {
		return nil, err
	}
	n := &node{
		member:  m,
		applier: applier.New(settings.Team, renderer.New(parser.New()), m.asserter),
		reports: newReports(settings.Zone, settings.Name),
		tracker: tracker.New(settings.Name, settings.Zone),
		packer:  packer.New(settings.Name, m.dialect().Common()...),
		claims:  newClaims(settings, m.client),
	}
	n.remote = forwarder.NewRemote(m.dialer, n.packer)
	empty := fireflymoor.NewView(fireflymoor.Configuration{}, nil)
	n.view.Store(&empty)
	n.targets = target.NewRegistry(settings.Name, settings.Lease, m.log, n.targetsChanged)
	m.join(&messenger.Fact{
		Team:        settings.Team,
		CallAddress: settings.AdvertisedCalls,
	}, n)
	n.serveCalls()
	return n, nil
}

// serveCalls makes the handlers that carry traffic.
func (n *node) serveCalls() {
	local := target.NewServer(n.targets, n.dialect(), n.dialer)
	handler := caller.New(caller.Options{
		Node:      n.settings.Name,
		Origin:    n.settings.CallerService,
		Dialect:   n.dialect(),
		Runs:      local.Runs,
		Viewer:    n,
		Balancer:  balancer.NewTwoChoices(),
		Forwarder: forwarder.New(n.settings.Name, local, n.remote),
		Tracker:   n.tracker,
		Ejector:   ejector.New(),
		Budget:    retrier.NewBudget(),
		Pressure:  retrier.NewPressure(),
		Claims:    n.claims.claimer,
		Metrics:   caller.NewMetrics(n.registry),
		Log:       n.bounded(),
		RouteLog:  n.bounded(),
		Decisions: n.settings.Decisions,
	})
	n.callers = server(n.lettingGo(handler))
	n.callers.Protocols = &http.Protocols{}
	n.callers.Protocols.SetHTTP1(true)
	n.callers.Protocols.SetUnencryptedHTTP2(true)
	n.calls = server(n.packer.Handler(receiver.New(n.coordinator.IsBoot, local, registrar.New(), n.bounded())))
	n.platform = server(platform.NewHandler(n.registry, n.unready, n.targets))
	if n.adapter != nil {
		n.ready = server(n.adapter.Ready(n.unready))
		n.announcements = server(n.adapter.Announcements(n.targets))
	}
}

// lettingGo tells the callers of a leaving node with each answer to connect
// elsewhere.
func (n *node) lettingGo(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, request)
	})
}

// bounded returns a log whose lines a second are bounded, for a part that
// carries traffic.
func (n *node) bounded() zerolog.Logger {
	if n.settings.LinesPerSecond == 0 {
		return n.log
	}
	return n.log.Sample(&zerolog.BurstSampler{
		Burst:  uint32(n.settings.LinesPerSecond),
		Period: time.Second,
	})
}

// View implements fireflymoor.Viewer.
func (n *node) View() fireflymoor.View {
	return *n.view.Load()
}

// unready says why the node should get no callers, or nothing.
func (n *node) unready() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case n.View().Configuration().Number() == 0:
		return "no configuration is in force"
	}
	return ""
}

// Run implements fireflymoor.Process.
func (n *node) Run(ctx context.Context) error {
	defer n.close()
	n.run(ctx, n.mux(), n.start, n.leave)
	n.log.Info().Msg("process: node ended")
	return nil
}

// start starts the parts that only a node has.
func (n *node) start(working context.Context, group *sync.WaitGroup) {
	n.serve(group, n.callers, n.settings.Callers)
	n.serve(group, n.calls, n.settings.Calls)
	n.serve(group, n.platform, n.settings.Platform)
	if n.adapter != nil {
		n.serve(group, n.ready, n.settings.Ready)
		n.serve(group, n.announcements, n.settings.Announcements)
	}
	group.Go(func() { n.confirm(working) })
	group.Go(func() { n.sequencer.Every(working, reportInterval, func() { n.report(working) }) })
	group.Go(func() { n.expireLeases(working) })
	group.Go(func() { n.sequencer.Every(working, ringInterval, n.thinRing) })
	group.Go(func() { n.claims.complete(working, n.log) })
	n.log.Info().Str("zone", n.settings.Zone).Str("team", n.settings.Team).Msg("process: node started")
}

// leave gives up the node's place without cutting a call. Its callers are told
// to connect elsewhere and have the grace to do so, and its target serves on
// meanwhile: it may outlive this process. Then new work is refused as not run,
// and what is in flight ends.
func (n *node) leave() {
	n.log.Info().Dur("grace", n.settings.Grace).Msg("process: node is leaving")
	n.leaving.Store(true)
	time.Sleep(n.settings.Grace)
	n.targets.DrainAll()
	time.Sleep(drainNotice)
	n.shutdown(n.callers, n.calls, n.platform, n.ready, n.announcements)
}

func (n *node) mux() *drpcmux.Mux {
	mux := drpcmux.New()
	_ = messenger.DRPCRegisterOverlay(mux, &nodeOverlay{node: n})
	_ = messenger.DRPCRegisterClaims(mux, &keeping{claims: n.claims})
	return mux
}

// nodeOverlay answers other processes.
type nodeOverlay struct {
	node *node
}

// Link implements messenger.DRPCOverlayServer.
func (o *nodeOverlay) Link(s messenger.DRPCOverlay_LinkStream) error {
	return o.node.coordinator.Linker().Accept(s.Context(), s)
}

// ReportHeld implements messenger.DRPCOverlayServer.
func (o *nodeOverlay) ReportHeld(_ context.Context, report *messenger.HeldReport) (*messenger.Empty, error) {
	o.node.sequencer.Post(func() {
		o.node.reports.reporter.Hear(report, time.Now())
	})
	return &messenger.Empty{}, nil
}

// Drain implements messenger.DRPCOverlayServer.
func (o *nodeOverlay) Drain(context.Context, *messenger.Empty) (*messenger.Empty, error) {
	o.node.targets.DrainAll()
	return &messenger.Empty{}, nil
}

// targetsChanged passes the instance's targets on to the overlay.
func (n *node) targetsChanged(targets []*messenger.Target) {
	n.sequencer.Post(func() {
		n.coordinator.SetTargets(targets)
	})
}

func (n *node) expireLeases(ctx context.Context) {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.targets.Expire(time.Now())
		}
	}
}

// Stored implements coordinator.Watcher. Of versions that come in a storm only
// the newest is put in force.
func (n *node) Stored() {
	if n.applyDue {
		return
	}
	wait := n.spacer.Wait(time.Now())
	if wait == 0 {
		n.apply()
		return
	}
	n.applyDue = true
	time.AfterFunc(wait, func() {
		n.sequencer.Post(func() {
			n.applyDue = false
			n.apply()
		})
	})
}

// apply puts the newest version that is held in force.
func (n *node) apply() {
	began := time.Now()
	defer func() { n.spacer.Applied(began, time.Now()) }()
	distributor := n.coordinator.Distributor()
	inputs, _ := distributor.Inputs(n.settings.Team)
	if !n.applier.Apply(distributor.Manifest(), inputs) {
		if err := n.applier.Refusal(); err != nil {
			n.log.Warn().Err(err).Uint64("version", distributor.Manifest().Number()).Msg("config: kept the version before")
		}
		return
	}
	current := n.applier.Current()
	n.coordinator.SetHeld(current.Number())
	view := n.View().WithConfiguration(current)
	n.view.Store(&view)
	n.targets.Configure(current)
	n.log.Info().Uint64("version", current.Number()).Msg("config: in force")
}

// MembersChanged implements coordinator.Watcher.
func (n *node) MembersChanged() {
	if n.viewDue {
		return
	}
	n.viewDue = true
	time.AfterFunc(viewDelay, func() {
		n.sequencer.Post(n.makeView)
	})
}

func (n *node) makeView() {
	n.viewDue = false
	targets := n.coordinator.Announcer().Targets()
	view := n.View().WithTargets(targets)
	n.view.Store(&view)
	n.tracker.Forget(targets)
	n.remote.Forget(targets)
	n.makeRing()
}

// thinRing drops the members from the ring that left long enough ago.
func (n *node) thinRing() {
	if n.claims.leaving {
		n.makeRing()
	}
}

// makeRing makes the ring that claims are kept among anew.
func (n *node) makeRing() {
	n.claims.setMembers(n.coordinator.Announcer().Nodes(time.Now(), n.settings.KeyWindow))
}

// confirm learns from a quorum how new a version must be, before any is put
// in force.
func (n *node) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		var replicas []loader.Replica
		if err := n.sequencer.Do(ctx, func() { replicas = n.replicas() }); err != nil {
			return
		}
		for _, replica := range replicas {
			later, err := n.confirmAt(ctx, replica)
			if err == nil && later == 0 {
				return
			}
			waiter.Pause(ctx, max(jitter(confirmWait), later))
		}
	}
}

func (n *node) confirmAt(ctx context.Context, replica loader.Replica) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var reply *messenger.ConfirmReply
	err := n.client.Call(ctx, replica.Address, func(conn drpc.Conn) error {
		var err error
		reply, err = messenger.NewDRPCSourceClient(conn).Confirm(ctx, &messenger.Empty{})
		return err
	})
	if err != nil {
		n.log.Info().Str("replica", replica.Name).Err(err).Msg("config: not confirmed")
		return 0, errors.Wrapf(err, "node: confirm at %s", replica.Name)
	}
	if reply.GetLaterMilliseconds() > 0 {
		return time.Duration(reply.GetLaterMilliseconds()) * time.Millisecond, nil
	}
	n.sequencer.Post(func() {
		n.applier.Confirm(reply.GetNumber())
		n.log.Info().Uint64("version", reply.GetNumber()).Str("replica", replica.Name).Msg("config: confirmed by a quorum")
		n.Stored()
	})
	return 0, nil
}
