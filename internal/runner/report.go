package runner

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/reporter"
)

const (
	reportInterval = 150 * time.Millisecond
	reportTimeout  = time.Second
)

// reports holds the latest reports of a node: the report of the version that it
// holds and, if it is a reporter of its zone, the report of the versions that
// the zone's nodes hold. It is accessed only on the sequencer.
type reports struct {
	reporter   *reporter.Reporter
	heldReport *messenger.HeldReport
	heldOutbox *reporter.Outbox
	zoneReport *messenger.ZoneReport
	zoneOutbox *reporter.Outbox
}

func newReports(zone, name string) *reports {
	return &reports{
		reporter:   reporter.New(zone, name),
		heldOutbox: reporter.NewOutbox(),
		zoneOutbox: reporter.NewOutbox(),
	}
}

// sendReports sends the report of this node to the zone's reporters and, on the
// zone's first reporter, the zone's report to the control replicas.
func (n *node) sendReports(ctx context.Context) {
	now := time.Now()
	n.queueHeldReport(now)
	n.queueZoneReport(now)
	for _, address := range n.reports.heldOutbox.Due(now) {
		n.deliver(ctx, n.reports.heldOutbox, address, n.sendHeldReport(n.reports.heldReport))
	}
	for _, address := range n.reports.zoneOutbox.Due(now) {
		n.deliver(ctx, n.reports.zoneOutbox, address, n.sendZoneReport(n.reports.zoneReport))
	}
}

// queueHeldReport puts the report of this node into the outbox if it is due.
func (n *node) queueHeldReport(now time.Time) {
	announcer := n.coordinator.Announcer()
	report := &messenger.HeldReport{
		Name: n.settings.Name,
		Boot: announcer.Self().GetBoot(),
		Held: n.applier.Number(),
	}
	if err := n.applier.Refusal(); err != nil {
		report.Refusal = err.Error()
	}
	receivers := n.reports.reporter.DueReceivers(report, announcer.Reporters(n.settings.Zone), now)
	if len(receivers) == 0 {
		return
	}
	n.reports.heldReport = report
	var addresses []string
	for _, f := range receivers {
		if f.GetName() == n.settings.Name {
			n.reports.reporter.Receive(report, now)
			continue
		}
		addresses = append(addresses, f.GetOverlayAddress())
	}
	n.reports.heldOutbox.Put(addresses, now)
}

// queueZoneReport puts the zone's report into the outbox if this node is the
// zone's first reporter and the report is due.
func (n *node) queueZoneReport(now time.Time) {
	announcer := n.coordinator.Announcer()
	reporters := announcer.Reporters(n.settings.Zone)
	if len(reporters) == 0 || reporters[0].GetName() != n.settings.Name {
		return
	}
	number := n.coordinator.Distributor().Manifest().Number()
	report := n.reports.reporter.DueSummary(number, announcer.ZoneNodes(n.settings.Zone), now)
	if report == nil {
		return
	}
	n.reports.zoneReport = report
	var addresses []string
	for _, replica := range n.replicas() {
		addresses = append(addresses, replica.Address)
	}
	n.reports.zoneOutbox.Put(addresses, now)
	n.log.Info().Uint64("version", number).Uint32("nodes", report.GetNodes()).Uint32("holding", report.GetHolding()).Msg("report: zone summed up")
}

// sendFunc sends one report over a connection.
type sendFunc func(ctx context.Context, conn drpc.Conn) error

func (n *node) sendHeldReport(report *messenger.HeldReport) sendFunc {
	return func(ctx context.Context, conn drpc.Conn) error {
		_, err := messenger.NewDRPCOverlayClient(conn).ReportHeld(ctx, report)
		return err
	}
}

func (n *node) sendZoneReport(report *messenger.ZoneReport) sendFunc {
	return func(ctx context.Context, conn drpc.Conn) error {
		_, err := messenger.NewDRPCSourceClient(conn).ReportZone(ctx, report)
		return err
	}
}

// deliver sends a report in the background and notifies the outbox of whether
// it arrived.
func (n *node) deliver(ctx context.Context, outbox *reporter.Outbox, address string, send sendFunc) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		err := n.client.Call(ctx, address, func(conn drpc.Conn) error {
			return send(ctx, conn)
		})
		if err != nil {
			n.log.Info().Str("address", address).Err(err).Msg("report: delivery failed")
		}
		n.sequencer.Post(func() {
			outbox.Done(address, err == nil, time.Now())
		})
	}()
}
