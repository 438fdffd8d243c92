package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// nextID returns the id of a new request.
func nextID() string {
	return fmt.Sprintf("%08x", lastRequest.Add(1))
}

// answer is what a consumer got for one request.
type answer struct {
	id, body, stamp string
	status          int
	err             error
}

// consumer sends requests to the outbound address of a node.
type consumer struct {
	log    *record
	client http.Client
}

func newConsumer(log *record) *consumer {
	return &consumer{
		log: log,
		client: http.Client{
			Timeout: 10 * time.Second,
		},
	}
}

// send sends one request with a path as it is written, and returns the answer.
func (c *consumer) send(ctx context.Context, p *process, method, host, target, body string, budget time.Duration) answer {
	a := answer{
		id: nextID(),
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+hostPort(p.ip, portOutbound)+"/", strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.URL = &url.URL{
		Scheme: "http",
		Host:   hostPort(p.ip, portOutbound),
		Opaque: target,
	}
	request.Host = host
	request.Header.Set("X-Fireflymoor-Request-Id", a.id)
	request.Header.Set("X-Fireflymoor-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	c.log.printf("sent: %s to %s: %s %s, host %s", a.id, p.name, method, target, host)
	response, err := c.client.Do(request)
	if err != nil {
		a.err = err
		c.log.printf("answer: %s gets none: %v", a.id, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	a.err = err
	a.status = response.StatusCode
	a.body = string(content)
	a.stamp = response.Header.Get("X-Fireflymoor-Server-Stamp")
	c.log.printf("answer: %s gets %d, stamp %q, %q", a.id, a.status, a.stamp, strings.TrimSpace(a.body))
	return a
}
