package integration

import (
	"strings"
	"testing"
	"time"
)

// TestLinksSettle starts more nodes than one node keeps links to. Once the
// overlay has settled, links must not be closed and opened again. The test
// tolerates one closed link per five nodes.
func TestLinksSettle(t *testing.T) {
	s := allServices
	s.services = []string{
		"reservas", "reservas", "reservas", "cobros", "cobros", "cobros", "catalogo", "catalogo", "catalogo", "catalogo",
	}
	m := start(t, s)
	time.Sleep(8 * time.Second)
	before := m.countLogged("overlay: link down")
	time.Sleep(7 * time.Second)
	after := m.countLogged("overlay: link down")
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
