package integration

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
	"github.com/fireflymoor/fireflymoor/internal/responder"
)

const (
	// departedCallers is the number of callers that leave while their node is suspended.
	departedCallers = 30
	// departedName begins the names of their calls.
	departedName = "departed-"
	// sendingTime is the time in which calls that were read are sent to their targets.
	sendingTime = 500 * time.Millisecond
)

// TestSuspendedNodeForgetsDepartedCallers suspends a node while callers send calls to it
// and leave. It guards against calls that reach targets long after their callers left, as
// at a node whose processor is exhausted (GONE).
func TestSuspendedNodeForgetsDepartedCallers(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			m := start(t, topology{
				zones:    []string{"lima-norte"},
				replicas: 1,
				services: []string{"reservas", "reservas"},
				delay:    10 * time.Millisecond,
			})
			node := m.nodes[0]
			call := func(name string) {
				response := auditor.Call(node, method, "/reservas/"+name, name, "")
				m.is.NoErr(response.Err)
				m.is.Equal(response.Status, http.StatusOK)
			}
			for i := range 2 * departedCallers { // leaves open connections to both targets
				call(fmt.Sprintf("before-%d", i))
			}
			node.Signal(syscall.SIGSTOP)
			for i := range departedCallers {
				leave(m, node, method, fmt.Sprintf("%s%d", departedName, i))
			}
			node.Signal(syscall.SIGCONT)
			call("after")
			time.Sleep(sendingTime)
			runs, err := os.ReadFile(m.RunsFile())
			m.is.NoErr(err)
			m.is.True(strings.Contains(string(runs), "after"))
			m.is.Equal(strings.Count(string(runs), departedName), 0) // no call of a departed caller runs
		})
	}
}

// leave sends a call and closes the connection.
func leave(m *mesh, node *launcher.Process, method, name string) {
	conn, err := net.Dial("tcp", launcher.CallersAddress(node.IP))
	m.is.NoErr(err)
	_, err = fmt.Fprintf(conn, "%s /reservas/%s HTTP/1.1\r\nHost: a\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody",
		method, name, responder.CallHeader, name)
	m.is.NoErr(err)
	m.is.NoErr(conn.Close())
}
