package integration

import (
	"os/exec"
	"testing"

	"github.com/matryer/is"
)

// chaosSeed is the seed of the faults in CI.
const chaosSeed = "1"

// TestChaos makes faults of all kinds, two at a time, with a fixed seed. The
// program checks what must always hold. Longer runs are a command in the docs.
func TestChaos(t *testing.T) {
	is := is.New(t)
	command := exec.CommandContext(t.Context(), bench, "chaos", "--root", "..", "--seed", chaosSeed, "--for", "10s")
	out, err := command.CombinedOutput()
	t.Log(string(out))
	is.NoErr(err)
}
