package integration

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor/pkg/administrator"
)

// outcome is what an operator was told of a change.
type outcome struct {
	conflict bool
	number   uint64
}

// versions is the model of one team's version under compare-and-set.
var versions = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, parent, told := state.(uint64), input.(uint64), output.(outcome)
		if told.conflict {
			return current != parent && current == told.number, current
		}
		return current == parent && told.number > current, told.number
	},
}

// TestAcceptHistory has operators change one team through all replicas, with
// leaders killed and frozen meanwhile, and checks that the history of what
// they were told is linearizable. An operator that does not learn the outcome
// sends the same change again until it does.
func TestAcceptHistory(t *testing.T) {
	m := start(t, bare)
	history := []porcupine.Operation{
		{
			Input:  uint64(0),
			Output: outcome{number: m.version},
		},
	}
	began := time.Now()
	var lock sync.Mutex
	var group sync.WaitGroup
	for i := range 5 {
		group.Go(func() {
			parent := m.version
			for n := range 12 {
				request := m.request(parent, timeout(2000+uint64(100*i+n)))
				call := time.Since(began).Nanoseconds() + 1
				told := m.insist(request, rand.IntN(len(m.controls)))
				lock.Lock()
				history = append(history, porcupine.Operation{
					ClientId: i + 1,
					Input:    parent,
					Output:   told,
					Call:     call,
					Return:   time.Since(began).Nanoseconds() + 1,
				})
				lock.Unlock()
				parent = told.number
			}
		})
	}
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		leader := m.controls[m.leader()]
		leader.Kill()
		m.is.NoErr(m.Restart(leader))
	}
	group.Wait()
	accepted := 0
	for _, operation := range history {
		if !operation.Output.(outcome).conflict {
			accepted++
		}
	}
	t.Logf("%d changes, %d accepted", len(history), accepted)
	m.is.True(porcupine.CheckOperations(versions, history))
}

// insist sends a change, to one replica after another, until its outcome is
// known.
func (m *mesh) insist(request administrator.ChangeRequest, first int) outcome {
	for i := first; ; i++ {
		response, err := m.at(i%len(m.controls)).Change(context.Background(), request)
		apiErr := &administrator.Error{}
		switch {
		case err == nil:
			return outcome{number: response.Number}
		case errors.As(err, &apiErr) && apiErr.Code == administrator.CodeConflict:
			return outcome{
				conflict: true,
				number:   apiErr.Parent,
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
