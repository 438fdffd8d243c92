package quarantiner

import (
	"slices"
	"time"

	"github.com/fireflymoor/fireflymoor/internal/messenger"
)

// Report records that a target of this process's instance has ended under requests. The
// repeats are those that were sent after another end under them was known. All of it is
// spread, also what this process has learned from a call before.
func (q *Quarantiner) Report(id uint64, requests, repeats []Fingerprint, now time.Time) {
	message := &messenger.TargetEnds{
		Ends: []*messenger.TargetEnd{
			{
				End:      id,
				Requests: toMessage(requests),
				Repeats:  toMessage(repeats),
			},
		},
	}
	q.Merge(message, now)
	q.spread(message)
}

func toMessage(requests []Fingerprint) []uint64 {
	list := make([]uint64, 0, len(requests))
	for _, f := range requests {
		list = append(list, uint64(f))
	}
	return list
}

// Learn records the ends of targets under one request that another process names with a
// call. They are spread by the process that saw them. Repeat is set if the request was sent
// after another end under it was known.
func (q *Quarantiner) Learn(f Fingerprint, ids []uint64, repeat bool, now time.Time) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, id := range ids {
		q.add(f, end{
			id:     id,
			at:     now,
			repeat: repeat,
		})
	}
}

// Merge records what another process has learned, and returns what of it is news, or
// nil.
func (q *Quarantiner) Merge(message *messenger.TargetEnds, now time.Time) *messenger.TargetEnds {
	q.lock.Lock()
	defer q.lock.Unlock()
	news := &messenger.TargetEnds{}
	for _, c := range message.GetClearances() {
		if q.clear(Fingerprint(c.GetRequest()), c.GetEnds(), now) {
			news.Clearances = append(news.Clearances, c)
		}
	}
	for _, e := range message.GetEnds() {
		if part := q.mergeEnd(e, now); part != nil {
			news.Ends = append(news.Ends, part)
		}
	}
	if len(news.GetEnds())+len(news.GetClearances()) == 0 {
		return nil
	}
	return news
}

// mergeEnd records an end and returns the part of it that is news, or nil.
func (q *Quarantiner) mergeEnd(e *messenger.TargetEnd, now time.Time) *messenger.TargetEnd {
	part := &messenger.TargetEnd{
		End:             e.GetEnd(),
		AgeMilliseconds: e.GetAgeMilliseconds(),
	}
	if time.Duration(e.GetAgeMilliseconds())*time.Millisecond >= forgetTime {
		return nil
	}
	at := now.Add(-time.Duration(e.GetAgeMilliseconds()) * time.Millisecond)
	for _, request := range e.GetRequests() {
		repeat := slices.Contains(e.GetRepeats(), request)
		added := q.add(Fingerprint(request), end{
			id:     e.GetEnd(),
			at:     at,
			repeat: repeat,
		})
		if !added {
			continue
		}
		part.Requests = append(part.Requests, request)
		if repeat {
			part.Repeats = append(part.Repeats, request)
		}
	}
	if len(part.GetRequests()) == 0 {
		return nil
	}
	return part
}

// State returns what a new neighbor should know: the requests that are held back.
func (q *Quarantiner) State(now time.Time) *messenger.TargetEnds {
	if !q.IsActive() {
		return nil
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	state := &messenger.TargetEnds{}
	for f, r := range q.records {
		if r.decision(now) == Free || len(state.GetEnds()) >= maxSpread {
			continue
		}
		for i := range r.ends {
			message := &messenger.TargetEnd{
				End:             r.ends[i].id,
				Requests:        []uint64{uint64(f)},
				AgeMilliseconds: uint32(max(now.Sub(r.ends[i].at).Milliseconds(), 0)),
			}
			if r.ends[i].repeat {
				message.Repeats = message.GetRequests()
			}
			state.Ends = append(state.Ends, message)
		}
	}
	if len(state.GetEnds()) == 0 {
		return nil
	}
	return state
}
