package integration

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// keyWindow is the retention time of idempotency keys in these tests. It is
// longer than the period in which an auditor sends one call repeatedly.
const keyWindow = 8 * time.Second

func keyedTopology() topology {
	s := relayed
	s.window = keyWindow
	return s
}

// waitForKeys waits until calls with a key are served by every node. At first, no
// node of a newly started system knows that it holds all claims that it has
// granted, so such calls are refused.
func (m *mesh) waitForKeys() {
	m.t.Helper()
	n := 0
	m.waitUntil("calls with a key are served", keyWindow+startTimeout, func() bool {
		for _, node := range m.nodes {
			n++
			name := fmt.Sprint("first-", n)
			response := auditor.Call(node, http.MethodPost, "/reservas/"+name, name, "", annotator.IdempotencyKey, name)
			if response.Outcome != "answered" {
				return false
			}
		}
		return true
	})
}

// startKeyedLoad starts callers that send each call several times with its key.
func (m *mesh) startKeyedLoad(callers int) *load {
	return &load{
		m: m,
		Auditor: auditor.Start(auditor.Options{
			Callers: callers,
			Method:  http.MethodPost,
			Service: "reservas",
			Nodes:   m.allNodes,
			Keyed:   true,
		}),
	}
}

// TestIdempotencyKeys sends a call with a key again through every node. It must
// run once, and each repetition must get the first response. Another call with
// the same key must be refused. No call may run twice while keepers restart one
// by one, nodes and targets are killed, nodes are suspended, zones are
// partitioned and connections become unresponsive.
func TestIdempotencyKeys(t *testing.T) {
	m := start(t, keyedTopology())
	m.waitForKeys()
	path := "/reservas/one"
	first := auditor.Call(m.nodes[0], http.MethodPost, path, "one", "body", annotator.IdempotencyKey, "key")
	m.is.Equal(first.Status, http.StatusOK)
	for _, node := range m.nodes {
		again := auditor.Call(node, http.MethodPost, path, "one-again", "body", annotator.IdempotencyKey, "key")
		m.is.Equal(again, first) // the first response, which names the first call
	}
	other := auditor.Call(m.nodes[1], http.MethodPost, "/reservas/other", "other", "body", annotator.IdempotencyKey, "key")
	m.is.Equal(other.Status, http.StatusUnprocessableEntity)
	m.is.Equal(other.Outcome, "not-run")
	m.restartNodes()
	m.injectFaultsKeyed()
}

// restartNodes kills and restarts the nodes, which keep the claims, one by one
// under calls with keys.
func (m *mesh) restartNodes() {
	l := m.startKeyedLoad(4)
	for _, node := range m.nodes {
		node.Kill()
		m.is.NoErr(m.Restart(node))
		m.waitUntil("the node's claims are complete", keyWindow, func() bool {
			response := auditor.Call(node, http.MethodPost, "/reservas/late", "late", "body", annotator.IdempotencyKey, "late-"+node.Name)
			return launcher.Ready(node.IP) && response.Outcome == "answered"
		})
	}
	report := l.finish()
	m.is.True(report.Answered > 100)
}

// answersPerRound is the number of calls that must be answered after the faults
// of a round have ended.
const answersPerRound = 40

// injectFaultsKeyed kills nodes and targets, suspends nodes, isolates zones and
// makes connections unresponsive under calls with keys. After each round of
// faults calls must be answered again.
func (m *mesh) injectFaultsKeyed() {
	l := m.startKeyedLoad(12)
	for i := range 3 {
		m.nodes[2*i].Kill()
		time.Sleep(300 * time.Millisecond)
		m.is.NoErr(m.Restart(m.nodes[2*i]))
		m.isolateZone(i)
		time.Sleep(time.Second)
		m.relayer.SetRules(passAll)
		m.targets[2*i+1].Kill()
		m.relayer.Blackhole(func(string, string) bool { return true })
		m.nodes[(2*i+3)%6].Signal(syscall.SIGSTOP)
		time.Sleep(500 * time.Millisecond)
		m.nodes[(2*i+3)%6].Signal(syscall.SIGCONT)
		m.is.NoErr(m.Restart(m.targets[2*i+1]))
		l.waitForAnswers(answersPerRound)
	}
	report := l.finish()
	m.is.True(report.Answered > 100)
}
