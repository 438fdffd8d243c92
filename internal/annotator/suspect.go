package annotator

import (
	"net/http"
	"strconv"
	"strings"
)

// listSeparator separates the numbers in a list, and listBase is their base.
const (
	listSeparator = ","
	listBase      = 16
)

// SetSuspect writes the fingerprint of a call's request and the ends of targets that are
// known under it, or removes them if there are none.
func SetSuspect(h http.Header, request uint64, ends []uint64) {
	if len(ends) == 0 {
		h.Del(Suspect)
		return
	}
	text := strconv.FormatUint(request, listBase)
	for _, end := range ends {
		text += listSeparator + strconv.FormatUint(end, listBase)
	}
	h.Set(Suspect, text)
}

// ReadSuspect reads what SetSuspect wrote. The fingerprint is 0 if there is none.
func ReadSuspect(h http.Header) (request uint64, ends []uint64) {
	text := h.Get(Suspect)
	if text == "" {
		return 0, nil
	}
	for i, field := range strings.Split(text, listSeparator) {
		n, err := strconv.ParseUint(field, listBase, 64)
		switch {
		case err != nil:
			return 0, nil
		case i == 0:
			request = n
		default:
			ends = append(ends, n)
		}
	}
	return request, ends
}

// SetEnded writes which end of the target a call failed with.
func SetEnded(h http.Header, end uint64) {
	h.Set(Ended, strconv.FormatUint(end, listBase))
}

// ReadEnded reads which end of the target a call failed with, or returns 0.
func ReadEnded(h http.Header) uint64 {
	end, err := strconv.ParseUint(h.Get(Ended), listBase, 64)
	if err != nil {
		return 0
	}
	return end
}
