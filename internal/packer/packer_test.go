package packer

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

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

func size(is *is.I, header http.Header) int {
	var b bytes.Buffer
	is.NoErr(header.Write(&b))
	return b.Len()
}

// TestThinLink has a call cross a thin link. Each packed header costs a letter and
// a separator beside its value, and all of them together one name.
func TestThinLink(t *testing.T) {
	is := is.New(t)
	p := New("X-Request-Id")
	full, packed := heads(), heads()
	p.Pack(packed)
	most := len(labeler.Packed + ": \r\n")
	for _, values := range full {
		most += len(values[0]) + len("a"+separator)
	}
	is.True(size(is, packed) <= most)
	p.Unpack(packed)
	is.Equal(packed, full)
}

// TestOddHeaders packs what cannot be packed: it stays as it is, and what a
// caller puts in the packed header is not taken for the system's.
func TestOddHeaders(t *testing.T) {
	is := is.New(t)
	p := New()
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
	for _, odd := range [][]string{{""}, {"\t\t"}, {"?what"}, {"c1", "c2"}} {
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
			p := New()
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
			is.Equal(response.Header.Get(labeler.Packed), "ccall")
			is.Equal(response.Header.Get("Date"), "")
			is.Equal(response.Header.Get("Content-Type"), "")
		})
	}
}
