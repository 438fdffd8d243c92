package integration

import (
	"strings"
	"testing"
	"time"
)

const (
	// quietTime is how long no link may go down before the overlay counts as
	// settled, and observedTime how long it is observed afterwards.
	quietTime    = 5 * time.Second
	observedTime = 7 * time.Second
	settleTime   = 30 * time.Second
)

// TestLinksSettle starts more nodes than one node keeps links to. The overlay
// must settle, and links must not be closed and opened again afterwards. The test
// tolerates one closed link per five nodes.
func TestLinksSettle(t *testing.T) {
	s := allServices
	s.services = []string{
		"reservas", "reservas", "reservas", "cobros", "cobros", "cobros", "catalogo", "catalogo", "catalogo", "catalogo",
	}
	m := start(t, s)
	const message = "overlay: link down"
	before, changed := m.countLogged(message), time.Now()
	m.waitUntil("the overlay has settled", settleTime, func() bool {
		if count := m.countLogged(message); count != before {
			before, changed = count, time.Now()
		}
		return time.Since(changed) > quietTime
	})
	time.Sleep(observedTime)
	after := m.countLogged(message)
	t.Logf("links went down %d times while settling and %d times afterwards", before, after-before)
	m.is.True(after-before <= len(m.nodes)/5)
}

// countLogged returns how often the nodes have logged a message in total.
func (m *mesh) countLogged(message string) int {
	n := 0
	for _, p := range m.nodes {
		n += strings.Count(p.Log(), message)
	}
	return n
}
