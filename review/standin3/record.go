package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// record is the log of what was sent, answered and run, with the time since its start.
type record struct {
	lock  sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create the record")
	}
	return &record{
		file:  file,
		start: time.Now(),
	}, nil
}

func (r *record) note(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (r *record) close() {
	_ = r.file.Close()
}
