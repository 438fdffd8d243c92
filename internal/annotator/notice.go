package annotator

import (
	"math"
	"strconv"
	"strings"

	"github.com/fireflymoor/fireflymoor"
)

// leavingValue is the value of the header by which a target states that it is leaving.
const leavingValue = "1"

// ParseNotice reads the values of the headers by which a target states its limit and
// that it is leaving. A header with several values states nothing.
func ParseNotice(limit, leaving []string) fireflymoor.Notice {
	notice := fireflymoor.Notice{
		Leaving: len(leaving) == 1 && strings.TrimSpace(leaving[0]) == leavingValue,
	}
	if len(limit) == 0 {
		return notice
	}
	rate, ok := parseRate(limit)
	if !ok {
		notice.InvalidLimit = strconv.Quote(strings.Join(limit, "; "))
		return notice
	}
	notice.Limit = rate
	return notice
}

// parseRate reads a decimal number above 0. It reports false for anything else, such
// as the hexadecimal and infinite values that ParseFloat accepts.
func parseRate(values []string) (float64, bool) {
	if len(values) != 1 {
		return 0, false
	}
	text := strings.TrimSpace(values[0])
	if strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false
	}
	rate, err := strconv.ParseFloat(text, 64)
	return rate, err == nil && rate > 0 && !math.IsInf(rate, 0)
}
