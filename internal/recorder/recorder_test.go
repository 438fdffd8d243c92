package recorder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

func labelledChange(id string, parent, label uint64) *messenger.Change {
	return &messenger.Change{
		Id:          id,
		Team:        "team",
		Template:    id,
		Label:       label,
		ParentLabel: parent,
	}
}

// TestLabels applies changes whose labels grow in uneven steps. Of two changes
// on the same parent one must be accepted, a label must be greater than the
// accepted one, and a resent change must get its first outcome, also after a
// restore from a snapshot.
func TestLabels(t *testing.T) {
	is := is.New(t)
	r := New()
	apply := func(c *messenger.Change) (number uint64, conflict bool) {
		record, _ := r.Apply(c)
		return record.GetNumber(), record.GetConflict()
	}
	number, conflict := apply(labelledChange("a", 0, 5))
	is.Equal(number, uint64(1))
	is.True(!conflict)
	number, _ = apply(labelledChange("b", 5, 7))
	is.Equal(number, uint64(2))
	_, conflict = apply(labelledChange("c", 5, 7))
	is.True(conflict) // the other change with the label 7 was accepted
	_, conflict = apply(labelledChange("d", 7, 7))
	is.True(conflict) // the label is not greater
	_, conflict = apply(labelledChange("e", 9, 12))
	is.True(conflict) // the parent label is not accepted yet
	number, _ = apply(labelledChange("f", 7, 9))
	is.Equal(number, uint64(3))

	state, err := r.Snapshot()
	is.NoErr(err)
	r = New()
	is.NoErr(r.Restore(state))
	is.Equal(r.Label("team"), uint64(9))
	number, conflict = apply(labelledChange("a", 0, 5))
	is.Equal(number, uint64(1))
	is.True(!conflict)
	_, conflict = apply(labelledChange("e", 9, 12))
	is.True(conflict) // a refused change stays refused
}
