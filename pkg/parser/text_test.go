package parser

import (
	"testing"

	"github.com/matryer/is"
)

// TestValidText guards against texts from outside that no message between processes can
// hold (CONFIG).
func TestValidText(t *testing.T) {
	for text, valid := range map[string]bool{
		"i-7f3a91c2":    true,
		"año 2":         true,
		"":              false,
		"123456789 12":  true,
		"123456789 123": false,
		"\xff\xfe":      false,
		"ok\x80":        false,
		"\xed\xa0\x80":  false, // half of a surrogate pair
		"a\x00b":        false,
		"a\r\nb":        false,
		"a\u0085b":      false,
	} {
		is := is.New(t)
		is.Equal(ValidText(text, 12), valid)
	}
}
