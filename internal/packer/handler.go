package packer

import "net/http"

// Handler returns a handler that unpacks the headers of requests for next, and
// packs those of its answers.
func (p *Packer) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		p.Unpack(request.Header)
		packing := &writer{
			ResponseWriter: w,
			packer:         p,
			asked:          p.ids(request.Header),
		}
		next.ServeHTTP(packing, request)
		if !packing.wrote {
			packing.WriteHeader(http.StatusOK)
		}
	})
}

// writer packs the header of an answer before it is written.
type writer struct {
	http.ResponseWriter
	packer *Packer
	asked  ids
	wrote  bool
}

// WriteHeader implements http.ResponseWriter. The server adds neither a date
// nor a guessed type: nodes need neither.
func (w *writer) WriteHeader(status int) {
	if !w.wrote && status >= http.StatusOK {
		w.wrote = true
		header := w.Header()
		w.packer.pack(header, w.asked)
		for _, name := range []string{"Date", "Content-Type"} {
			if _, ok := header[name]; !ok {
				header[name] = nil
			}
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(data []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the writer that an http.ResponseController works on.
func (w *writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
