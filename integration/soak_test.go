package integration

import (
	_ "embed"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// soakSeeds lists the seeds that CI runs, each with a reason: one fixed seed, and
// every seed that has ever failed, with the cause of the failure.
//
//go:embed testdata/soak-seeds.txt
var soakSeeds string

// TestSoak injects faults of all kinds, several at a time. The bench program
// checks the invariants. The documentation has the command for longer runs.
func TestSoak(t *testing.T) {
	for line := range strings.Lines(soakSeeds) {
		seed, cause, _ := strings.Cut(strings.TrimSpace(line), " ")
		if seed == "" || seed == "#" {
			continue
		}
		t.Run(seed, func(t *testing.T) {
			t.Log(cause)
			command := exec.CommandContext(t.Context(), bench, "soak", "--root", "..", "--seed", seed, "--for", "10s")
			out, err := command.CombinedOutput()
			t.Log(string(out))
			is.New(t).NoErr(err)
		})
	}
}
