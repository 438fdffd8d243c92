package runner

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/admitter"
	"github.com/fireflymoor/fireflymoor/internal/controller"
	"github.com/fireflymoor/fireflymoor/internal/keeper"
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/operator"
	"github.com/fireflymoor/fireflymoor/internal/platform"
	"github.com/fireflymoor/fireflymoor/internal/recorder"
	"github.com/fireflymoor/fireflymoor/internal/replica"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
	"github.com/fireflymoor/fireflymoor/pkg/renderer"
)

const (
	confirmsPerSec = 200
	confirmSpread  = 2 * time.Second
	quorumTimeout  = time.Second
	drainTimeout   = 2 * time.Second
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
func NewControl(settings loader.Settings, out io.Writer) (fireflymoor.Process, error) {
	m, err := newMember(settings, out, settings.Overlay, settings.Operators, settings.Platform)
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
		transport: replica.New(settings.Name, settings.Replicas, m.dialer),
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
	c.join(&messenger.Fact{
		Control: true,
	}, c)
	service := operator.NewService(&operated{control: c}, renderer.New(parser.New()))
	c.operators = server(operator.NewHandler(service, c.settings.Tokens))
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
func (c *control) MembersChanged() {}

// Run implements fireflymoor.Process.
func (c *control) Run(ctx context.Context) error {
	defer c.close()
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	controlling, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	var sequence sync.WaitGroup
	sequence.Go(func() { c.sequencer.Run(controlling) })
	c.serveOverlay(working, &group, c.mux())
	c.serve(&group, c.operators, c.settings.Operators)
	c.serve(&group, c.platform, c.settings.Platform)
	group.Go(func() { c.coordinator.Run(working) })
	group.Go(func() { c.controller.Run(working) })
	group.Go(func() { c.transport.Run(working) })
	c.log.Info().Str("zone", c.settings.Zone).Str("disk", c.keeper.Disk()).Msg("process: control replica started")
	<-ctx.Done()
	c.shutdown(c.operators)
	c.shutdown(c.platform)
	stop()
	group.Wait()
	stopControl()
	sequence.Wait()
	c.client.Close()
	c.log.Info().Msg("process: control replica ended")
	return c.keeper.Close()
}

func (c *control) mux() *drpcmux.Mux {
	mux := drpcmux.New()
	peers := &controlPeers{control: c}
	_ = messenger.DRPCRegisterOverlay(mux, peers)
	_ = messenger.DRPCRegisterSource(mux, peers)
	_ = messenger.DRPCRegisterReplication(mux, peers)
	return mux
}

// controlPeers answers other processes.
type controlPeers struct {
	control *control
}

// Link implements messenger.DRPCOverlayServer.
func (p *controlPeers) Link(s messenger.DRPCOverlay_LinkStream) error {
	return p.control.coordinator.Linker().Accept(s.Context(), s)
}

// ReportHeld implements messenger.DRPCOverlayServer.
func (p *controlPeers) ReportHeld(context.Context, *messenger.HeldReport) (*messenger.Empty, error) {
	return nil, errNotReporter
}

// Drain implements messenger.DRPCOverlayServer.
func (p *controlPeers) Drain(context.Context, *messenger.Empty) (*messenger.Empty, error) {
	return nil, errors.New("a control replica has no targets")
}

// Confirm implements messenger.DRPCSourceServer. It vouches only for what a
// quorum has confirmed after the question came.
func (p *controlPeers) Confirm(ctx context.Context, _ *messenger.Empty) (*messenger.ConfirmReply, error) {
	c := p.control
	c.admitLock.Lock()
	later, ok := c.admitter.Admit(time.Now())
	c.admitLock.Unlock()
	if !ok {
		return &messenger.ConfirmReply{
			LaterMilliseconds: uint32(later.Milliseconds()),
		}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	manifest, err := c.controller.Confirm(ctx)
	if err != nil {
		return nil, err
	}
	hash := manifest.Hash()
	return &messenger.ConfirmReply{
		Number: manifest.Number(),
		Hash:   hash[:],
	}, nil
}

// ReportZone implements messenger.DRPCSourceServer.
func (p *controlPeers) ReportZone(_ context.Context, report *messenger.ZoneReport) (*messenger.Empty, error) {
	c := p.control
	c.sequencer.Post(func() {
		c.reports[report.GetZone()+"/"+report.GetReporter()] = zoneReport{
			report: report,
			at:     time.Now(),
		}
	})
	return &messenger.Empty{}, nil
}

// Exchange implements messenger.DRPCReplicationServer.
func (p *controlPeers) Exchange(s messenger.DRPCReplication_ExchangeStream) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		p.control.controller.Step(m)
	}
}

// Identify implements messenger.DRPCReplicationServer.
func (p *controlPeers) Identify(ctx context.Context, _ *messenger.Empty) (*messenger.Identity, error) {
	c := p.control
	identity := &messenger.Identity{
		Name: c.settings.Name,
		Disk: c.keeper.Disk(),
	}
	err := c.sequencer.Do(ctx, func() {
		identity.Blank = c.controller.Blank()
	})
	return identity, err
}

// operated is what operators reach of a control replica.
type operated struct {
	*control
}

// Change implements operator.Replica.
func (o *operated) Change(ctx context.Context, change *messenger.Change) (*messenger.ChangeRecord, error) {
	return o.controller.Change(ctx, change)
}

// Read implements operator.Replica.
func (o *operated) Read(ctx context.Context, look func(accepted *recorder.Recorder)) error {
	return o.sequencer.Do(ctx, func() {
		look(o.controller.Recorder())
	})
}

// Targets implements operator.Replica.
func (o *operated) Targets(ctx context.Context) ([]fireflymoor.Target, error) {
	var targets []fireflymoor.Target
	err := o.sequencer.Do(ctx, func() {
		targets = o.coordinator.Announcer().Targets()
	})
	return targets, err
}

// Drain implements operator.Replica.
func (o *operated) Drain(ctx context.Context, name string) error {
	address := ""
	err := o.sequencer.Do(ctx, func() {
		address = o.coordinator.Announcer().Fact(name).GetOverlayAddress()
	})
	if err != nil {
		return err
	}
	if address == "" {
		return &administrator.Error{
			Code:   administrator.CodeNotFound,
			State:  administrator.NotTaken,
			Step:   "drain",
			Reason: "no node is called " + name,
		}
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	return o.client.Call(ctx, address, func(conn drpc.Conn) error {
		_, err := messenger.NewDRPCOverlayClient(conn).Drain(ctx, &messenger.Empty{})
		return err
	})
}

// Bootstrap implements operator.Replica.
func (o *operated) Bootstrap(ctx context.Context) error {
	return o.controller.Bootstrap(ctx, func(ctx context.Context) ([]*messenger.Identity, error) {
		var others []*messenger.Identity
		for _, r := range o.settings.Replicas {
			if r.Name == o.settings.Name {
				continue
			}
			identity, err := o.transport.Identify(ctx, r.Name, r.Address)
			if err != nil {
				return nil, err
			}
			others = append(others, identity)
		}
		return others, nil
	})
}

// Backup implements operator.Replica.
func (o *operated) Backup(context.Context) (string, error) {
	name := fmt.Sprintf("backup-%s.db", time.Now().UTC().Format("20060102-150405.000"))
	path := filepath.Join(o.settings.DataFolder, name)
	return path, o.keeper.Backup(path)
}

// Status implements operator.Replica.
func (o *operated) Status(ctx context.Context) (administrator.Status, error) {
	status := administrator.Status{
		Replica: o.settings.Name,
	}
	err := o.sequencer.Do(ctx, func() {
		o.fillLog(&status)
		o.fillZones(&status)
	})
	return status, err
}

func (o *operated) fillLog(status *administrator.Status) {
	log := o.controller.Status()
	manifest := o.controller.Recorder().Manifest()
	hash := manifest.Hash()
	status.Role = log.Role.String()
	status.Term = log.Term
	status.Leader = log.Leader
	status.Voter = log.Voter
	status.Quorum = log.Quorum
	status.Number = manifest.Number()
	status.Hash = hex.EncodeToString(hash[:])
	for _, m := range log.Members {
		status.Members = append(status.Members, m.GetName())
	}
}

func (o *operated) fillZones(status *administrator.Status) {
	announcer := o.coordinator.Announcer()
	nodes := map[string]int{}
	var zones []string
	for _, f := range announcer.Facts() {
		switch {
		case f.GetControl():
			continue
		case f.GetState() == messenger.MemberState_MEMBER_SUSPECT:
			status.Suspects = append(status.Suspects, f.GetName())
		case f.GetState() == messenger.MemberState_MEMBER_ALIVE:
			if nodes[f.GetZone()] == 0 {
				zones = append(zones, f.GetZone())
			}
			nodes[f.GetZone()]++
		}
	}
	for _, zone := range zones {
		status.Zones = append(status.Zones, o.zone(zone, nodes[zone], status.Number))
	}
}

// zone sums up a zone by the best fresh report of its reporters.
func (o *operated) zone(name string, nodes int, number uint64) administrator.Zone {
	zone := administrator.Zone{
		Zone:  name,
		Nodes: nodes,
	}
	for _, r := range o.reports {
		fresh := time.Since(r.at) < reportLife
		if r.report.GetZone() != name || !fresh || r.report.GetNumber() < number {
			continue
		}
		holding := min(int(r.report.GetHolding()), nodes)
		if holding < zone.Holding {
			continue
		}
		zone.Holding = holding
		zone.Laggards = nil
		for _, l := range r.report.GetLagging() {
			zone.Laggards = append(zone.Laggards, administrator.Laggard{
				Node:    l.GetName(),
				Held:    l.GetHeld(),
				Refusal: l.GetRefusal(),
			})
		}
	}
	return zone
}
