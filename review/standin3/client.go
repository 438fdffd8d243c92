package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// answer is what a caller saw of one request. The status is 0 if the connection ended
// without a complete answer.
type answer struct {
	status int
	stamp  string
	body   string
	sentAt time.Time
	endAt  time.Time
	err    error
}

// caller sends requests to the node of one machine, each on a new connection.
type caller struct {
	sidecar *sidecar
	record  *record
}

// head returns the head of a request without the empty line at its end.
func head(method, uri, host, id string, deadline time.Duration, fields ...string) string {
	lines := append([]string{
		method + " " + uri + " HTTP/1.1",
		"Host: " + host,
		"X-Fireflymoor-Request-Id: " + id,
		fmt.Sprintf("X-Fireflymoor-Deadline-Ms: %d", deadline.Milliseconds()),
	}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// send sends the parts of a request, with a pause before each part but the first, and
// reads the answer.
func (c *caller) send(id, method string, timeout, between time.Duration, parts ...string) answer {
	a := answer{
		sentAt: time.Now(),
	}
	c.record.note("caller at %s: sends request %s: %s", c.sidecar.process.Name, id, strings.SplitN(parts[0], "\r\n", 2)[0])
	a.err = c.exchange(&a, method, timeout, between, parts)
	a.endAt = time.Now()
	if a.err != nil {
		a.status = 0
		c.record.note("caller: request %s ends after %.3f s without a complete answer: %v", id, a.endAt.Sub(a.sentAt).Seconds(), a.err)
		return a
	}
	c.record.note("caller: request %s is answered after %.3f s: %d, stamp %q, body %q", id,
		a.endAt.Sub(a.sentAt).Seconds(), a.status, a.stamp, strings.TrimSpace(a.body))
	return a
}

func (c *caller) exchange(a *answer, method string, timeout, between time.Duration, parts []string) error {
	conn, err := net.DialTimeout("tcp", address(c.sidecar.ip, portOutbound), time.Second)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	for i, part := range parts {
		if i > 0 {
			time.Sleep(between)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return errors.Wrap(err, "send")
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{
		Method: method,
	})
	if err != nil {
		return errors.Wrap(err, "read the answer")
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read the body of the answer")
	}
	a.status = response.StatusCode
	a.stamp = response.Header.Get("X-Fireflymoor-Server-Stamp")
	a.body = string(body)
	return nil
}

// get makes one short request and returns its answer.
func (c *caller) get(uri, host, id string, deadline time.Duration) answer {
	return c.send(id, http.MethodGet, deadline, 0, head(http.MethodGet, uri, host, id, deadline)+"\r\n")
}
