package runner

import (
	"bytes"
	"log"

	"github.com/rs/zerolog"
)

// quietWriter writes what net/http logs of broken clients at debug level.
type quietWriter struct {
	log zerolog.Logger
}

// Write implements io.Writer.
func (w quietWriter) Write(p []byte) (int, error) {
	w.log.Debug().Str("detail", string(bytes.TrimSpace(p))).Msg("http: client trouble")
	return len(p), nil
}

func quietLog(l zerolog.Logger) *log.Logger {
	return log.New(quietWriter{log: l}, "", 0)
}
