package runner

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

const (
	reportInterval = 150 * time.Millisecond
	reportTimeout  = 2 * time.Second
)

// report tells the zone's reporters what is held here, and as a reporter tells
// the control replicas of the zone.
func (n *node) report(ctx context.Context) {
	now := time.Now()
	announcer := n.coordinator.Announcer()
	report := &messenger.HeldReport{
		Name: n.settings.Name,
		Boot: announcer.Self().GetBoot(),
		Held: n.applier.Held(),
	}
	if err := n.applier.Refusal(); err != nil {
		report.Refusal = err.Error()
	}
	reporters := announcer.Reporters(n.settings.Zone)
	for _, f := range n.reporter.Tell(report, reporters, now) {
		n.tell(ctx, f, report)
	}
	if len(reporters) == 0 || reporters[0].GetName() != n.settings.Name {
		return
	}
	number := n.coordinator.Distributor().Manifest().Number()
	sum := n.reporter.Sum(number, announcer.ZoneNodes(n.settings.Zone), now)
	if sum != nil {
		n.tellReplicas(ctx, sum)
	}
}

func (n *node) tell(ctx context.Context, to *messenger.Fact, report *messenger.HeldReport) {
	if to.GetName() == n.settings.Name {
		n.reporter.Hear(report)
		return
	}
	go n.call(ctx, to.GetOverlayAddress(), func(ctx context.Context, conn drpc.Conn) error {
		_, err := messenger.NewDRPCOverlayClient(conn).ReportHeld(ctx, report)
		return err
	})
}

func (n *node) tellReplicas(ctx context.Context, sum *messenger.ZoneReport) {
	for _, replica := range n.replicas() {
		go n.call(ctx, replica.Address, func(ctx context.Context, conn drpc.Conn) error {
			_, err := messenger.NewDRPCSourceClient(conn).ReportZone(ctx, sum)
			return err
		})
	}
}

// call makes one call that may fail: what it says is said again.
func (n *node) call(ctx context.Context, address string, call func(ctx context.Context, conn drpc.Conn) error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := n.client.Call(ctx, address, func(conn drpc.Conn) error {
		return call(ctx, conn)
	})
	if err != nil {
		n.log.Debug().Str("address", address).Err(err).Msg("report: not sent")
	}
}
