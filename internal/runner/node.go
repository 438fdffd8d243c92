package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/acceptor"
	"github.com/fireflymoor/fireflymoor/internal/applier"
	"github.com/fireflymoor/fireflymoor/internal/balancer"
	"github.com/fireflymoor/fireflymoor/internal/caller"
	"github.com/fireflymoor/fireflymoor/internal/collector"
	"github.com/fireflymoor/fireflymoor/internal/ejector"
	"github.com/fireflymoor/fireflymoor/internal/forwarder"
	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/packer"
	"github.com/fireflymoor/fireflymoor/internal/pipeliner"
	"github.com/fireflymoor/fireflymoor/internal/platform"
	"github.com/fireflymoor/fireflymoor/internal/receiver"
	"github.com/fireflymoor/fireflymoor/internal/registrar"
	"github.com/fireflymoor/fireflymoor/internal/retrier"
	"github.com/fireflymoor/fireflymoor/internal/sender"
	"github.com/fireflymoor/fireflymoor/internal/shaper"
	"github.com/fireflymoor/fireflymoor/internal/target"
	"github.com/fireflymoor/fireflymoor/internal/tracker"
	"github.com/fireflymoor/fireflymoor/internal/verifier"
	"github.com/fireflymoor/fireflymoor/internal/vetter"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
	"github.com/fireflymoor/fireflymoor/pkg/renderer"
)

const (
	leaseCheckInterval = 100 * time.Millisecond
	// drainNoticeDelay is the time allowed for the other processes to be notified
	// that the targets of a leaving node get no new work.
	drainNoticeDelay = 100 * time.Millisecond
	// viewRebuildDelay is how long membership changes are batched before the view
	// is rebuilt. If it was rebuilt within busyRebuildWindow, the delay is
	// rebuildDelayPerMember for each member instead, up to maxRebuildDelay: the cost
	// of a rebuild grows with the members too.
	viewRebuildDelay      = 20 * time.Millisecond
	rebuildDelayPerMember = time.Millisecond
	maxRebuildDelay       = 500 * time.Millisecond
	busyRebuildWindow     = time.Second
	confirmTimeout        = 1500 * time.Millisecond
	confirmRetryDelay     = 50 * time.Millisecond
	// minQueryInterval is the minimum time between two queries for the newest version.
	// It is queryIntervalPerMember for each member if that is more, so that all nodes
	// together send at most 330 queries a second while clients use invalid keys
	// everywhere. Each control replica admits 200. With 100 members every call with an
	// invalid key gets its result within the time that it may wait.
	minQueryInterval       = 20 * time.Millisecond
	queryIntervalPerMember = 3 * time.Millisecond
	// queryTryTimeout is the time after which another replica is queried.
	queryTryTimeout = 250 * time.Millisecond
)

var errNotReporter = errors.New("this process does not collect reports")

// node is the proxy process beside the targets of an instance.
type node struct {
	*member

	applier  *applier.Applier
	reports  *reports
	targets  *target.Registry
	tracker  *tracker.Tracker
	packer   *packer.Packer
	remote   *forwarder.Remote
	verifier *verifier.Verifier
	// members is the number of members of the overlay.
	members     atomic.Int64
	claims      *claims
	limits      *limits
	view        atomic.Pointer[fireflymoor.View]
	viewPending bool
	lastRebuild time.Time
	// refusedVersion is the number of a version that could not be put in force.
	refusedVersion prometheus.Gauge
	// throttle and the fields up to storedAt are accessed only on the sequencer.
	throttle     applier.Throttle
	applyPending bool
	// rendering is set while a version is rendered, and applyAgain if a newer one was
	// stored meanwhile.
	rendering, applyAgain bool
	// storedAt is when the oldest version that is not in force yet was stored.
	storedAt time.Time
	leaving  atomic.Bool
	// ending is canceled, by conclude, when the calls in flight must be concluded.
	ending   context.Context
	conclude context.CancelFunc
	// evidence sums up this node's calls to services under roll-out. If the node is
	// its zone's reporter, relay sums up the calls of the zone's nodes, and
	// relayFilter, which is accessed only on the sequencer, drops repeated messages.
	evidence    *collector.Collector
	relay       *collector.Collector
	relayFilter *collector.Filter
	activity    activity
	// vetter is accessed only on the sequencer.
	vetter *vetter.Vetter
	// leaderIndex is the index of the replica that last took evidence.
	leaderIndex atomic.Int64

	// callers serves local callers, calls serves the calls that other nodes
	// forward.
	callers   *http.Server
	calls     *http.Server
	platform  *http.Server
	pipeliner *pipeliner.Pipeliner
	// ready and announcements are served only through an adapter.
	ready         *http.Server
	announcements *http.Server
}

// NewNode returns a new fireflymoor.Process for the role of a node. It opens the
// listeners before it returns.
func NewNode(settings loader.Settings, out io.Writer, options ...Option) (fireflymoor.Process, error) {
	m, err := newMember(settings, out, options, settings.Overlay, settings.Calls, settings.Callers, settings.Platform,
		settings.Ready, settings.Announcements)
	if err != nil {
		return nil, err
	}
	m.messages = acceptor.NewBudget(linker.NodeMessageMemory)
	n := &node{
		member:  m,
		applier: applier.New(settings.Team, renderer.New(parser.New()), m.asserter),
		reports: newReports(settings.Zone, settings.Name),
		tracker: tracker.New(settings.Name, settings.Zone),
		packer:  packer.New(settings.Name, m.dialect().CommonHeaders()...),
		claims:  newClaims(settings, m.client),

		evidence:    collector.New(settings.Name, m.boot),
		relay:       collector.New(settings.Name, m.boot),
		relayFilter: collector.NewFilter(),
		vetter:      vetter.New(time.Now()),
	}
	n.ending, n.conclude = context.WithCancel(context.Background())
	n.limits = newLimits(m, n.rateLimitedLog())
	n.remote = forwarder.NewRemote(m.dialer, n.packer, sender.WithBudget(m.heads))
	n.verifier = verifier.New(n.newestVersion, func() time.Duration {
		return max(time.Duration(n.members.Load())*queryIntervalPerMember, minQueryInterval)
	})
	empty := fireflymoor.NewView(fireflymoor.Configuration{}, nil)
	n.view.Store(&empty)
	n.targets = target.NewRegistry(settings.Name, settings.Lease, m.log, n.targetsChanged, func(ctx context.Context) error {
		return n.coordinator.Secure(ctx)
	})
	m.initCoordinator(&messenger.Fact{
		Team:        settings.Team,
		CallAddress: settings.AdvertisedCalls,
	}, n)
	n.refusedVersion = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "fireflymoor_refused_version",
		Help: "Number of the newest version if it cannot be put in force here, or 0.",
	})
	n.registry.MustRegister(n.refusedVersion, n.targets, n.tracker, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "fireflymoor_quarantined_requests",
		Help: "Requests that are refused or on trial because targets have ended under them.",
	}, func() float64 { return float64(n.quarantine.Held(time.Now())) }))
	n.initServers()
	return n, nil
}

// initServers creates the HTTP servers of the node.
func (n *node) initServers() {
	bulk := shaper.New(n.settings.LinkRate, n.registry)
	local := target.NewServer(n.targets, n.dialect(), n.dialer, bulk, sender.WithBudget(n.heads))
	local.UseMetrics(target.NewMetrics(n.registry))
	local.UseNeighbors(n.freeNeighbor)
	local.UseQuarantine(n.quarantine)
	var claims caller.Claims
	if n.settings.Keys {
		claims = n.claims.claimer
	}
	handler := caller.New(caller.Options{
		Node:         n.settings.Name,
		Origin:       n.settings.CallerService,
		Dialect:      n.dialect(),
		IsRunning:    local.IsRunning,
		Newest:       n.verifier.Newest,
		Viewer:       n,
		Balancer:     balancer.NewTwoChoices(),
		EvenBalancer: balancer.NewEven(),
		LocalLoad:    local.Load,
		Forwarder:    forwarder.New(n.settings.Name, local, n.remote),
		Tracker:      n.tracker,
		Ejector:      ejector.New(),
		Budget:       retrier.NewBudget(),
		RefusalRate:  retrier.NewRefusalRate(),
		Claims:       claims,
		Quota:        n.limits,
		Shaper:       bulk,
		Quarantine:   n.quarantine,
		Evidence:     n.evidence,
		Ending:       n.ending,
		IsCurrent:    func() bool { return n.activity.isCurrent(time.Now()) },
		Metrics:      caller.NewMetrics(n.registry),
		Log:          n.rateLimitedLog(),
		RouteLog:     n.rateLimitedLog(),
		Decisions:    n.settings.Decisions,
	})
	n.callers = newServer(n.detector, n.closeWhenLeaving(handler))
	n.callers.Protocols = &http.Protocols{}
	n.callers.Protocols.SetHTTP1(true)
	n.callers.Protocols.SetUnencryptedHTTP2(true)
	calls := receiver.New(n.coordinator.IsLocalBoot, local, registrar.New(), n.rateLimitedLog())
	calls.UseMetrics(receiver.NewMetrics(n.registry))
	n.calls = newServer(n.detector, n.packer.Handler(calls))
	n.platform = newServer(n.detector, platform.NewHandler(n.registry, n.unreadyReason, n.targets, n.quarantine))
	if n.adapter != nil {
		n.ready = newServer(n.detector, n.adapter.Ready(n.unreadyReason))
		n.announcements = newServer(n.detector, n.adapter.Announcements(n.targets))
	}
}

// closeWhenLeaving wraps handler so that each response of a leaving node makes
// the caller close the connection and connect elsewhere.
func (n *node) closeWhenLeaving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, request)
	})
}

// rateLimitedLog returns a logger for a part that carries traffic. It limits the
// lines per second to the number in the settings, where 0 means no limit.
func (n *node) rateLimitedLog() zerolog.Logger {
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

// freeNeighbor returns the id of a target of a service that this node knows to have a
// free slot, at another node of the zone, or an empty string.
func (n *node) freeNeighbor(service string) string {
	view := n.View()
	var neighbors []fireflymoor.Target
	for _, t := range view.Targets(service) {
		isNeighbor := t.Zone == n.settings.Zone && t.Node != n.settings.Name
		if isNeighbor && t.State == fireflymoor.Ready && t.Team == view.Configuration().Team() {
			neighbors = append(neighbors, t)
		}
	}
	return n.tracker.FreeTarget(neighbors, time.Now())
}

// unreadyReason returns why the node should get no callers, or "" if it is
// ready.
func (n *node) unreadyReason() string {
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

// start starts the parts specific to a node.
func (n *node) start(workCtx context.Context, group *sync.WaitGroup) {
	n.pipeliner = pipeliner.New(pipeliner.Options{
		Depth:    n.settings.Pipeline,
		Budget:   n.heads,
		Leaving:  n.leaving.Load,
		Registry: n.registry,
	})
	n.listeners[n.settings.Callers] = n.pipeliner.Wrap(n.listeners[n.settings.Callers])
	n.pipeliner.Attach(n.callers)
	n.serve(group, n.callers, "callers", n.settings.Callers)
	n.serve(group, n.calls, "calls", n.settings.Calls)
	n.serve(group, n.platform, "platform", n.settings.Platform)
	if n.adapter != nil {
		n.serve(group, n.ready, "ready", n.settings.Ready)
		n.serve(group, n.announcements, "announcements", n.settings.Announcements)
	}
	group.Go(func() { n.confirm(workCtx) })
	group.Go(func() { n.sequencer.Every(workCtx, reportInterval, func() { n.sendReports(workCtx) }) })
	group.Go(func() { n.expireLeases(workCtx) })
	group.Go(func() { n.sequencer.Every(workCtx, evidenceInterval, func() { n.sendEvidence(workCtx) }) })
	group.Go(func() { n.sequencer.Every(workCtx, relayInterval, func() { n.sendRelayed(workCtx) }) })
	group.Go(func() { n.vet(workCtx) })
	group.Go(func() { n.activity.watch(workCtx) })
	group.Go(func() { n.limits.run(workCtx) })
	if n.settings.Keys {
		group.Go(func() { n.sequencer.Every(workCtx, ringInterval, n.pruneRing) })
		group.Go(func() { n.claims.restore(workCtx, n.log) })
	}
	n.log.Info().Str("zone", n.settings.Zone).Str("team", n.settings.Team).Msg("process: node started")
}

// leave shuts down the node without aborting calls that end before the process is killed.
// During the grace period its callers are notified to connect elsewhere. Its targets still
// serve calls in this period, because the targets may outlive this process. Then new calls
// are refused as not run, and the calls in flight are finished.
func (n *node) leave() {
	began := time.Now()
	times := n.stopTimes()
	n.log.Info().Dur("grace", times.grace).Dur("conclude", times.conclude).Msg("process: node is leaving")
	n.leaving.Store(true)
	time.Sleep(times.grace)
	n.targets.DrainAll()
	time.Sleep(drainNoticeDelay)
	concluding := time.AfterFunc(times.conclude-time.Since(began), n.conclude)
	defer concluding.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(times.closing))
	defer cancel()
	n.pipeliner.Drain(ctx)
	n.shutdown(ctx, n.callers, n.calls, n.platform, n.ready, n.announcements)
}

func (n *node) mux() *linker.Mux {
	mux := linker.NewMux()
	_ = messenger.DRPCRegisterOverlay(mux, &nodeServer{node: n})
	_ = messenger.DRPCRegisterClaims(mux, &claimsServer{claims: n.claims})
	return mux
}

// nodeServer serves the overlay requests of other processes to a node.
type nodeServer struct {
	node *node
}

// Link implements messenger.DRPCOverlayServer.
func (ns *nodeServer) Link(s messenger.DRPCOverlay_LinkStream) error {
	return ns.node.coordinator.Linker().Accept(s.Context(), s)
}

// ReportHeld implements messenger.DRPCOverlayServer.
func (ns *nodeServer) ReportHeld(_ context.Context, report *messenger.HeldReport) (*messenger.Empty, error) {
	ns.node.sequencer.Post(func() {
		ns.node.reports.reporter.Receive(report, time.Now())
	})
	return &messenger.Empty{}, nil
}

// Drain implements messenger.DRPCOverlayServer.
func (ns *nodeServer) Drain(context.Context, *messenger.Empty) (*messenger.Empty, error) {
	ns.node.targets.DrainAll()
	return &messenger.Empty{}, nil
}

// ReportTenants implements messenger.DRPCOverlayServer.
func (ns *nodeServer) ReportTenants(_ context.Context, report *messenger.TenantReport) (*messenger.TenantGrants, error) {
	return ns.node.limits.aggregator.Receive(report, time.Now()), nil
}

// PushTenantGrants implements messenger.DRPCOverlayServer.
func (ns *nodeServer) PushTenantGrants(_ context.Context, grants *messenger.TenantGrants) (*messenger.Empty, error) {
	ns.node.limits.node.Receive(grants, time.Now())
	return &messenger.Empty{}, nil
}

// ExchangeTenants implements messenger.DRPCOverlayServer.
func (ns *nodeServer) ExchangeTenants(_ context.Context, sums *messenger.TenantSums) (*messenger.TenantSums, error) {
	return ns.node.limits.aggregator.Exchange(sums, time.Now()), nil
}

// targetsChanged announces the instance's targets to the overlay.
func (n *node) targetsChanged(targets []*messenger.Target, departures []*messenger.Departure) {
	n.sequencer.Post(func() {
		n.coordinator.SetTargets(targets, departures)
	})
}

// DeparturesLearned implements coordinator.Watcher. The registry posts tasks, which
// a task of the sequencer must not wait for.
func (n *node) DeparturesLearned(departures []*messenger.Departure) {
	go n.targets.Restore(departures, time.Now())
}

func (n *node) expireLeases(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
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

// MembersChanged implements coordinator.Watcher.
func (n *node) MembersChanged() {
	if n.viewPending {
		return
	}
	n.viewPending = true
	delay := viewRebuildDelay
	if time.Since(n.lastRebuild) < busyRebuildWindow {
		members := time.Duration(n.coordinator.Announcer().Len())
		delay = min(max(members*rebuildDelayPerMember, viewRebuildDelay), maxRebuildDelay)
	}
	time.AfterFunc(delay, func() {
		n.sequencer.Post(n.rebuildView)
	})
}

func (n *node) rebuildView() {
	n.viewPending = false
	n.lastRebuild = time.Now()
	n.members.Store(int64(n.coordinator.Announcer().Len()))
	targets := n.coordinator.Announcer().Targets()
	n.vetter.Vet(targets, n.lastRebuild)
	view := n.View().WithTargets(targets)
	n.view.Store(&view)
	n.tracker.Retain(targets)
	n.remote.Retain(targets)
	n.limits.setMembers(n.coordinator.Announcer().Nodes(time.Now(), 0))
	n.rebuildRing()
}

// pruneRing removes members from the ring that left longer ago than the key
// window.
func (n *node) pruneRing() {
	if n.claims.hasLeftMembers {
		n.rebuildRing()
	}
}

// rebuildRing rebuilds the ring of claim keepers from the current nodes and
// the nodes that left within the key window.
func (n *node) rebuildRing() {
	if !n.settings.Keys {
		return
	}
	n.claims.setMembers(n.coordinator.Announcer().Nodes(time.Now(), n.settings.KeyWindow))
}

// confirm queries the control replicas in turn until one returns the version that
// a quorum has confirmed. No older version may be put in force, and none at all
// before that.
func (n *node) confirm(ctx context.Context) {
	for ctx.Err() == nil {
		var replicas []loader.Replica
		if err := n.sequencer.Do(ctx, func() { replicas = n.replicas() }); err != nil {
			return
		}
		for _, replica := range replicas {
			retryAfter, err := n.confirmAt(ctx, replica)
			if err == nil && retryAfter == 0 {
				return
			}
			waiter.Pause(ctx, max(jitter(confirmRetryDelay), retryAfter))
		}
		if len(replicas) == 0 {
			waiter.Pause(ctx, jitter(confirmRetryDelay))
		}
	}
}

// newestVersion returns the number of a version that a quorum confirmed after the call
// began. It queries the control replicas in random order until one responds.
func (n *node) newestVersion(ctx context.Context) (uint64, error) {
	var replicas []loader.Replica
	if err := n.sequencer.Do(ctx, func() { replicas = slices.Clone(n.replicas()) }); err != nil {
		return 0, errors.Wrap(err, "node: find the replicas")
	}
	rand.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	err := errors.New("node: no replica is known")
	for _, replica := range replicas {
		var reply *messenger.ConfirmReply
		reply, err = n.queryConfirmed(ctx, replica, queryTryTimeout)
		if err == nil && reply.GetLaterMilliseconds() == 0 {
			return reply.GetNumber(), nil
		}
		if err == nil {
			err = errors.Newf("node: %s did not admit the query", replica.Name)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, err
}

// queryConfirmed sends a Confirm request to one replica.
func (n *node) queryConfirmed(ctx context.Context, replica loader.Replica, timeout time.Duration) (*messenger.ConfirmReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply *messenger.ConfirmReply
	err := n.client.Call(ctx, replica.Address, func(conn drpc.Conn) error {
		var err error
		reply, err = messenger.NewDRPCSourceClient(conn).Confirm(ctx, &messenger.Empty{})
		return err
	})
	return reply, errors.Wrapf(err, "node: confirm at %s", replica.Name)
}

// confirmAt sends a Confirm request to one replica. If the replica did not admit
// the request, it returns the time to wait before the next attempt, and 0
// otherwise.
func (n *node) confirmAt(ctx context.Context, replica loader.Replica) (time.Duration, error) {
	reply, err := n.queryConfirmed(ctx, replica, confirmTimeout)
	if err != nil {
		n.log.Info().Str("replica", replica.Name).Err(err).Msg("config: not confirmed")
		return 0, err
	}
	if reply.GetLaterMilliseconds() > 0 {
		return time.Duration(reply.GetLaterMilliseconds()) * time.Millisecond, nil
	}
	n.sequencer.Post(func() {
		n.applier.Confirm(reply.GetNumber())
		n.log.Info().Uint64("version", reply.GetNumber()).Str("replica", replica.Name).Msg("config: confirmed by a quorum")
		n.VersionStored()
	})
	return 0, nil
}
