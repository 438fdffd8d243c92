package integration

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// testWindow is how long idempotency keys are remembered in these tests. It
// is longer than an auditor sends one call again.
const testWindow = 8 * time.Second

func keyed() shape {
	s := busy
	s.window = testWindow
	return s
}

// untilKeys waits until calls with a key are served: no process of a fresh
// system knows that it holds all that it granted.
func (m *mesh) untilKeys() {
	m.t.Helper()
	n := 0
	m.until("calls with a key are served", testWindow+startTime, func() bool {
		for _, node := range m.nodes {
			n++
			name := fmt.Sprint("first-", n)
			a := auditor.Call(node, http.MethodPost, "/reservas/"+name, name, "", labeler.IdempotencyKey, name)
			if a.Outcome != "answered" {
				return false
			}
		}
		return true
	})
}

// startKeyed starts callers that send each call several times with its key.
func (m *mesh) startKeyed(callers int) *load {
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

// TestKeys sends calls with a key again through every node: each runs once,
// and every resend gets the first answer. The key of another call is refused.
// None runs twice while keepers restart one by one, nodes and targets are
// killed and frozen, zones are cut and connections go silent.
func TestKeys(t *testing.T) {
	m := start(t, keyed())
	m.untilKeys()
	path := "/reservas/one"
	first := auditor.Call(m.nodes[0], http.MethodPost, path, "one", "body", labeler.IdempotencyKey, "key")
	m.is.Equal(first.Status, http.StatusOK)
	for _, node := range m.nodes {
		again := auditor.Call(node, http.MethodPost, path, "one-again", "body", labeler.IdempotencyKey, "key")
		m.is.Equal(again, first) // the first answer, which names the first call
	}
	other := auditor.Call(m.nodes[1], http.MethodPost, "/reservas/other", "other", "body", labeler.IdempotencyKey, "key")
	m.is.Equal(other.Status, http.StatusUnprocessableEntity)
	m.is.Equal(other.Outcome, "not-run")
	m.restartKeepers()
	m.disturbKeyed()
}

// restartKeepers restarts the nodes one by one under calls with keys.
func (m *mesh) restartKeepers() {
	l := m.startKeyed(4)
	for _, node := range m.nodes {
		node.Kill()
		m.is.NoErr(m.Restart(node))
		m.until("the node's claims are complete", testWindow, func() bool {
			a := auditor.Call(node, http.MethodPost, "/reservas/late", "late", "body", labeler.IdempotencyKey, "late-"+node.Name)
			return launcher.Ready(node.IP) && a.Outcome == "answered"
		})
	}
	v := l.end()
	m.is.True(v.Answered > 100)
}

// disturbKeyed kills nodes and targets, cuts zones and silences connections
// under calls with keys.
func (m *mesh) disturbKeyed() {
	l := m.startKeyed(12)
	for i := range 3 {
		m.nodes[2*i].Kill()
		time.Sleep(300 * time.Millisecond)
		m.is.NoErr(m.Restart(m.nodes[2*i]))
		m.cutZone(i)
		time.Sleep(time.Second)
		m.relayer.SetRules(uncut)
		m.targets[2*i+1].Kill()
		m.relayer.Silence(func(string, string) bool { return true })
		m.nodes[(2*i+3)%6].Signal(syscall.SIGSTOP)
		time.Sleep(500 * time.Millisecond)
		m.nodes[(2*i+3)%6].Signal(syscall.SIGCONT)
		m.is.NoErr(m.Restart(m.targets[2*i+1]))
	}
	v := l.end()
	m.is.True(v.Answered > 100)
}
