package parser

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflymoor/fireflymoor"
)

// TestCachingParser makes random changes to a text, some of which introduce
// faults, and parses it with the caching parser and with the plain one. Both must
// return the same configuration and the same faults for every text.
func TestCachingParser(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		caching := New()
		keys := []string{fireflymoor.FormatKeyHash(fireflymoor.HashKey("a")), fireflymoor.FormatKeyHash(fireflymoor.HashKey("b"))}
		sections := []string{
			"[limits]\nmax-body = 100\n",
			"[service a]\nslots = 3\n",
			"[service b]\nslots = 4\n",
			"[tenant t]\nkeys = " + keys[0] + "\n",
			"[tenant u]\nkeys = " + keys[1] + "\n",
		}
		for i := range 6 {
			sections = append(sections, fmt.Sprintf("[route r%d]\nhost = h\npath-prefix = /%d/\nservice = a\n", i, i))
		}
		for range 8 {
			at := rapid.IntRange(0, len(sections)-1).Draw(r, "section")
			previous := sections[at]
			sections[at] = rapid.SampledFrom([]string{
				previous,
				"",
				previous + "timeout = 3s\n",
				previous + "; a comment\n",
				previous + "unknown = 1\n",
				previous + "name = \"quoted\"\n",
				strings.Replace(previous, "service = a", "split = a:1 b:3", 1),
				strings.Replace(previous, "service = a", "service = c", 1),
				strings.Replace(previous, "[", " [", 1),
				strings.Replace(previous, keys[1], keys[0], 1),
				strings.Replace(previous, "keys =", "priority = 2\nkeys =", 1),
				"[route r1]\npath-prefix = /x/\nservice = b\n",
				"stray = 1\n" + previous,
				"[service a]\nslots = 5\nslots = 6\n",
			}).Draw(r, "change")
			text := strings.Join(sections, "")
			got, gotErr := caching.Parse("team", text)
			want, wantErr := parser{}.Parse("team", text)
			is.Equal(got, want)
			is.Equal(fmt.Sprint(gotErr), fmt.Sprint(wantErr))
			if gotErr != nil {
				sections[at] = previous
			}
		}
	})
}
