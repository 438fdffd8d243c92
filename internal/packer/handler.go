package packer

import "net/http"

// Handler returns a handler that unpacks the headers of requests for next and packs
// the headers of its responses.
func (p *Packer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		p.Unpack(request.Header)
		pw := &packingWriter{
			ResponseWriter: w,
			packer:         p,
			requestIDs:     p.readIDs(request.Header),
		}
		next.ServeHTTP(pw, request)
		if !pw.wroteHeader {
			pw.WriteHeader(http.StatusOK)
		}
	})
}

// packingWriter packs the headers of a response before they are written.
type packingWriter struct {
	http.ResponseWriter
	packer      *Packer
	requestIDs  callIDs
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter. It keeps the server from adding a date
// or a detected content type, which nodes do not need.
func (w *packingWriter) WriteHeader(status int) {
	if !w.wroteHeader && status >= http.StatusOK {
		w.wroteHeader = true
		header := w.Header()
		w.packer.pack(header, w.requestIDs)
		for _, name := range []string{"Date", "Content-Type"} {
			if _, ok := header[name]; !ok {
				header[name] = nil
			}
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *packingWriter) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *packingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
