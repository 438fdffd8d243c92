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

var bare = shape{
	zones:    []string{"lima-norte", "lima-centro", "lima-sur"},
	replicas: 3,
	services: []string{"reservas"},
}

// leader returns the index of the leading control replica.
func (m *mesh) leader() int {
	m.t.Helper()
	index := -1
	m.until("a leader", startTime, func() bool {
		for i := range m.controls {
			status, err := m.at(i).Status(context.Background())
			if err == nil && status.Role == "leader" && status.Quorum {
				index = i
				return true
			}
		}
		return false
	})
	return index
}

// at returns a client of one replica alone.
func (m *mesh) at(i int) *administrator.Client {
	address := launcher.OperatorsAddress(m.controls[i].IP)
	return administrator.New([]string{address}, launcher.Token, 6*time.Second)
}

func (m *mesh) request(parent uint64, values string) administrator.ChangeRequest {
	template := sample(m.t, "mesh.template")
	return administrator.ChangeRequest{
		Team:     launcher.Team,
		ChangeID: uuid.NewString(),
		Parent:   parent,
		Template: &template,
		Values:   &values,
	}
}

func timeout(milliseconds uint64) string {
	return fmt.Sprintf("[values]\ntimeout = %dms\n", milliseconds)
}

// TestLeaderLoss kills the leader and has the next change in force within the
// bound, while the sender of an earlier change gets its first answer again
// from another replica.
func TestLeaderLoss(t *testing.T) {
	m := start(t, bare)
	first := m.request(m.version, timeout(2001))
	response, err := m.client.Change(t.Context(), first)
	m.is.NoErr(err)
	old := m.leader()
	m.controls[old].Kill()
	m.version = response.Number
	began := time.Now()
	m.change()
	m.untilInForce(inForce - time.Since(began))
	for i := range m.controls {
		if i == old {
			continue
		}
		again, err := m.at(i).Change(t.Context(), first)
		m.is.NoErr(err)
		m.is.Equal(again, response)
	}
	m.is.NoErr(m.Restart(m.controls[old]))
	m.until("the old leader has caught up", startTime, func() bool {
		status, err := m.at(old).Status(t.Context())
		return err == nil && status.Number == m.version && status.Quorum
	})
}

// TestOperatorRace has operators race on equal version numbers through all
// replicas: one wins, and every other gets a clear conflict.
func TestOperatorRace(t *testing.T) {
	m := start(t, bare)
	for round := range 8 {
		if round == 4 {
			leader := m.leader()
			m.controls[leader].Kill()
			m.is.NoErr(m.Restart(m.controls[leader]))
		}
		winners := m.race(9)
		m.is.Equal(len(winners), 1) // one winner in each round
		m.version = winners[0]
	}
	m.untilInForce(startTime)
}

// race returns the versions that the racers won. A racer that does not learn
// its outcome sends the same change again.
func (m *mesh) race(racers int) []uint64 {
	var lock sync.Mutex
	var winners []uint64
	var group sync.WaitGroup
	for i := range racers {
		request := m.request(m.version, timeout(3000+m.version*100+uint64(i)))
		group.Go(func() {
			for {
				response, err := m.at(i%len(m.controls)).Change(context.Background(), request)
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

// TestBadChange has bad inputs refused whole, with what is in force left as
// it is and every fault named.
func TestBadChange(t *testing.T) {
	m := start(t, bare)
	for name, values := range map[string]string{
		"out of range":      "[values]\nslots = 100000\n",
		"unknown parameter": "[values]\nslotz = 3\n",
		"not a duration":    "[values]\ntimeout = soon\n",
	} {
		_, err := m.client.Change(t.Context(), m.request(m.version, values))
		apiErr := &administrator.Error{}
		m.is.True(errors.As(err, &apiErr)) // a typed error
		m.is.Equal(apiErr.State, administrator.NotTaken)
		m.is.True(len(apiErr.Faults) > 0) // every fault is named
		t.Log(name, apiErr.Reason)
	}
	m.change()
	m.untilInForce(inForce)
}

// TestReturnAfterHundreds kills a node, makes hundreds of changes without it,
// and lets it return while one control replica is stale behind a cut and a
// neighbour restarts with it.
func TestReturnAfterHundreds(t *testing.T) {
	s := bare
	s.relay = true
	s.services = []string{"reservas", "cobros"}
	m := start(t, s)
	stale := (m.leader() + 1) % 3
	m.cutZone(stale)
	node, neighbour := m.nodes[2*((stale+1)%3)], m.nodes[2*((stale+1)%3)+1]
	node.Kill()
	for range 250 {
		m.change()
	}
	neighbour.Kill()
	m.relayer.SetRules(uncut)
	m.is.NoErr(m.Restart(neighbour))
	m.is.NoErr(m.Restart(node))
	m.untilInForce(startTime)
}

// uncut lets everything pass.
func uncut(string, string) relayer.Rule {
	return relayer.Rule{}
}

// cutZone cuts an availability zone from all others.
func (m *mesh) cutZone(zone int) {
	m.relayer.SetRules(func(from, to string) relayer.Rule {
		a, b := launcher.ZoneOf(from), launcher.ZoneOf(to)
		return relayer.Rule{
			Cut: (a == zone) != (b == zone),
		}
	})
}

// TestCutReplicaNeitherAcceptsNorVouches cuts one control replica off. It
// takes no change, a node that restarts beside it waits rather than taking
// what it says, and all is well within the bound after healing.
func TestCutReplicaNeitherAcceptsNorVouches(t *testing.T) {
	s := bare
	s.relay = true
	m := start(t, s)
	cut := m.leader()
	m.cutZone(cut)
	node := m.nodes[cut]
	node.Kill()
	_, err := m.at(cut).Change(t.Context(), m.request(m.version, timeout(2500)))
	apiErr := &administrator.Error{}
	m.is.True(errors.As(err, &apiErr))
	m.is.Equal(apiErr.Code, administrator.CodeUnavailable)
	m.is.NoErr(m.Restart(node))
	before := m.version
	m.until("the others accept", startTime, func() bool {
		response, err := m.at((cut+1)%3).Change(context.Background(), m.request(before, timeout(2600)))
		if err == nil {
			m.version = response.Number
		}
		return err == nil
	})
	m.is.True(!launcher.Ready(node.IP)) // it waits for a quorum's word
	m.relayer.SetRules(uncut)
	m.untilInForce(inForce)
}

// TestLostDisk removes a replica's disk between its runs. It comes back as a
// replica that may not vote until it is admitted; then another's disk goes.
func TestLostDisk(t *testing.T) {
	m := start(t, bare)
	for range 3 {
		m.change()
	}
	for i := range m.controls {
		p := m.controls[i]
		p.Kill()
		m.is.NoErr(os.RemoveAll(m.DataFolder(p.Name)))
		m.is.NoErr(m.Restart(p))
		m.until("the replica is admitted again", startTime, func() bool {
			status, err := m.at(i).Status(context.Background())
			return err == nil && status.Quorum && status.Voter && len(status.Members) == 3 && status.Number == m.version
		})
		m.change()
	}
	m.untilInForce(startTime)
}

// TestFrozenLeader freezes the leader for longer than the election time.
func TestFrozenLeader(t *testing.T) {
	m := start(t, bare)
	old := m.leader()
	m.controls[old].Signal(syscall.SIGSTOP)
	began := time.Now()
	m.at((old + 1) % 3).Status(t.Context())
	m.client = administrator.New([]string{
		launcher.OperatorsAddress(m.controls[(old+1)%3].IP),
		launcher.OperatorsAddress(m.controls[(old+2)%3].IP),
	}, launcher.Token, 6*time.Second)
	m.change()
	m.untilInForce(inForce - time.Since(began))
	m.controls[old].Signal(syscall.SIGCONT)
	m.change()
	m.untilInForce(inForce)
	is := is.New(t)
	m.until("the frozen leader follows", startTime, func() bool {
		status, err := m.at(old).Status(context.Background())
		return err == nil && status.Number == m.version
	})
	is.True(m.version > 2)
}
