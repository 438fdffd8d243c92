package integration

import (
	"fmt"
	"net/http"
	"testing"
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
			a := call(node, http.MethodPost, "/"+service+"/x", name, body)
			m.is.NoErr(a.err)
			m.is.Equal(a.status, http.StatusOK)
			m.is.Equal(a.outcome, "answered")
			m.is.Equal(a.call, name)
			m.is.Equal(a.body, name+" /"+service+"/x\n"+body)
		}
	}
	m.change()
	m.untilInForce(inForce)
}
