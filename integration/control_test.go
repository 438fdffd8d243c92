package integration

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/relayer"
	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

// minimal has one node in each zone, all of the same service.
var minimal = topology{
	zones:    []string{"lima-norte", "lima-centro", "lima-sur"},
	replicas: 3,
	services: []string{"reservas"},
}

// leader returns the index of the control replica that leads, once it has a
// quorum.
func (m *mesh) leader() int {
	m.t.Helper()
	index := -1
	m.waitUntil("a leader is elected", startTimeout, func() bool {
		for i := range m.controls {
			status, err := m.replicaClient(i).Status(context.Background())
			if err == nil && status.Role == "leader" && status.Quorum {
				index = i
				return true
			}
		}
		return false
	})
	return index
}

// replicaClient returns a client that sends requests to one replica only.
func (m *mesh) replicaClient(i int) *administrator.Client {
	address := launcher.OperatorsAddress(m.controls[i].IP)
	return administrator.New([]string{address}, launcher.Token, 6*time.Second)
}

func (m *mesh) request(parent uint64, values string) administrator.ChangeRequest {
	template := readSample(m.t, "mesh.template")
	return administrator.ChangeRequest{
		Team:     launcher.Team,
		ChangeID: uuid.NewString(),
		Parent:   parent,
		Template: &template,
		Values:   &values,
	}
}

func timeoutValues(milliseconds uint64) string {
	return fmt.Sprintf("[values]\ntimeout = %dms\n", milliseconds)
}

// TestLeaderFailover kills the leader. The next change must be in force within
// the required time, and an earlier change that is sent again must get its
// original response from each other replica.
func TestLeaderFailover(t *testing.T) {
	m := start(t, minimal)
	first := m.request(m.version, timeoutValues(2001))
	response, err := m.client.Change(t.Context(), first)
	m.is.NoErr(err)
	oldLeader := m.leader()
	m.controls[oldLeader].Kill()
	m.version = response.Number
	began := time.Now()
	m.change()
	m.waitInForce(inForceTimeout - time.Since(began))
	for i := range m.controls {
		if i == oldLeader {
			continue
		}
		again, err := m.replicaClient(i).Change(t.Context(), first)
		m.is.NoErr(err)
		m.is.Equal(again, response)
	}
	m.is.NoErr(m.Restart(m.controls[oldLeader]))
	m.waitUntil("the old leader has caught up", startTimeout, func() bool {
		status, err := m.replicaClient(oldLeader).Status(t.Context())
		return err == nil && status.Number == m.version && status.Quorum
	})
}

// TestConcurrentChanges sends concurrent changes with the same parent version
// through all replicas. Exactly one must be accepted, and each other one must
// get a conflict.
func TestConcurrentChanges(t *testing.T) {
	m := start(t, minimal)
	for round := range 8 {
		if round == 4 {
			leader := m.leader()
			m.controls[leader].Kill()
			m.is.NoErr(m.Restart(m.controls[leader]))
		}
		winners := m.raceChanges(9)
		m.is.Equal(len(winners), 1) // one winner in each round
		m.version = winners[0]
	}
	m.waitInForce(startTimeout)
}

// raceChanges sends one change per client concurrently and returns the accepted
// versions. A client whose change has no known outcome sends it again.
func (m *mesh) raceChanges(clients int) []uint64 {
	var lock sync.Mutex
	var winners []uint64
	var group sync.WaitGroup
	for i := range clients {
		request := m.request(m.version, timeoutValues(3000+m.version*100+uint64(i)))
		group.Go(func() {
			for {
				response, err := m.replicaClient(i%len(m.controls)).Change(context.Background(), request)
				apiErr := &administrator.Error{}
				switch {
				case err == nil:
					lock.Lock()
					winners = append(winners, response.Number)
					lock.Unlock()
					return
				case errors.As(err, &apiErr) && apiErr.Code == administrator.CodeConflict:
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return winners
}

// TestInvalidChange submits invalid inputs. They must be refused without any
// effect on the version in force, and with every fault listed.
func TestInvalidChange(t *testing.T) {
	m := start(t, minimal)
	for name, values := range map[string]string{
		"out of range":      "[values]\nslots = 100000\n",
		"unknown parameter": "[values]\nslotz = 3\n",
		"not a duration":    "[values]\ntimeout = soon\n",
	} {
		_, err := m.client.Change(t.Context(), m.request(m.version, values))
		apiErr := &administrator.Error{}
		m.is.True(errors.As(err, &apiErr)) // the error has its type
		m.is.Equal(apiErr.State, administrator.NotTaken)
		m.is.True(len(apiErr.Faults) > 0) // every fault is listed
		t.Log(name, apiErr.Reason)
	}
	m.change()
	m.waitInForce(inForceTimeout)
}

// TestRestartAfterManyChanges kills a node, makes hundreds of changes, and
// restarts it together with a neighbour while one control replica is stale
// after a partition. Both nodes must put the latest version in force.
func TestRestartAfterManyChanges(t *testing.T) {
	s := minimal
	s.relay = true
	s.services = []string{"reservas", "cobros"}
	m := start(t, s)
	stale := (m.leader() + 1) % 3
	m.isolateZone(stale)
	node, neighbour := m.nodes[2*((stale+1)%3)], m.nodes[2*((stale+1)%3)+1]
	node.Kill()
	for range 250 {
		m.change()
	}
	neighbour.Kill()
	m.relayer.SetRules(passAll)
	m.is.NoErr(m.Restart(neighbour))
	m.is.NoErr(m.Restart(node))
	m.waitInForce(startTimeout)
}

// passAll is a rule that neither delays nor cuts any connection.
func passAll(string, string) relayer.Rule {
	return relayer.Rule{}
}

// isolateZone cuts all connections between an availability zone and the others.
func (m *mesh) isolateZone(zone int) {
	m.relayer.SetRules(func(from, to string) relayer.Rule {
		a, b := launcher.ZoneOf(from), launcher.ZoneOf(to)
		return relayer.Rule{
			Cut: (a == zone) != (b == zone),
		}
	})
}

// TestIsolatedReplica cuts one control replica off from the others. It must
// refuse changes, and a node that restarts in its zone must stay unready rather
// than put in force a version that no quorum has confirmed. Once the partition
// heals, the latest version must be in force within the required time.
func TestIsolatedReplica(t *testing.T) {
	s := minimal
	s.relay = true
	m := start(t, s)
	isolated := m.leader()
	m.isolateZone(isolated)
	node := m.nodes[isolated]
	node.Kill()
	_, err := m.replicaClient(isolated).Change(t.Context(), m.request(m.version, timeoutValues(2500)))
	apiErr := &administrator.Error{}
	m.is.True(errors.As(err, &apiErr))
	m.is.Equal(apiErr.Code, administrator.CodeUnavailable)
	m.is.NoErr(m.Restart(node))
	parent := m.version
	m.waitUntil("another replica accepts a change", startTimeout, func() bool {
		response, err := m.replicaClient((isolated+1)%3).Change(context.Background(), m.request(parent, timeoutValues(2600)))
		if err == nil {
			m.version = response.Number
		}
		return err == nil
	})
	m.is.True(!launcher.Ready(node.IP)) // waits for confirmation by a quorum
	m.relayer.SetRules(passAll)
	m.waitInForce(inForceTimeout)
}

// TestLostDisk removes the data of each replica in turn between two of its runs.
// The replica must restart as a non-voting member, be admitted as a voter again
// and hold the latest version before the next one loses its data.
func TestLostDisk(t *testing.T) {
	m := start(t, minimal)
	for range 3 {
		m.change()
	}
	for i := range m.controls {
		p := m.controls[i]
		p.Kill()
		m.is.NoErr(os.RemoveAll(m.DataFolder(p.Name)))
		m.is.NoErr(m.Restart(p))
		m.waitUntil("the replica is admitted again", startTimeout, func() bool {
			status, err := m.replicaClient(i).Status(context.Background())
			return err == nil && status.Quorum && status.Voter && len(status.Members) == 3 && status.Number == m.version
		})
		m.change()
	}
	m.waitInForce(startTimeout)
}

// TestFrozenLeader suspends the leader for longer than the election timeout. The
// others must elect a new leader and have a change in force within the required
// time. The old leader must catch up once it resumes.
func TestFrozenLeader(t *testing.T) {
	m := start(t, minimal)
	oldLeader := m.leader()
	m.controls[oldLeader].Signal(syscall.SIGSTOP)
	began := time.Now()
	m.replicaClient((oldLeader + 1) % 3).Status(t.Context())
	m.client = administrator.New([]string{
		launcher.OperatorsAddress(m.controls[(oldLeader+1)%3].IP),
		launcher.OperatorsAddress(m.controls[(oldLeader+2)%3].IP),
	}, launcher.Token, 6*time.Second)
	m.change()
	m.waitInForce(inForceTimeout - time.Since(began))
	m.controls[oldLeader].Signal(syscall.SIGCONT)
	m.change()
	m.waitInForce(inForceTimeout)
	is := is.New(t)
	m.waitUntil("the resumed leader has caught up", startTimeout, func() bool {
		status, err := m.replicaClient(oldLeader).Status(context.Background())
		return err == nil && status.Number == m.version
	})
	is.True(m.version > 2)
}
