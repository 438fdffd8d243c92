package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// lateAnnouncementTime is how long a late announcement is given to take effect.
const lateAnnouncementTime = 1500 * time.Millisecond

// announce announces a target with a start and a sequence number at a node.
func (m *mesh) announce(node *launcher.Process, id, address string, sequence int, draining bool) {
	m.t.Helper()
	body := fmt.Sprintf(`{"id":%q,"service":"reservas","address":%q,"slots":2,"started":1000,"sequence":%d,"draining":%t}`,
		id, address, sequence, draining)
	m.send(http.MethodPost, node, "/v1/targets", body)
}

// send sends a request to a node's platform address, which must accept it.
func (m *mesh) send(method string, node *launcher.Process, path, body string) {
	m.t.Helper()
	request, err := http.NewRequestWithContext(m.t.Context(), method, "http://"+launcher.PlatformAddress(node.IP)+path, strings.NewReader(body))
	m.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	m.is.NoErr(err)
	m.is.NoErr(response.Body.Close())
	m.is.Equal(response.StatusCode, http.StatusOK)
}

// TestNoticesSurviveRestart guards against calls to a target that has left: its
// node, killed after it had acknowledged the notice, took a late announcement for
// news after the start.
func TestNoticesSurviveRestart(t *testing.T) {
	m := start(t, topology{
		zones:    []string{"lima-norte", "lima-centro", "lima-sur"},
		replicas: 3,
		services: []string{"reservas"},
	})
	node := m.nodes[0]
	notices := map[string]func(id, address string){
		"left": func(id, _ string) {
			m.send(http.MethodDelete, node, "/v1/targets/"+id, "")
		},
		"draining": func(id, address string) {
			m.announce(node, id, address, 6, true)
		},
		"drained": func(id, _ string) {
			m.send(http.MethodPost, node, "/v1/targets/"+id+"/drain", "")
		},
	}
	addresses := map[string]string{}
	for id, notify := range notices {
		addresses[id] = fmt.Sprintf("%s:%d", node.IP, 40000+len(addresses))
		m.announce(node, id, addresses[id], 5, false)
		notify(id, addresses[id])
	}
	node.Kill()
	m.is.NoErr(m.Restart(node))
	m.waitUntil("the node is ready again", startTimeout, func() bool { return launcher.Ready(node.IP) })
	for id, address := range addresses {
		m.announce(node, id, address, 4, false)
	}
	time.Sleep(lateAnnouncementTime)
	targets, err := m.client.Targets(t.Context())
	m.is.NoErr(err)
	for _, target := range targets {
		for id := range notices {
			if strings.HasSuffix(target.ID, "/"+id) && target.State == "ready" {
				t.Errorf("target %s is in use again", target.ID)
			}
		}
	}
}
