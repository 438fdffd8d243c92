package runner

import (
	"context"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"time"

	"storj.io/drpc"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/recorder"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

// operatorReplica implements operator.Replica for a control replica.
type operatorReplica struct {
	*control
}

// Change implements operator.Replica.
func (o *operatorReplica) Change(ctx context.Context, change *messenger.Change) (*messenger.ChangeRecord, error) {
	return o.controller.Change(ctx, change)
}

// Read implements operator.Replica.
func (o *operatorReplica) Read(ctx context.Context, inspect func(accepted *recorder.Recorder)) error {
	return o.sequencer.Do(ctx, func() {
		inspect(o.controller.Recorder())
	})
}

// Targets implements operator.Replica.
func (o *operatorReplica) Targets(ctx context.Context) ([]fireflymoor.Target, error) {
	var targets []fireflymoor.Target
	err := o.sequencer.Do(ctx, func() {
		targets = o.coordinator.Announcer().Targets()
	})
	return targets, err
}

// Drain implements operator.Replica.
func (o *operatorReplica) Drain(ctx context.Context, name string) error {
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
func (o *operatorReplica) Bootstrap(ctx context.Context) error {
	addresses := make([]string, 0, len(o.settings.Replicas))
	for _, r := range o.settings.Replicas {
		if r.Name != o.settings.Name {
			addresses = append(addresses, r.Address)
		}
	}
	return o.controller.Bootstrap(ctx, o.asMember(), 0, func(ctx context.Context) ([]*messenger.Identity, error) {
		return o.identifyAll(ctx, addresses)
	})
}

// Confirm implements operator.Replica.
func (o *operatorReplica) Confirm(ctx context.Context) error {
	_, err := o.controller.Confirm(ctx)
	return err
}

// Backup implements operator.Replica.
func (o *operatorReplica) Backup(context.Context) (string, error) {
	name := fmt.Sprintf("backup-%s.db", time.Now().UTC().Format("20060102-150405.000"))
	path := filepath.Join(o.settings.DataFolder, name)
	return path, o.persister.Backup(path)
}

// Status implements operator.Replica.
func (o *operatorReplica) Status(ctx context.Context) (administrator.Status, error) {
	status := administrator.Status{
		Replica: o.settings.Name,
	}
	err := o.sequencer.Do(ctx, func() {
		o.fillLogStatus(&status)
		o.fillZoneStatus(&status)
	})
	return status, err
}

func (o *operatorReplica) fillLogStatus(status *administrator.Status) {
	log := o.controller.Status()
	manifest := o.controller.Recorder().Manifest()
	hash := manifest.Hash()
	status.Role = log.Role.String()
	status.Term = log.Term
	status.Leader = log.Leader
	status.Voter = log.Voter
	status.Quorum = log.Quorum
	status.Size = log.Size
	status.Unresponsive = log.Unresponsive
	status.Number = manifest.Number()
	status.Hash = hex.EncodeToString(hash[:])
	for _, m := range log.Members {
		status.Members = append(status.Members, m.GetName())
	}
}

func (o *operatorReplica) fillZoneStatus(status *administrator.Status) {
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
		status.Zones = append(status.Zones, o.zoneStatus(zone, nodes[zone], status.Number))
	}
}

// zoneStatus returns the status of a zone. It uses the report with the most
// holding nodes among those that are younger than reportTTL and are about the
// version number or a newer one.
func (o *operatorReplica) zoneStatus(name string, nodes int, number uint64) administrator.Zone {
	zone := administrator.Zone{
		Zone:  name,
		Nodes: nodes,
	}
	for _, r := range o.reports {
		fresh := time.Since(r.receivedAt) < reportTTL
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
