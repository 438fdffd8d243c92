package compressor

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// template returns a template of a number of routes. The routes in changed have
// another timeout.
func template(routes int, changed map[int]bool) string {
	random := rand.New(rand.NewPCG(1, 1))
	text := &strings.Builder{}
	text.WriteString("---\n")
	for i := range routes {
		timeout := 2000
		if changed[i] {
			timeout = 2100
		}
		fmt.Fprintf(text, "[route r-%07x]\nhost = %08x.example\npath = /%08x/%05x/\nservice = s-%04x\ntimeout = %dms\nobjective = 600ms\npriority = 2\nretries = 1\nidempotent = GET HEAD\n\n",
			random.IntN(1<<28), random.Uint32(), random.Uint32(), random.IntN(1<<20), random.IntN(3), timeout)
	}
	return text.String()
}

// TestSmallChangeIsSmall packs a change of a few routes among many. Its size must
// be in proportion to the change, whatever the size of the configuration: every
// node forwards it over a link of 1 Mbit/s.
func TestSmallChangeIsSmall(t *testing.T) {
	const maxBytes = 2_000
	for _, routes := range []int{100, 1000, 2400, 4000, 6000, 11_000} {
		is := is.New(t)
		base := template(routes, nil)
		for _, changed := range []map[int]bool{
			{routes / 2: true},
			{0: true, routes / 3: true, routes - 1: true},
		} {
			content := template(routes, changed)
			packed, err := Pack(content, base)
			is.NoErr(err)
			t.Logf("%d routes, %d bytes: %d changed takes %d bytes", routes, len(base), len(changed), len(packed))
			is.True(len(packed) < maxBytes)
			unpacked, err := Unpack(packed, base)
			is.NoErr(err)
			is.Equal(unpacked, content)
		}
	}
}
