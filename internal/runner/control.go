package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/acceptor"
	"github.com/fireflymoor/fireflymoor/internal/admitter"
	"github.com/fireflymoor/fireflymoor/internal/controller"
	"github.com/fireflymoor/fireflymoor/internal/linker"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/operator"
	"github.com/fireflymoor/fireflymoor/internal/persister"
	"github.com/fireflymoor/fireflymoor/internal/platform"
	"github.com/fireflymoor/fireflymoor/internal/promoter"
	"github.com/fireflymoor/fireflymoor/internal/replica"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
	"github.com/fireflymoor/fireflymoor/pkg/renderer"
)

const (
	// confirmsPerSecond is the maximum rate at which Confirm requests are
	// admitted.
	confirmsPerSecond = 200
	// confirmRetrySpread is the maximum delay after which a refused Confirm
	// request is to be sent again.
	confirmRetrySpread = 2 * time.Second
	quorumTimeout      = time.Second
	drainTimeout       = 2 * time.Second
	// replaceTimeout is how long a member of the log may be unresponsive before a
	// spare replica replaces it. It is longer than an election, and leaves time
	// for the replacement within the 4 s that a new replica may take.
	replaceTimeout = 2 * time.Second
	// abandonTimeout is how long a member of the log may be unresponsive before it is
	// removed without a replacement, if the quorum gets smaller by that.
	abandonTimeout = time.Minute
	// peerRefreshInterval is how often the replicas' addresses are refreshed, in
	// addition to the refresh on each membership change.
	peerRefreshInterval = time.Second
	// reportTTL is how long a zone's report is valid.
	reportTTL = 20 * time.Second
)

// control is the process of a control replica.
type control struct {
	*member

	persister  persister.Persister
	transport  *replica.Transport
	controller *controller.Controller
	reports    map[string]receivedReport
	logMetrics *logMetrics
	promoter   *promoter.Promoter

	admitLock sync.Mutex
	admitter  *admitter.Admitter

	operators *http.Server
	platform  *http.Server
}

type receivedReport struct {
	report     *messenger.ZoneReport
	receivedAt time.Time
}

// NewControl returns a new fireflymoor.Process for the role of a control
// replica. It opens the listeners and the data folder before it returns.
func NewControl(settings loader.Settings, out io.Writer, options ...Option) (fireflymoor.Process, error) {
	m, err := newMember(settings, out, options, settings.Overlay, settings.Operators, settings.Platform)
	if err != nil {
		return nil, err
	}
	m.messages = acceptor.NewBudget(linker.ControlMessageMemory)
	disk, err := persister.New(settings.DataFolder)
	if err != nil {
		m.close()
		return nil, err
	}
	c := &control{
		member:    m,
		persister: disk,
		transport: replica.New(settings.Name, m.dialer),
		reports:   map[string]receivedReport{},
		admitter:  admitter.New(confirmsPerSecond, confirmRetrySpread, rand.New(rand.NewPCG(m.boot, 0))),
	}
	if err := c.assemble(); err != nil {
		m.close()
		return nil, errors.CombineErrors(err, disk.Close())
	}
	return c, nil
}

func (c *control) assemble() error {
	names := make([]string, 0, len(c.settings.Replicas))
	for _, r := range c.settings.Replicas {
		names = append(names, r.Name)
	}
	var err error
	c.controller, err = controller.New(controller.Options{
		Config: replicator.Config{
			Name:               c.settings.Name,
			Disk:               c.persister.Disk(),
			Peers:              names,
			Heartbeat:          c.settings.Heartbeat,
			MinElectionTimeout: c.settings.ElectionTimeout,
			ReplaceTimeout:     replaceTimeout,
			AbandonTimeout:     abandonTimeout,
		},
		Persister: c.persister,
		Transport: c.transport,
		Sequencer: c.sequencer,
		Asserter:  c.asserter,
		Random:    c.random,
		Log:       c.log,
		Exit:      func(status int) { exit(c.logWriter, status) },
		OnAccepted: func(manifest fireflymoor.Manifest, pieces []string) {
			c.coordinator.Apply(c.coordinator.Distributor().Store(manifest, pieces))
		},
	}, time.Now())
	if err != nil {
		return err
	}
	c.logMetrics = newLogMetrics(c.registry)
	c.promoter = promoter.New(promoter.NewMetrics(c.registry), c.log)
	c.transport.SetPeers(c.settings.Replicas)
	c.initCoordinator(&messenger.Fact{
		Control:  true,
		Founding: c.settings.Founding,
	}, c)
	service := operator.NewService(&operatorReplica{control: c}, renderer.New(parser.New()))
	c.operators = newServer(c.detector, operator.NewHandler(service, c.settings.Tokens))
	if c.adapter != nil {
		c.operators = newServer(c.detector, c.adapter.Operators(service))
	}
	c.platform = newServer(c.detector, platform.NewHandler(c.registry, c.unreadyReason, nil, nil))
	return nil
}

// unreadyReason returns why the replica should get no operator requests, or ""
// if it is ready.
func (c *control) unreadyReason() string {
	reason := ""
	ctx, cancel := context.WithTimeout(context.Background(), quorumTimeout)
	defer cancel()
	err := c.sequencer.Do(ctx, func() {
		status := c.controller.Status()
		switch {
		case status.Suspended:
			reason = "the disk takes no writes"
		case !status.Quorum:
			reason = "no quorum"
		}
	})
	if err != nil {
		return err.Error()
	}
	return reason
}

// VersionStored implements coordinator.Watcher.
func (c *control) VersionStored() {
	c.coordinator.SetHeldVersion(c.coordinator.Distributor().Manifest().Number())
}

// MembersChanged implements coordinator.Watcher.
func (c *control) MembersChanged() {
	c.refreshPeers()
}

// DeparturesLearned implements coordinator.Watcher. A control replica has no
// targets.
func (*control) DeparturesLearned([]*messenger.Departure) {}

// Run implements fireflymoor.Process.
func (c *control) Run(ctx context.Context) error {
	defer c.close()
	c.run(ctx, c.mux(), c.start, func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.stopTimes().closing)
		defer cancel()
		c.shutdown(ctx, c.operators, c.platform)
	})
	c.log.Info().Msg("process: control replica ended")
	return c.persister.Close()
}

// start starts the parts specific to a control replica.
func (c *control) start(workCtx context.Context, group *sync.WaitGroup) {
	c.serve(group, c.operators, "operators", c.settings.Operators)
	c.serve(group, c.platform, "platform", c.settings.Platform)
	group.Go(func() { c.controller.Run(workCtx) })
	group.Go(func() { c.transport.Run(workCtx) })
	group.Go(func() { c.sequencer.Every(workCtx, peerRefreshInterval, c.refreshLog) })
	group.Go(func() { c.bootstrapLog(workCtx) })
	group.Go(func() { c.sequencer.Every(workCtx, promoteInterval, func() { c.promote(workCtx) }) })
	c.log.Info().Str("zone", c.settings.Zone).Str("disk", c.persister.Disk()).Msg("process: control replica started")
}

func (c *control) mux() *linker.Mux {
	mux := linker.NewMux()
	server := &controlServer{control: c}
	_ = messenger.DRPCRegisterOverlay(mux, server)
	_ = messenger.DRPCRegisterSource(mux, server)
	_ = messenger.DRPCRegisterReplication(mux, server)
	return mux
}
