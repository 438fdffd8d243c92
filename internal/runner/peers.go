package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

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
		Name:    c.settings.Name,
		Disk:    c.keeper.Disk(),
		Address: c.settings.AdvertisedOverlay,
	}
	err := c.sequencer.Do(ctx, func() {
		identity.Blank = c.controller.Blank()
	})
	return identity, err
}
