package packer

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflymoor/fireflymoor/internal/labeler"
)

// heads are the headers of a request between nodes, as a caller on the users'
// platform causes it.
func heads() http.Header {
	return http.Header{
		"X-Request-Id":   {"418af5b6fd4523b9"},
		labeler.CallID:   {"418af5b6fd4523b9.sidecar-lima-norte-22.332"},
		labeler.Deadline: {"2499"},
		labeler.Once:     {"yes"},
		labeler.Origin:   {"huvo11a"},
		labeler.Rank:     {"1"},
		labeler.TargetID: {"sidecar-lima-centro-10/i-199a154136"},
		labeler.Within:   {"999"},
		"Content-Type":   {"application/json"},
	}
}

// crossed returns a request's headers after they were packed and unpacked.
func crossed(p *Packer, request http.Header) http.Header {
	packed := request.Clone()
	p.Pack(packed)
	p.Unpack(packed)
	return packed
}

// answered returns the headers of the answer to a request after they were
// packed and unpacked.
func answered(p *Packer, answer, request http.Header) http.Header {
	packed := answer.Clone()
	p.pack(packed, p.ids(request))
	p.UnpackAnswer(packed, request)
	return packed
}

func size(is *is.I, header http.Header) int {
	var b bytes.Buffer
	is.NoErr(header.Write(&b))
	return b.Len()
}

// TestThinLink has a call cross a thin link. Each packed header costs a letter and
// a separator beside its value, and all of them together one name.
func TestThinLink(t *testing.T) {
	is := is.New(t)
	p := New("sidecar-lima-centro-10", "X-Request-Id")
	full, packed := heads(), heads()
	p.Pack(packed)
	most := len(labeler.Packed + ": \r\n")
	for _, values := range full {
		most += len(values[0]) + len("a\t")
	}
	is.True(size(is, packed) <= most)
	p.Unpack(packed)
	is.Equal(packed, full)
}

// TestThinLinkBack has the answer cross it. What the request has said is told by
// its last bytes, and of the rest only what the target alone knows is written
// out.
func TestThinLinkBack(t *testing.T) {
	is := is.New(t)
	caller := New("caller", "X-Request-Id", "X-Stamp")
	target := New("sidecar-lima-centro-10", "X-Request-Id", "X-Stamp")
	sent := heads()
	caller.Pack(sent)
	target.Unpack(sent)
	is.Equal(sent, heads())
	full := http.Header{
		"X-Request-Id":  {"418af5b6fd4523b9"},
		"X-Stamp":       {"3d.182.5d8.0.95b500a8f039d10e"},
		labeler.CallID:  {"418af5b6fd4523b9.sidecar-lima-norte-22.332"},
		labeler.Outcome: {"answered"},
		labeler.Load:    {"0.28"},
		"Content-Type":  {"application/octet-stream"},
	}
	packed := full.Clone()
	target.pack(packed, target.ids(sent))
	own := len(full.Get("X-Stamp")) + len(full.Get(labeler.Load))
	is.True(size(is, packed) <= len(labeler.Packed+": \r\n")+own+len(full)*len("a=332\t"))
	caller.UnpackAnswer(packed, heads())
	is.Equal(packed, full)
}

// TestAnswerToAnother unpacks an answer beside another request than its own:
// its call id is not taken for that one's.
func TestAnswerToAnother(t *testing.T) {
	is := is.New(t)
	p := New("node")
	answer := http.Header{
		labeler.CallID: {"call.332"},
	}
	p.pack(answer, p.ids(http.Header{labeler.CallID: {"call.332"}}))
	p.UnpackAnswer(answer, http.Header{labeler.CallID: {"call.333"}})
	is.Equal(answer.Get(labeler.CallID), "")
}

// TestAnyHeaders packs requests and their answers of any values, and gets them
// back.
func TestAnyHeaders(t *testing.T) {
	value := rapid.OneOf(
		rapid.SampledFrom([]string{"", "answered", "id", "id.node.1", "node/a", "node/a/b", "=id", "~a", "&a", "a\tb", "/"}),
		rapid.StringMatching(`[ -~]{0,8}`),
	)
	headers := rapid.MapOf(
		rapid.SampledFrom([]string{"X-Request-Id", labeler.CallID, labeler.TargetID, labeler.Outcome, "Accept", "X-Unknown"}),
		rapid.SliceOfN(value, 1, 2),
	)
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		p := New("node", "X-Request-Id")
		request := http.Header(headers.Draw(r, "request"))
		// A target's id begins with the name of the node that the request goes to.
		if id := request.Get(labeler.TargetID); strings.Contains(id, "/") && !strings.HasPrefix(id, "node/") {
			request.Del(labeler.TargetID)
		}
		is.Equal(crossed(p, request), request)
		answer := http.Header(headers.Draw(r, "answer"))
		answer.Del(labeler.TargetID)
		is.Equal(answered(p, answer, request), answer)
	})
}

// TestOddIDs packs ids that were once lost on the way: a call id that is the
// caller's own, and an id with the separator in it, which a consumer may send.
func TestOddIDs(t *testing.T) {
	cases := map[string]http.Header{
		"call's id is its caller's": {
			"X-Request-Id": {"id"},
			labeler.CallID: {"id"},
		},
		"tab in an id": {
			"X-Request-Id": {"a\tb"},
			labeler.CallID: {"a\tb.node.1"},
		},
	}
	for name, header := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New("node", "X-Request-Id")
			is.Equal(crossed(p, header), header)
			is.Equal(answered(p, header, header), header)
			is.Equal(answered(p, header, http.Header{}), header)
		})
	}
}

// TestOddHeaders packs what cannot be packed: it stays as it is, and what a
// caller puts in the packed header is not taken for the system's.
func TestOddHeaders(t *testing.T) {
	is := is.New(t)
	p := New("node")
	header := http.Header{
		labeler.Reason:  {"a\ttab"},
		labeler.Outcome: {"one", "two"},
		"X-Unknown":     {"stays"},
		labeler.Once:    {""},
		labeler.Packed:  {"cforged"},
	}
	p.Pack(header)
	is.Equal(header.Get(labeler.Packed), "o")
	p.Unpack(header)
	is.Equal(header, http.Header{
		labeler.Reason:  {"a\ttab"},
		labeler.Outcome: {"one", "two"},
		"X-Unknown":     {"stays"},
		labeler.Once:    {""},
	})
	for _, odd := range [][]string{{""}, {"\t\t"}, {"?what"}, {"c1", "c2"}, {"u~"}, {"u~?"}, {"u~aa"}, {"u="}, {"u=a"}, {"u&a"}, {"c&a"}} {
		header = http.Header{
			labeler.Packed: odd,
		}
		p.Unpack(header)
		is.Equal(header, http.Header{})
	}
}

// TestHandler answers in each way that a handler may. The answers are packed,
// and the server adds nothing to them.
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
				w.Header().Set(labeler.CallID, request.Header.Get(labeler.CallID))
				write(w)
			})))
			defer server.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
			is.NoErr(err)
			request.Header.Set(labeler.CallID, "call")
			p.Pack(request.Header)
			response, err := server.Client().Do(request)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			is.Equal(response.Header.Get(labeler.Packed), "c=all")
			is.Equal(response.Header.Get("Date"), "")
			is.Equal(response.Header.Get("Content-Type"), "")
		})
	}
}
