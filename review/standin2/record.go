package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	lock  sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  file,
		began: time.Now(),
	}, nil
}

// printf writes one line with the time since the start.
func (r *record) printf(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
	_, _ = r.file.WriteString(line)
}

func (r *record) close() {
	_ = r.file.Close()
}
