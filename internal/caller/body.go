package caller

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxReplayBytes bounds the part of a request body that is buffered for
// further tries, in bytes.
const maxReplayBytes = 64 << 10

var (
	errTooLarge    = errors.New("caller: the body is too large")
	errStaleReader = errors.New("caller: the body is in use by a later try")
)

// body is the request body of a call. It is buffered up to maxReplayBytes, so
// that it can be sent to another target if a try was not run. Its lock is not held
// while the source is read: a caller may wait for its response before it sends more.
type body struct {
	lock sync.Mutex
	// idle is signaled at the end of each read of the source.
	idle *sync.Cond
	// try is the number of the current try. Readers of earlier tries fail.
	try    int
	source io.Reader
	length int64
	// remaining is how many more bytes the source may have.
	remaining int64
	buffered  bytes.Buffer
	// reading is set while the source is being read.
	reading bool
	// unbuffered is set once more is read than is buffered.
	unbuffered bool
	tooLarge   bool
	// ended is set once the source has been read to its end.
	ended bool
	// broken is set if the source failed, such as at a malformed chunk.
	broken bool
}

// newBody returns a body of at most maxBytes bytes. The length is -1 if it is
// not known.
func newBody(source io.Reader, length, maxBytes int64) *body {
	b := &body{
		source:    source,
		length:    length,
		remaining: maxBytes,
	}
	b.idle = sync.NewCond(&b.lock)
	return b
}

// reader returns a reader from the start of the body, and the body's length or
// -1. Before a further try, rewind must have reported true.
func (b *body) reader() (io.ReadCloser, int64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.try++
	return io.NopCloser(&bodyReader{
		body: b,
		try:  b.try,
	}), b.length
}

// prefetch reads a body of known length that can be buffered to its end. The server
// notices that the caller leaves only from then on. A failure is left to the reader of the
// first try.
func (b *body) prefetch() {
	if b.length <= 0 || b.length > maxReplayBytes {
		return
	}
	reader, _ := b.reader()
	_, _ = io.Copy(io.Discard, reader)
}

// prefix returns the first bytes of the body, up to a number of bytes. It reports false if
// they have not been read yet.
func (b *body) prefix(limit int) ([]byte, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.length != 0 && !b.ended && b.buffered.Len() < limit && int64(b.buffered.Len()) != b.length {
		return nil, false
	}
	return b.buffered.Bytes()[:min(b.buffered.Len(), limit)], true
}

// rewind ends the earlier readers, which a transport may still hold, so that the
// body can be read again from its start. If it cannot, rewind reports false, and the
// current reader can still be used.
func (b *body) rewind() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.isReplayable() {
		return false
	}
	b.try++
	return true
}

// replayable reports whether everything read so far is buffered and the rest can
// be read. The current reader may end that at any time.
func (b *body) replayable() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.isReplayable()
}

func (b *body) isReplayable() bool {
	return !b.unbuffered && !b.tooLarge && !b.broken
}

// isRead reports whether the body has been read to its end.
func (b *body) isRead() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.ended
}

// failed reports whether the body could not be read from the caller.
func (b *body) failed() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.broken
}

// overflowed reports whether the body was longer than its limit.
func (b *body) overflowed() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.tooLarge
}

// bodyReader reads a body for one try.
type bodyReader struct {
	body *body
	try  int
	// offset is the position in the buffered part.
	offset int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.lock.Lock()
	defer b.lock.Unlock()
	for {
		switch {
		case r.try != b.try:
			return 0, errStaleReader
		case r.offset < b.buffered.Len():
			n := copy(p, b.buffered.Bytes()[r.offset:])
			r.offset += n
			return n, nil
		case !b.reading:
			return r.readSource(p)
		}
		b.idle.Wait() // a reader of an earlier try is about to buffer some bytes
	}
}

// readSource reads the next bytes from the caller's request and buffers them
// while they fit. A read never takes both bytes that fit and bytes that do not, so
// that it is known before the read whether the body remains replayable.
func (r *bodyReader) readSource(p []byte) (int, error) {
	b := r.body
	wasUnbuffered := b.unbuffered
	if free := maxReplayBytes - b.buffered.Len(); free > 0 {
		p = p[:min(len(p), free)]
	} else {
		b.unbuffered = true
	}
	b.reading = true
	b.lock.Unlock()
	n, err := b.source.Read(p)
	b.lock.Lock()
	b.reading = false
	b.idle.Broadcast()
	b.broken = b.broken || err != nil && !errors.Is(err, io.EOF)
	b.ended = b.ended || errors.Is(err, io.EOF)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		b.tooLarge = true
		return 0, errTooLarge
	}
	if n == 0 {
		b.unbuffered = wasUnbuffered
	}
	if !b.unbuffered {
		b.buffered.Write(p[:n])
	}
	if r.try != b.try {
		return 0, errStaleReader
	}
	r.offset = b.buffered.Len()
	return n, err
}
