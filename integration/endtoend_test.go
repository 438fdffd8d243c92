package integration

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/fireflymoor/fireflymoor/internal/auditor"
)

// TestEndToEnd waits until the sample configuration is in force on every node
// and calls every service through every node, so that most calls are forwarded
// to the node of another instance.
func TestEndToEnd(t *testing.T) {
	m := start(t, allServices)
	for i, node := range m.nodes {
		for _, service := range []string{"catalogo", "reservas", "cobros"} {
			name := fmt.Sprintf("%s-%d", service, i)
			body := "body of " + name
			response := auditor.Call(node, http.MethodPost, "/"+service+"/x", name, body)
			m.is.NoErr(response.Err)
			m.is.Equal(response.Status, http.StatusOK)
			m.is.Equal(response.Outcome, "answered")
			m.is.Equal(response.Call, name)
			m.is.Equal(response.Body, name+" /"+service+"/x\n"+body)
		}
	}
	m.change()
	m.waitInForce(inForceTimeout)
}
