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

// reports is what a node tells of the version that it holds, and as its zone's
// reporter of those that its zone's nodes hold. It belongs to the sequencer.
type reports struct {
	reporter *reporter.Reporter
	own      *messenger.HeldReport
	toZone   *reporter.Outbox
	sum      *messenger.ZoneReport
	toSource *reporter.Outbox
}

func newReports(zone, name string) *reports {
	return &reports{
		reporter: reporter.New(zone, name),
		toZone:   reporter.NewOutbox(),
		toSource: reporter.NewOutbox(),
	}
}

// report tells the zone's reporters what is held here, and as a reporter tells
// the control replicas.
func (n *node) report(ctx context.Context) {
	now := time.Now()
	n.reportOwn(now)
	n.reportZone(now)
	for _, address := range n.reports.toZone.Due(now) {
		n.deliver(ctx, n.reports.toZone, address, n.sendOwn(n.reports.own))
	}
	for _, address := range n.reports.toSource.Due(now) {
		n.deliver(ctx, n.reports.toSource, address, n.sendSum(n.reports.sum))
	}
}

// reportOwn puts this node's report into the outbox if it is due.
func (n *node) reportOwn(now time.Time) {
	announcer := n.coordinator.Announcer()
	report := &messenger.HeldReport{
		Name: n.settings.Name,
		Boot: announcer.Self().GetBoot(),
		Held: n.applier.Held(),
	}
	if err := n.applier.Refusal(); err != nil {
		report.Refusal = err.Error()
	}
	receivers := n.reports.reporter.Tell(report, announcer.Reporters(n.settings.Zone), now)
	if len(receivers) == 0 {
		return
	}
	n.reports.own = report
	var addresses []string
	for _, f := range receivers {
		if f.GetName() == n.settings.Name {
			n.reports.reporter.Hear(report, now)
			continue
		}
		addresses = append(addresses, f.GetOverlayAddress())
	}
	n.reports.toZone.Put(addresses, now)
}

// reportZone puts the zone's sum into the outbox if this node is the one to
// tell it, and it is due.
func (n *node) reportZone(now time.Time) {
	announcer := n.coordinator.Announcer()
	reporters := announcer.Reporters(n.settings.Zone)
	if len(reporters) == 0 || reporters[0].GetName() != n.settings.Name {
		return
	}
	number := n.coordinator.Distributor().Manifest().Number()
	sum := n.reports.reporter.Sum(number, announcer.ZoneNodes(n.settings.Zone), now)
	if sum == nil {
		return
	}
	n.reports.sum = sum
	var addresses []string
	for _, replica := range n.replicas() {
		addresses = append(addresses, replica.Address)
	}
	n.reports.toSource.Put(addresses, now)
	n.log.Info().Uint64("version", number).Uint32("nodes", sum.GetNodes()).Uint32("holding", sum.GetHolding()).Msg("report: zone summed up")
}

type send func(ctx context.Context, conn drpc.Conn) error

func (n *node) sendOwn(report *messenger.HeldReport) send {
	return func(ctx context.Context, conn drpc.Conn) error {
		_, err := messenger.NewDRPCOverlayClient(conn).ReportHeld(ctx, report)
		return err
	}
}

func (n *node) sendSum(sum *messenger.ZoneReport) send {
	return func(ctx context.Context, conn drpc.Conn) error {
		_, err := messenger.NewDRPCSourceClient(conn).ReportZone(ctx, sum)
		return err
	}
}

// deliver sends a report, and has the outbox know whether it arrived.
func (n *node) deliver(ctx context.Context, outbox *reporter.Outbox, address string, send send) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		err := n.client.Call(ctx, address, func(conn drpc.Conn) error {
			return send(ctx, conn)
		})
		if err != nil {
			n.log.Info().Str("address", address).Err(err).Msg("report: not delivered")
		}
		n.sequencer.Post(func() {
			outbox.Done(address, err == nil, time.Now())
		})
	}()
}
