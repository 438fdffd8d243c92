package auditor

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

const (
	before = 500
	after  = 3000
)

// faults are what no process may ever log.
var faults = []string{"invariant: violated", "panic:", "DATA RACE"}

// CheckLog reads a process's log, over all its restarts, and returns what
// must not be there: a violated invariant, a panic, a data race, or a version
// put in force after a newer one.
func CheckLog(p *launcher.Process) []string {
	log := p.Log()
	var violations []string
	for _, fault := range faults {
		if at := strings.Index(log, fault); at >= 0 {
			violations = append(violations, fmt.Sprintf("%s: %s", p.Name, log[max(0, at-before):min(len(log), at+after)]))
		}
	}
	return append(violations, checkNeverOlder(p.Name, log)...)
}

func checkNeverOlder(name, log string) []string {
	var violations []string
	last := uint64(0)
	for line := range strings.SplitSeq(log, "\n") {
		entry := struct {
			Message string `json:"message"`
			Version uint64 `json:"version"`
		}{}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "config: in force" {
			continue
		}
		if entry.Version < last {
			violations = append(violations, fmt.Sprintf("%s went from version %d back to %d", name, last, entry.Version))
		}
		last = entry.Version
	}
	return violations
}
