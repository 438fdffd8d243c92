// Package sender sends one request over an http.Transport and says truly how
// far it came. It never sends twice, and keeps net/http from doing so.
package sender

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/labeler"
)

// NewTransport returns a transport for one kind of peer, over connections
// that dial opens. One that has been idle longer than idle is not used again.
func NewTransport(maxConns int, dial func(ctx context.Context, network, address string) (net.Conn, error), idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
}

// Prepare returns a copy of a caller's request for an address. Its context
// is the call's own.
func Prepare(ctx context.Context, in *http.Request, address string, body io.ReadCloser, length int64) *http.Request {
	header := in.Header.Clone()
	labeler.CleanHop(header)
	labeler.SetDeadline(ctx, header)
	out := &http.Request{
		Method:        in.Method,
		Host:          in.Host,
		Header:        header,
		Body:          body,
		ContentLength: length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		URL: &url.URL{
			Scheme:   "http",
			Host:     address,
			Path:     in.URL.Path,
			RawPath:  in.URL.RawPath,
			RawQuery: in.URL.RawQuery,
		},
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	if length == 0 {
		out.Body = emptyBody(in.Method)
	}
	return out.WithContext(ctx)
}

// emptyBody returns a body without bytes. For the methods that net/http sends
// again by itself it is one that net/http takes for a stream.
func emptyBody(method string) io.ReadCloser {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return noReplay{}
	}
	return http.NoBody
}

type noReplay struct{}

// Read implements io.Reader.
func (noReplay) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Close implements io.Closer.
func (noReplay) Close() error {
	return nil
}

// Send sends a request once. NotRun means that no connection was had, so that
// no byte left; any later failure is Unknown.
func Send(transport http.RoundTripper, request *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	connected := false
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected = true
		},
	}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err == nil {
		return response, fireflymoor.Answered, nil
	}
	err = errors.Wrapf(err, "sender %s: send", request.URL.Host)
	if !connected {
		return nil, fireflymoor.NotRun, err
	}
	return nil, fireflymoor.Unknown, err
}
