package integration

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/fireflymoor/fireflymoor/internal/auditor"
)

// TestWholePath accepts a template, has it in force on every node, and calls
// every service through every node, so that most calls cross to the node of
// another instance.
func TestWholePath(t *testing.T) {
	m := start(t, lima)
	for i, node := range m.nodes {
		for _, service := range []string{"catalogo", "reservas", "cobros"} {
			name := fmt.Sprintf("%s-%d", service, i)
			body := "body of " + name
			a := auditor.Call(node, http.MethodPost, "/"+service+"/x", name, body)
			m.is.NoErr(a.Err)
			m.is.Equal(a.Status, http.StatusOK)
			m.is.Equal(a.Outcome, "answered")
			m.is.Equal(a.Call, name)
			m.is.Equal(a.Body, name+" /"+service+"/x\n"+body)
		}
	}
	m.change()
	m.untilInForce(inForce)
}
