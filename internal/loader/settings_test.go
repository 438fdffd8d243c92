package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

// TestFaults reads each settings file in testdata and compares its faults with
// the golden file.
func TestFaults(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.ini")
	is.New(t).NoErr(err)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".ini")
		t.Run(name, func(t *testing.T) {
			_, err := Load(path)
			is.New(t).True(err != nil)
			goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// TestExamples checks that the documented examples are valid.
func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/*.ini")
	is := is.New(t)
	is.NoErr(err)
	is.Equal(len(paths), 4)
	for _, path := range paths {
		_, err := os.Stat(path)
		is.NoErr(err)
		settings, err := Load(path)
		is.NoErr(err)
		is.Equal(len(settings.Seeds()), 3)
	}
}
