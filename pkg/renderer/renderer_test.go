package renderer

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

// TestRender renders each template in testdata with the values file of the same
// name, and compares the result or its faults with the golden file.
func TestRender(t *testing.T) {
	templates, err := filepath.Glob("testdata/*.template")
	is.New(t).NoErr(err)
	for _, path := range templates {
		name := strings.TrimSuffix(filepath.Base(path), ".template")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			template, err := os.ReadFile(path)
			is.NoErr(err)
			values, err := os.ReadFile(strings.TrimSuffix(path, "template") + "values")
			is.NoErr(err)
			inputs := fireflymoor.Inputs{
				Template: string(template),
				Values:   string(values),
			}
			first, err := New(parser.New()).Render("portaequipaje", inputs)
			golden := goldie.New(t, goldie.WithFixtureDir("testdata"))
			if err != nil {
				golden.Assert(t, name, []byte(err.Error()+"\n"))
				return
			}
			golden.Assert(t, name, []byte(first.Text))
			is.True(first.Configuration.Closed())
			for range 5 {
				again, err := New(parser.New()).Render("portaequipaje", inputs)
				is.NoErr(err)
				is.Equal(again.Text, first.Text) // rendering is deterministic
			}
		})
	}
}

// TestTooLarge checks that too large inputs and outputs are refused with faults.
func TestTooLarge(t *testing.T) {
	is := is.New(t)
	for _, template := range []string{
		strings.Repeat("x", MaxTemplate+1),
		"---\n{{ range list \"l\" }}{{ range list \"l\" }}" + strings.Repeat("y", 100_000) + "{{ end }}{{ end }}",
	} {
		inputs := fireflymoor.Inputs{
			Template: "parameter l list default=" + strings.Repeat("a,", 40) + "\n" + template,
		}
		_, err := New(parser.New()).Render("t", inputs)
		var faults fireflymoor.Faults
		is.True(errors.As(err, &faults))
	}
}

// FuzzRender checks that each route of a rendered configuration leads to a service
// of that configuration.
func FuzzRender(f *testing.F) {
	f.Add("parameter a integer default=1\n---\n[service x]\nslots = {{ value \"a\" }}\n", "[values]\na = 2\n")
	f.Add("{{ define \"a\" }}{{ template \"a\" }}{{ end }}{{ template \"a\" }}", "")
	f.Fuzz(func(t *testing.T, template, values string) {
		inputs := fireflymoor.Inputs{
			Template: template,
			Values:   values,
		}
		first, err := New(parser.New()).Render("t", inputs)
		if err == nil && !first.Configuration.Closed() {
			t.Fatal("a route leads to an unknown service")
		}
	})
}
