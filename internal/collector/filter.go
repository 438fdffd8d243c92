package collector

import "github.com/fireflymoor/fireflymoor/internal/messenger"

// A Filter detects messages that were received before. It is not safe for concurrent
// use.
type Filter struct {
	last map[string]received
}

type received struct {
	boot, sequence uint64
}

// NewFilter returns a Filter that has received nothing.
func NewFilter() *Filter {
	return &Filter{
		last: map[string]received{},
	}
}

// IsNew reports whether a message is none that was received before, and records it.
func (f *Filter) IsNew(e *messenger.Evidence) bool {
	last := f.last[e.GetNode()]
	if e.GetBoot() < last.boot || e.GetBoot() == last.boot && e.GetSequence() <= last.sequence {
		return false
	}
	f.last[e.GetNode()] = received{
		boot:     e.GetBoot(),
		sequence: e.GetSequence(),
	}
	return true
}

// Retain drops what is known of the nodes for which keep reports false.
func (f *Filter) Retain(keep func(node string) bool) {
	for node := range f.last {
		if !keep(node) {
			delete(f.last, node)
		}
	}
}
