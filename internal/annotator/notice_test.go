package annotator

import (
	"testing"

	"github.com/matryer/is"
)

// TestParseNotice reads what targets state about themselves. A limit that is no decimal
// number above 0 must not count as one.
func TestParseNotice(t *testing.T) {
	cases := map[string]struct {
		limit, leaving []string
		rate           float64
		isLeaving      bool
	}{
		"nothing":        {},
		"a limit":        {limit: []string{"21.8"}, rate: 21.8},
		"below one":      {limit: []string{" 0.3 "}, rate: 0.3},
		"empty":          {limit: []string{""}},
		"twice":          {limit: []string{"5", "7"}},
		"a list":         {limit: []string{"5, 7"}},
		"negative":       {limit: []string{"-5"}},
		"zero":           {limit: []string{"0"}},
		"no number":      {limit: []string{"NaN"}},
		"infinite":       {limit: []string{"Inf"}},
		"out of range":   {limit: []string{"1e400"}},
		"hexadecimal":    {limit: []string{"0x1p4"}},
		"leaving":        {leaving: []string{"1"}, isLeaving: true},
		"not leaving":    {leaving: []string{"0"}},
		"leaving, twice": {leaving: []string{"1", "1"}},
		"both":           {limit: []string{"5"}, leaving: []string{"1"}, rate: 5, isLeaving: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			notice := ParseNotice(c.limit, c.leaving)
			is.Equal(notice.Limit, c.rate)
			is.Equal(notice.InvalidLimit != "", len(c.limit) > 0 && c.rate == 0)
			is.Equal(notice.Leaving, c.isLeaving)
		})
	}
}
