// Package sender sends each request at most once, without automatic retries,
// and reports whether a failed request may have run.
package sender

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

// Prepare returns a copy of a caller's request that is addressed to address, with
// the given body and its length in bytes. The copy has ctx as its context, its
// deadline header holds the time left until the deadline of ctx, and hop-by-hop
// headers are removed.
func Prepare(ctx context.Context, in *http.Request, address string, body io.ReadCloser, length int64) *http.Request {
	header := in.Header.Clone()
	annotator.RemoveHopByHop(header)
	annotator.SetDeadline(ctx, header)
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
		out.Body = http.NoBody
	}
	return out.WithContext(ctx)
}

// Send sends a request once. The outcome NotRun means that no connection was
// available, so that no byte of the request was sent. The outcome of any later
// failure is Unknown.
func Send(transport http.RoundTripper, request *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	response, err := transport.RoundTrip(request)
	if err == nil {
		return response, fireflymoor.Answered, nil
	}
	err = errors.Wrapf(err, "sender %s: send", request.URL.Host)
	if NotSent(err) {
		return nil, fireflymoor.NotRun, err
	}
	return nil, fireflymoor.Unknown, err
}
