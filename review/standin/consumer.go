package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const consumerTimeout = 4 * time.Second

// requests numbers the requests of a case.
var requests atomic.Int64

// newID returns an id for one attempt of a consumer.
func newID() string {
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+requests.Add(1))
}

// An answer is what a consumer gets.
type answer struct {
	id     string
	status int
	body   string
	stamp  string
	err    error
}

// call sends a request through the node at ip and reads the answer.
func (d *deployment) call(ip, method, target string, body io.Reader) answer {
	a := answer{
		id: newID(),
	}
	client := &http.Client{
		Timeout: consumerTimeout,
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address(ip, portOutbound))
			},
		},
	}
	request, err := http.NewRequest(method, "http://"+host+target, body)
	if err != nil {
		a.err = err
		return a
	}
	request.Header.Set(idHeader, a.id)
	request.Header.Set(deadlineHeader, fmt.Sprint(consumerTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	a.status = response.StatusCode
	a.stamp = response.Header.Get(stampHeader)
	a.body = string(content)
	a.err = err
	return a
}

// waitForService waits until a call to target is served through the node at ip.
func (d *deployment) waitForService(ip, target string) error {
	return waitUntil(target+" is served", func() bool {
		return d.call(ip, http.MethodGet, target, nil).status == http.StatusOK
	})
}
