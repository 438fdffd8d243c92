package annotator

import (
	"testing"

	"github.com/matryer/is"
)

// TestCutTarget splits ids that JoinTarget returns, and other ids.
func TestCutTarget(t *testing.T) {
	cases := map[string]struct {
		target, node, id string
		ok               bool
	}{
		"joined":      {target: JoinTarget("node", "id"), node: "node", id: "id", ok: true},
		"no node":     {target: "id", node: "id"},
		"three parts": {target: "node/a/b", node: "node", id: "a/b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			node, id, ok := CutTarget(c.target)
			is.Equal(node, c.node)
			is.Equal(id, c.id)
			is.Equal(ok, c.ok)
		})
	}
}
