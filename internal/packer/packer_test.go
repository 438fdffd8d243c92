package packer

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

// requestHeader returns the headers of a request between nodes, as a call on the
// users' platform causes it.
func requestHeader() http.Header {
	return http.Header{
		"X-Request-Id":      {"418af5b6fd4523b9"},
		annotator.CallID:    {"418af5b6fd4523b9.sidecar-lima-norte-22.332"},
		annotator.Deadline:  {"2499"},
		annotator.Once:      {"yes"},
		annotator.Origin:    {"huvo11a"},
		annotator.Rank:      {"1"},
		annotator.TargetID:  {"sidecar-lima-centro-10/i-199a154136"},
		annotator.Objective: {"999"},
		"Content-Type":      {"application/json"},
	}
}

// roundTripRequest returns the headers of a request after packing and unpacking.
func roundTripRequest(p *Packer, request http.Header) http.Header {
	packed := request.Clone()
	p.Pack(packed)
	p.Unpack(packed)
	return packed
}

// roundTripResponse returns the headers of the response to a request after packing
// and unpacking.
func roundTripResponse(p *Packer, response, request http.Header) http.Header {
	packed := response.Clone()
	p.pack(packed, p.readIDs(request))
	p.UnpackResponse(packed, request)
	return packed
}

func encodedSize(is *is.I, header http.Header) int {
	var b bytes.Buffer
	is.NoErr(header.Write(&b))
	return b.Len()
}

// TestPackedRequestSize checks the size of a packed request. Each packed header may
// add only its code and a separator to its value, and all of them together one
// header name.
func TestPackedRequestSize(t *testing.T) {
	is := is.New(t)
	p := New("sidecar-lima-centro-10", "X-Request-Id")
	want, packed := requestHeader(), requestHeader()
	p.Pack(packed)
	maxSize := len(annotator.Packed + ": \r\n")
	for _, values := range want {
		maxSize += len(values[0]) + len("a\t")
	}
	is.True(encodedSize(is, packed) <= maxSize)
	p.Unpack(packed)
	is.Equal(packed, want)
}

// TestPackedResponseSize checks the size of a packed response. Values repeated from
// the request must take only their last bytes, and only values that the target
// alone knows are written in full.
func TestPackedResponseSize(t *testing.T) {
	is := is.New(t)
	caller := New("caller", "X-Request-Id", "X-Stamp")
	target := New("sidecar-lima-centro-10", "X-Request-Id", "X-Stamp")
	sent := requestHeader()
	caller.Pack(sent)
	target.Unpack(sent)
	is.Equal(sent, requestHeader())
	want := http.Header{
		"X-Request-Id":    {"418af5b6fd4523b9"},
		"X-Stamp":         {"3d.182.5d8.0.95b500a8f039d10e"},
		annotator.CallID:  {"418af5b6fd4523b9.sidecar-lima-norte-22.332"},
		annotator.Outcome: {"answered"},
		annotator.Load:    {"0.28"},
		"Content-Type":    {"application/octet-stream"},
	}
	packed := want.Clone()
	target.pack(packed, target.readIDs(sent))
	literalSize := len(want.Get("X-Stamp")) + len(want.Get(annotator.Load))
	is.True(encodedSize(is, packed) <= len(annotator.Packed+": \r\n")+literalSize+len(want)*len("a=332\t"))
	caller.UnpackResponse(packed, requestHeader())
	is.Equal(packed, want)
}

// TestResponseToOtherRequest unpacks a response with a request that it does not
// belong to. The call id of the response must not be taken for that of the request.
func TestResponseToOtherRequest(t *testing.T) {
	is := is.New(t)
	p := New("node")
	response := http.Header{
		annotator.CallID: {"call.332"},
	}
	p.pack(response, p.readIDs(http.Header{annotator.CallID: {"call.332"}}))
	p.UnpackResponse(response, http.Header{annotator.CallID: {"call.333"}})
	is.Equal(response.Get(annotator.CallID), "")
}

// TestArbitraryHeaders checks that packing and unpacking restores requests and their
// responses with arbitrary values.
func TestArbitraryHeaders(t *testing.T) {
	value := rapid.OneOf(
		rapid.SampledFrom([]string{"", "answered", "id", "id.node.1", "node/a", "node/a/b", "=id", "~a", "&a", "a\tb", "/"}),
		rapid.StringMatching(`[ -~]{0,8}`),
	)
	headers := rapid.MapOf(
		rapid.SampledFrom([]string{"X-Request-Id", annotator.CallID, annotator.TargetID, annotator.Outcome, "Accept", "X-Unknown"}),
		rapid.SliceOfN(value, 1, 2),
	)
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		p := New("node", "X-Request-Id")
		request := http.Header(headers.Draw(r, "request"))
		// A target's id begins with the name of the node that the request goes to.
		if id := request.Get(annotator.TargetID); strings.Contains(id, "/") && !strings.HasPrefix(id, "node/") {
			request.Del(annotator.TargetID)
		}
		is.Equal(roundTripRequest(p, request), request)
		response := http.Header(headers.Draw(r, "answer"))
		response.Del(annotator.TargetID)
		is.Equal(roundTripResponse(p, response, request), response)
	})
}

// TestUnusualIDs packs ids that an earlier version lost: a call id that is equal to
// the caller's id, and an id from a caller that contains the separator.
func TestUnusualIDs(t *testing.T) {
	cases := map[string]http.Header{
		"call's id is its caller's": {
			"X-Request-Id":   {"id"},
			annotator.CallID: {"id"},
		},
		"tab in an id": {
			"X-Request-Id":   {"a\tb"},
			annotator.CallID: {"a\tb.node.1"},
		},
	}
	for name, header := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New("node", "X-Request-Id")
			is.Equal(roundTripRequest(p, header), header)
			is.Equal(roundTripResponse(p, header, header), header)
			is.Equal(roundTripResponse(p, header, http.Header{}), header)
		})
	}
}

// TestUnpackableHeaders checks that headers that cannot be packed are left unchanged,
// that a packed header set by a caller is not taken for one written by Pack, and
// that a malformed packed header restores nothing.
func TestUnpackableHeaders(t *testing.T) {
	is := is.New(t)
	p := New("node")
	header := http.Header{
		annotator.Reason:  {"a\ttab"},
		annotator.Outcome: {"one", "two"},
		"X-Unknown":       {"stays"},
		annotator.Once:    {""},
		annotator.Packed:  {"cforged"},
	}
	p.Pack(header)
	is.Equal(header.Get(annotator.Packed), "o")
	p.Unpack(header)
	is.Equal(header, http.Header{
		annotator.Reason:  {"a\ttab"},
		annotator.Outcome: {"one", "two"},
		"X-Unknown":       {"stays"},
		annotator.Once:    {""},
	})
	for _, malformed := range [][]string{{""}, {"\t\t"}, {"?what"}, {"c1", "c2"}, {"u~"}, {"u~?"}, {"u~aa"}, {"u="}, {"u=a"}, {"u&a"}, {"c&a"}} {
		header = http.Header{
			annotator.Packed: malformed,
		}
		p.Unpack(header)
		is.Equal(header, http.Header{})
	}
}

// TestHandler responds in each way that a handler may. The responses must be packed,
// and the server must add no headers to them.
func TestHandler(t *testing.T) {
	cases := map[string]func(w http.ResponseWriter){
		"nothing": func(http.ResponseWriter) {},
		"body":    func(w http.ResponseWriter) { _, _ = w.Write([]byte("body")) },
		"flushed": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
		},
	}
	for name, write := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New("node")
			server := httptest.NewServer(p.Handler(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				w.Header().Set(annotator.CallID, request.Header.Get(annotator.CallID))
				write(w)
			})))
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
			is.NoErr(err)
			request.Header.Set(annotator.CallID, "call")
			p.Pack(request.Header)
			response, err := server.Client().Do(request)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			is.Equal(response.Header.Get(annotator.Packed), "c=all")
			is.Equal(response.Header.Get("Date"), "")
			is.Equal(response.Header.Get("Content-Type"), "")
		})
	}
}
