package runner

import (
	"github.com/fireflymoor/fireflymoor/internal/loader"
	"github.com/fireflymoor/fireflymoor/internal/messenger"
	"github.com/fireflymoor/fireflymoor/internal/replicator"
)

// controlFacts returns the facts of the other control replicas that have not
// left. It is called on the sequencer.
func (m *member) controlFacts() []*messenger.Fact {
	var facts []*messenger.Fact
	for _, f := range m.coordinator.Announcer().Facts() {
		left := f.GetState() == messenger.MemberState_MEMBER_LEFT
		if f.GetControl() && !left && f.GetName() != m.settings.Name {
			facts = append(facts, f)
		}
	}
	return facts
}

// replicas returns the known control replicas: the replicas in the settings if
// there are any, else those that findReplicas finds. It is called on the sequencer.
func (m *member) replicas() []loader.Replica {
	if len(m.settings.Replicas) > 0 {
		return m.settings.Replicas
	}
	return findReplicas(m.controlFacts(), m.settings.SeedAddresses)
}

// findReplicas returns the live replicas and the seeds that belong to no known
// replica. If there are none, it returns the suspected replicas: the suspicions may
// be false, or out of date.
func findReplicas(facts []*messenger.Fact, seeds []string) []loader.Replica {
	var alive, suspected []loader.Replica
	known := map[string]bool{}
	for _, f := range facts {
		known[f.GetOverlayAddress()] = true
		replica := loader.Replica{
			Name:    f.GetName(),
			Address: f.GetOverlayAddress(),
		}
		if f.GetState() == messenger.MemberState_MEMBER_ALIVE {
			alive = append(alive, replica)
		} else {
			suspected = append(suspected, replica)
		}
	}
	for _, seed := range seeds {
		if !known[seed] {
			alive = append(alive, loader.Replica{
				Address: seed,
			})
		}
	}
	if len(alive) == 0 {
		return suspected
	}
	return alive
}

// refreshPeers updates the replication peers of the log and the addresses to
// which its messages are sent. It does nothing if the settings list the
// replicas.
func (c *control) refreshPeers() {
	if len(c.settings.Replicas) > 0 {
		return
	}
	addresses := map[string]string{}
	for _, m := range c.controller.Status().Members {
		if m.GetAddress() != "" {
			addresses[m.GetName()] = m.GetAddress()
		}
	}
	var peers []replicator.Peer
	for _, f := range c.controlFacts() {
		addresses[f.GetName()] = f.GetOverlayAddress()
		if f.GetState() != messenger.MemberState_MEMBER_ALIVE {
			continue
		}
		peers = append(peers, replicator.Peer{
			Name:     f.GetName(),
			Address:  f.GetOverlayAddress(),
			Founding: f.GetFounding(),
		})
	}
	var replicas []loader.Replica
	for name, address := range addresses {
		replicas = append(replicas, loader.Replica{
			Name:    name,
			Address: address,
		})
	}
	c.transport.SetPeers(replicas)
	c.controller.SetPeers(peers)
}
