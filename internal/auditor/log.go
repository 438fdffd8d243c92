package auditor

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/fireflymoor/fireflymoor/internal/launcher"
)

const (
	// contextBefore and contextAfter are the number of bytes of a log that are
	// reported before and after the start of a forbidden message.
	contextBefore = 500
	contextAfter  = 3000
)

// forbiddenMessages are the texts that no process may log.
var forbiddenMessages = []string{"invariant: violated", "panic:", "DATA RACE"}

// CheckLog reads a process's log, over all its restarts, and returns the faults
// in it: a violated invariant, a panic, a data race, or a version put in force
// after a newer one.
func CheckLog(p *launcher.Process) []string {
	log := p.Log()
	var violations []string
	for _, message := range forbiddenMessages {
		if at := strings.Index(log, message); at >= 0 {
			violations = append(violations, fmt.Sprintf("%s: %s", p.Name, log[max(0, at-contextBefore):min(len(log), at+contextAfter)]))
		}
	}
	return append(violations, checkVersionOrder(p.Name, log)...)
}

func checkVersionOrder(name, log string) []string {
	var violations []string
	previous := uint64(0)
	for line := range strings.SplitSeq(log, "\n") {
		entry := struct {
			Message string `json:"message"`
			Version uint64 `json:"version"`
		}{}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "config: in force" {
			continue
		}
		if entry.Version < previous {
			violations = append(violations, fmt.Sprintf("%s put version %d in force and then the older version %d", name, previous, entry.Version))
		}
		previous = entry.Version
	}
	return violations
}
