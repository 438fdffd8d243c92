package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is the file to which a case writes what was sent, answered and run.
type record struct {
	lock  sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  file,
		start: time.Now(),
	}, nil
}

// write adds a line with the time since the start.
func (r *record) write(format string, arguments ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	line := fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), line)
}

func (r *record) close() {
	_ = r.file.Close()
}
