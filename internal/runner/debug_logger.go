package runner

import (
	"bytes"
	"log"

	"github.com/rs/zerolog"
)

// debugWriter writes the log lines of net/http about failed client connections
// at debug level.
type debugWriter struct {
	log zerolog.Logger
}

// Write implements io.Writer.
func (w debugWriter) Write(p []byte) (int, error) {
	w.log.Debug().Str("detail", string(bytes.TrimSpace(p))).Msg("http: client error")
	return len(p), nil
}

func newDebugLogger(l zerolog.Logger) *log.Logger {
	return log.New(debugWriter{log: l}, "", 0)
}
