package integration

import (
	"strings"
	"testing"
	"time"
)

// TestLinksSettle starts more nodes than one keeps links to. Once their links
// are settled, none is closed and opened again.
func TestLinksSettle(t *testing.T) {
	s := lima
	s.services = []string{
		"reservas", "reservas", "reservas", "cobros", "cobros", "cobros", "catalogo", "catalogo", "catalogo", "catalogo",
	}
	m := start(t, s)
	time.Sleep(8 * time.Second)
	before := m.count("overlay: link down")
	time.Sleep(7 * time.Second)
	after := m.count("overlay: link down")
	t.Logf("links went down %d times before and %d times while settled", before, after-before)
	m.is.True(after-before <= len(m.nodes)/5)
}

// count returns how often all nodes have logged a message.
func (m *mesh) count(message string) int {
	n := 0
	for _, p := range m.nodes {
		n += strings.Count(p.Log(), message)
	}
	return n
}
