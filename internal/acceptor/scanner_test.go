package acceptor

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestScanner scans header sections in reads of several lengths.
func TestScanner(t *testing.T) {
	for _, test := range []struct {
		name, text string
		// bytes is the length of the header section.
		bytes, lines, leading    int
		ended                    bool
		length, chunked, preface bool
	}{
		{
			name: "ordinary", text: "GET / HTTP/1.1\r\nHost: x\r\n\r\nbody\n\n", bytes: 27, lines: 2, ended: true,
		},
		{
			name: "bare line feeds", text: "GET / HTTP/1.1\nHost: x\n\nbody\r\n\r\n", bytes: 24, lines: 2, ended: true,
		},
		{
			name: "leading empty lines", text: "\r\n\n\r\nGET / HTTP/1.1\r\n\r\n", bytes: 23, lines: 1, leading: 5, ended: true,
		},
		{
			name: "only carriage returns", text: strings.Repeat("\r", 20), bytes: 20, leading: 20,
		},
		{
			name: "pipelined requests", text: "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\nContent-Length: 1\r\n\r\n", bytes: 18, lines: 1, ended: true,
		},
		{
			name: "both lengths", text: "POST / HTTP/1.1\r\ncontent-LENGTH: 1\r\nTransfer-Encoding: chunked\r\n\r\n", bytes: 66, lines: 3, ended: true, length: true, chunked: true,
		},
		{
			name: "long line", text: "GET /" + strings.Repeat("x", 100) + "content-length: 1\r\nX-Content-Length: 1\r\n\r\n", bytes: 147, lines: 2, ended: true,
		},
		{
			name: "preface", text: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", bytes: 18, lines: 1, ended: true, preface: true,
		},
		{
			name: "preface with header lines", text: "PRI * HTTP/2.0\r\na:\r\n\r\n", bytes: 22, lines: 2, ended: true,
		},
		{
			name: "incomplete", text: "GET / HTTP/1.1\r\na:\r\n", bytes: 20, lines: 2,
		},
	} {
		for _, step := range []int{1, 2, 7, 1000} {
			t.Run(test.name, func(t *testing.T) {
				is := is.New(t)
				s := scanner{}
				bytes, lines := 0, 0
				for rest := test.text; rest != ""; {
					part := rest[:min(step, len(rest))]
					n, l := s.scan([]byte(part))
					bytes += n
					lines += l
					rest = rest[len(part):]
				}
				is.Equal(bytes, test.bytes)
				is.Equal(lines, test.lines)
				is.Equal(s.leading, test.leading)
				is.Equal(s.ended, test.ended)
				is.Equal(s.length, test.length)
				is.Equal(s.chunked, test.chunked)
				is.Equal(s.ended && s.preface, test.preface)
				s.reset()
				n, _ := s.scan([]byte("GET / HTTP/1.1\r\n\r\n"))
				is.Equal(n, 18)
				is.True(s.ended && !s.preface && !s.length && !s.chunked && s.leading == 0)
			})
		}
	}
}
