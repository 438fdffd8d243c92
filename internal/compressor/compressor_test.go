package compressor

import (
	"crypto/sha256"
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

// keys returns the tenants of a configuration with 20,000 keys. The keys in changed have
// other hashes.
func keys(changed map[int]bool) string {
	const tenants, keysPerTenant = 80, 250
	text := &strings.Builder{}
	for i := range tenants * keysPerTenant {
		if i%keysPerTenant == 0 {
			fmt.Fprintf(text, "\n[tenant t-%d]\nrate = 10\nkeys =", i)
		}
		fmt.Fprintf(text, " sha256:%x", sha256.Sum256(fmt.Append(nil, i, changed[i])))
	}
	return text.String()
}

// TestSmallChangeOfKeysIsSmall replaces keys among 20,000. Hashes look random, so that a
// part of the base that the encoder does not find takes its full size.
func TestSmallChangeOfKeysIsSmall(t *testing.T) {
	const maxBytes = 1_000
	is := is.New(t)
	base := keys(nil)
	for _, changed := range []map[int]bool{
		{0: true},
		{7_000: true},
		{19_999: true},
		{1: true, 10_000: true, 19_000: true},
	} {
		content := keys(changed)
		packed, err := Pack(content, base)
		is.NoErr(err)
		t.Logf("%d bytes: %d changed takes %d bytes", len(base), len(changed), len(packed))
		is.True(len(packed) < maxBytes)
		unpacked, err := Unpack(packed, base)
		is.NoErr(err)
		is.True(unpacked == content)
	}
}
