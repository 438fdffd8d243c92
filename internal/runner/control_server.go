package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// controlServer serves the requests of other processes to a control replica.
type controlServer struct {
	control *control
}

// Link implements messenger.DRPCOverlayServer.
func (cs *controlServer) Link(s messenger.DRPCOverlay_LinkStream) error {
	return cs.control.coordinator.Linker().Accept(s.Context(), s)
}

// ReportHeld implements messenger.DRPCOverlayServer.
func (cs *controlServer) ReportHeld(context.Context, *messenger.HeldReport) (*messenger.Empty, error) {
	return nil, errNotReporter
}

// Drain implements messenger.DRPCOverlayServer.
func (cs *controlServer) Drain(context.Context, *messenger.Empty) (*messenger.Empty, error) {
	return nil, errors.New("a control replica has no targets")
}

// ReportTenants implements messenger.DRPCOverlayServer.
func (cs *controlServer) ReportTenants(context.Context, *messenger.TenantReport) (*messenger.TenantGrants, error) {
	return nil, errNoLimits
}

// PushTenantGrants implements messenger.DRPCOverlayServer.
func (cs *controlServer) PushTenantGrants(context.Context, *messenger.TenantGrants) (*messenger.Empty, error) {
	return nil, errNoLimits
}

// ExchangeTenants implements messenger.DRPCOverlayServer.
func (cs *controlServer) ExchangeTenants(context.Context, *messenger.TenantSums) (*messenger.TenantSums, error) {
	return nil, errNoLimits
}

// Confirm implements messenger.DRPCSourceServer. It returns only a version that a
// quorum has confirmed after the request arrived.
func (cs *controlServer) Confirm(ctx context.Context, _ *messenger.Empty) (*messenger.ConfirmReply, error) {
	c := cs.control
	c.admitLock.Lock()
	retryAfter, ok := c.admitter.Admit(time.Now())
	c.admitLock.Unlock()
	if !ok {
		return &messenger.ConfirmReply{
			LaterMilliseconds: uint32(retryAfter.Milliseconds()),
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
func (cs *controlServer) ReportZone(_ context.Context, report *messenger.ZoneReport) (*messenger.Empty, error) {
	c := cs.control
	c.sequencer.Post(func() {
		c.reports[report.GetZone()+"/"+report.GetReporter()] = receivedReport{
			report:     report,
			receivedAt: time.Now(),
		}
	})
	return &messenger.Empty{}, nil
}

// Exchange implements messenger.DRPCReplicationServer.
func (cs *controlServer) Exchange(s messenger.DRPCReplication_ExchangeStream) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		cs.control.controller.Step(m)
	}
}

// Identify implements messenger.DRPCReplicationServer.
func (cs *controlServer) Identify(ctx context.Context, _ *messenger.Empty) (*messenger.Identity, error) {
	c := cs.control
	identity := &messenger.Identity{
		Name:    c.settings.Name,
		Disk:    c.persister.Disk(),
		Address: c.settings.AdvertisedOverlay,
	}
	err := c.sequencer.Do(ctx, func() {
		identity.Blank = c.controller.Blank()
	})
	return identity, err
}
