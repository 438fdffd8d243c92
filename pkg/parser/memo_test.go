package parser

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMemo changes a text at random, with faults among the changes, and reads
// it with the parser that remembers sections and with one that does not. Both
// say the same of every text, fault for fault.
func TestMemo(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		remembering := New()
		sections := []string{
			"[limits]\nmax-body = 100\n",
			"[service a]\nslots = 3\n",
			"[service b]\nslots = 4\n",
		}
		for i := range 6 {
			sections = append(sections, fmt.Sprintf("[route r%d]\nhost = h\npath-prefix = /%d/\nservice = a\n", i, i))
		}
		for range 8 {
			at := rapid.IntRange(0, len(sections)-1).Draw(r, "section")
			was := sections[at]
			sections[at] = rapid.SampledFrom([]string{
				was,
				"",
				was + "timeout = 3s\n",
				was + "; a comment\n",
				was + "unknown = 1\n",
				was + "name = \"quoted\"\n",
				strings.Replace(was, "service = a", "split = a:1 b:3", 1),
				strings.Replace(was, "service = a", "service = c", 1),
				strings.Replace(was, "[", " [", 1),
				"[route r1]\npath-prefix = /x/\nservice = b\n",
				"stray = 1\n" + was,
				"[service a]\nslots = 5\nslots = 6\n",
			}).Draw(r, "change")
			text := strings.Join(sections, "")
			got, gotErr := remembering.Parse("team", text)
			want, wantErr := parser{}.Parse("team", text)
			is.Equal(got, want)
			is.Equal(fmt.Sprint(gotErr), fmt.Sprint(wantErr))
			if gotErr != nil {
				sections[at] = was
			}
		}
	})
}
