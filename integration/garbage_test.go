package integration

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/auditor"
	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

// TestGarbage sends random bytes, truncated requests and oversized headers to
// every listener. No process may exit, and calls and changes must still work.
func TestGarbage(t *testing.T) {
	m := start(t, minimal)
	node, control := m.nodes[0], m.controls[0]
	addresses := []string{
		launcher.OverlayAddress(node.IP), launcher.CallsAddress(node.IP), launcher.CallersAddress(node.IP),
		launcher.PlatformAddress(node.IP), launcher.OverlayAddress(control.IP), launcher.PlatformAddress(control.IP),
		launcher.OperatorsAddress(control.IP),
	}
	for _, address := range addresses {
		for _, garbage := range []string{
			strings.Repeat("\xff\x00\x13garbage", 5000),
			"POST /reservas HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf",
			"GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 1<<20),
			"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
			"",
		} {
			conn, err := net.Dial("tcp", address)
			m.is.NoErr(err)
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			_, _ = conn.Write([]byte(garbage))
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1<<20))
			m.is.NoErr(conn.Close())
		}
	}
	for path, body := range map[string]string{
		"/v1/targets":                             `{"id":"UPPER","service":"x","address":"nowhere","slots":0}`,
		"/v1/targets/nobody/drain":                "",
		"/v1/targets?" + strings.Repeat("x", 100): strings.Repeat("{", 100_000),
	} {
		response, err := http.Post("http://"+launcher.PlatformAddress(node.IP)+path, "application/json", bytes.NewReader([]byte(body)))
		m.is.NoErr(err)
		m.is.NoErr(response.Body.Close())
		m.is.True(response.StatusCode >= 400 && response.StatusCode < 500)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+launcher.OperatorsAddress(control.IP)+"/v1/teams/"+launcher.Team+"/changes", strings.NewReader("{}"))
	m.is.NoErr(err)
	request.Header.Set("Authorization", "Bearer wrong")
	response, err := http.DefaultClient.Do(request)
	m.is.NoErr(err)
	m.is.NoErr(response.Body.Close())
	m.is.Equal(response.StatusCode, http.StatusUnauthorized)
	call := auditor.Call(node, http.MethodPost, "/reservas/x", "after", "body")
	m.is.NoErr(call.Err)
	m.is.Equal(call.Outcome, "answered")
	m.change()
	m.waitInForce(inForceTimeout)
}
