package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/admitter"
	"github.com/fireflymoor/fireflymoor/internal/controller"
	"github.com/fireflymoor/fireflymoor/internal/keeper"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/operator"
	"github.com/fireflymoor/fireflymoor/internal/platform"
	"github.com/fireflymoor/fireflymoor/internal/replica"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
	"github.com/fireflymoor/fireflymoor/pkg/renderer"
)

const (
	confirmsPerSec = 200
	confirmSpread  = 2 * time.Second
	quorumTimeout  = time.Second
	drainTimeout   = 2 * time.Second
	// replaceAfter is how long a member of the log may be silent before a
	// replica that stands in for it takes its place. It is longer than an
	// election, and leaves time within the 4 s that a new replica may take.
	replaceAfter = 2 * time.Second
	// followInterval is how often the replicas' addresses are looked over,
	// beside each change.
	followInterval = time.Second
	// reportLife is how long a zone's report is believed.
	reportLife = 20 * time.Second
)

// control is a control replica's process.
type control struct {
	*member

	keeper     keeper.Keeper
	transport  *replica.Transport
	controller *controller.Controller
	reports    map[string]zoneReport

	admitLock sync.Mutex
	admitter  *admitter.Admitter

	operators *http.Server
	platform  *http.Server
}

type zoneReport struct {
	report *messenger.ZoneReport
	at     time.Time
}

// NewControl returns a new fireflymoor.Process for the role of a control
// replica. Its addresses and its disk are taken at once.
func NewControl(settings loader.Settings, out io.Writer, options ...Option) (fireflymoor.Process, error) {
	m, err := newMember(settings, out, options, settings.Overlay, settings.Operators, settings.Platform)
	if err != nil {
		return nil, err
	}
	disk, err := keeper.New(settings.DataFolder)
	if err != nil {
		m.close()
		return nil, err
	}
	c := &control{
		member:    m,
		keeper:    disk,
		transport: replica.New(settings.Name, m.dialer),
		reports:   map[string]zoneReport{},
		admitter:  admitter.New(confirmsPerSec, confirmSpread, rand.New(rand.NewPCG(m.boot, 0))),
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
			Name:      c.settings.Name,
			Disk:      c.keeper.Disk(),
			Peers:     names,
			Heartbeat: c.settings.Heartbeat,
			Election:  c.settings.Election,
			Replace:   replaceAfter,
		},
		Keeper:    c.keeper,
		Transport: c.transport,
		Sequencer: c.sequencer,
		Asserter:  c.asserter,
		Random:    c.random,
		Log:       c.log,
		Exit:      func(status int) { exit(c.lines, status) },
		Accepted: func(manifest fireflymoor.Manifest, pieces []string) {
			c.coordinator.Apply(c.coordinator.Distributor().Adopt(manifest, pieces))
		},
	}, time.Now())
	if err != nil {
		return err
	}
	c.transport.SetPeers(c.settings.Replicas)
	c.join(&messenger.Fact{
		Control:  true,
		Founding: c.settings.Founding,
	}, c)
	service := operator.NewService(&operated{control: c}, renderer.New(parser.New()))
	c.operators = server(operator.NewHandler(service, c.settings.Tokens))
	if c.adapter != nil {
		c.operators = server(c.adapter.Operators(service))
	}
	c.platform = server(platform.NewHandler(c.registry, c.unready, nil))
	return nil
}

// unready says why the replica should get no operators, or nothing.
func (c *control) unready() string {
	reason := ""
	ctx, cancel := context.WithTimeout(context.Background(), quorumTimeout)
	defer cancel()
	err := c.sequencer.Do(ctx, func() {
		if !c.controller.Status().Quorum {
			reason = "no quorum"
		}
	})
	if err != nil {
		return err.Error()
	}
	return reason
}

// Stored implements coordinator.Watcher.
func (c *control) Stored() {
	c.coordinator.SetHeld(c.coordinator.Distributor().Manifest().Number())
}

// MembersChanged implements coordinator.Watcher.
func (c *control) MembersChanged() {
	c.follow()
}

// Run implements fireflymoor.Process.
func (c *control) Run(ctx context.Context) error {
	defer c.close()
	c.run(ctx, c.mux(), c.start, func() { c.shutdown(c.operators, c.platform) })
	c.log.Info().Msg("process: control replica ended")
	return c.keeper.Close()
}

// start starts the parts that only a replica has.
func (c *control) start(working context.Context, group *sync.WaitGroup) {
	c.serve(group, c.operators, c.settings.Operators)
	c.serve(group, c.platform, c.settings.Platform)
	group.Go(func() { c.controller.Run(working) })
	group.Go(func() { c.transport.Run(working) })
	group.Go(func() { c.sequencer.Every(working, followInterval, c.follow) })
	group.Go(func() { c.found(working) })
	c.log.Info().Str("zone", c.settings.Zone).Str("disk", c.keeper.Disk()).Msg("process: control replica started")
}

func (c *control) mux() *drpcmux.Mux {
	mux := drpcmux.New()
	peers := &controlPeers{control: c}
	_ = messenger.DRPCRegisterOverlay(mux, peers)
	_ = messenger.DRPCRegisterSource(mux, peers)
	_ = messenger.DRPCRegisterReplication(mux, peers)
	return mux
}
