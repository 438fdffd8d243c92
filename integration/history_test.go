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

// outcome is the result of a change as its sender received it. In a conflict,
// number is the current version; otherwise it is the accepted one.
type outcome struct {
	conflict bool
	number   uint64
}

// versions models one team's version number as a compare-and-set register.
var versions = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, parent, result := state.(uint64), input.(uint64), output.(outcome)
		if result.conflict {
			return current != parent && current == result.number, current
		}
		return current == parent && result.number > current, result.number
	},
}

// TestChangeHistory has concurrent clients change one team through all replicas
// while leaders are killed and restarted, and checks that the history of the
// outcomes is linearizable. A client whose change has no known outcome sends the
// same change again until it has one.
func TestChangeHistory(t *testing.T) {
	m := start(t, minimal)
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
				request := m.request(parent, timeoutValues(2000+uint64(100*i+n)))
				call := time.Since(began).Nanoseconds() + 1
				result := m.changeUntilDecided(request, rand.IntN(len(m.controls)))
				lock.Lock()
				history = append(history, porcupine.Operation{
					ClientId: i + 1,
					Input:    parent,
					Output:   result,
					Call:     call,
					Return:   time.Since(began).Nanoseconds() + 1,
				})
				lock.Unlock()
				parent = result.number
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

// changeUntilDecided sends a change to one replica after another until its
// outcome is known.
func (m *mesh) changeUntilDecided(request administrator.ChangeRequest, first int) outcome {
	for i := first; ; i++ {
		response, err := m.replicaClient(i%len(m.controls)).Change(context.Background(), request)
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
