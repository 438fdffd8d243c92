package integration

import (
	_ "embed"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// soakSeeds are the seeds that CI plays: one that is fixed, and each that ever
// failed, with a word on the cause.
//
//go:embed testdata/soak-seeds.txt
var soakSeeds string

// TestSoak makes faults of all kinds, several at a time. The program checks
// what must always hold. Longer runs are a command in the docs.
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
