package reporter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// TestReportBeforeFact receives a node's report before its fact, as happens when
// a zone rejoins the overlay. The report must count once the node is known.
func TestReportBeforeFact(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	r := New("zone", "a")
	localFact := &messenger.Fact{Name: "a", Boot: 1}
	otherFact := &messenger.Fact{Name: "b", Boot: 1}
	r.Receive(&messenger.HeldReport{Name: "a", Boot: 1, Held: 2}, now)
	r.Receive(&messenger.HeldReport{Name: "b", Boot: 1, Held: 2}, now)
	is.Equal(r.DueSummary(2, []*messenger.Fact{localFact}, now).GetHolding(), uint32(1))
	summary := r.DueSummary(2, []*messenger.Fact{localFact, otherFact}, now)
	is.Equal(summary.GetNodes(), uint32(2))
	is.Equal(summary.GetHolding(), uint32(2))
}
