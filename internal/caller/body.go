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
// that it can be sent to another target if a try was not run.
type body struct {
	lock sync.Mutex
	// try is the number of the current try. Readers of earlier tries fail.
	try    int
	source io.Reader
	length int64
	// remaining is how many more bytes the source may have.
	remaining int64
	buffered  bytes.Buffer
	// offset is the position of the current reader in buffered.
	offset int
	// unbuffered is set once more was read than is buffered.
	unbuffered bool
	tooLarge   bool
	// broken is set if the source failed, such as at a malformed chunk.
	broken bool
}

// newBody returns a body of at most maxBytes bytes. The length is -1 if it is
// not known.
func newBody(source io.Reader, length, maxBytes int64) *body {
	return &body{
		source:    source,
		length:    length,
		remaining: maxBytes,
	}
}

// reader returns a reader from the start of the body, and the body's length or
// -1. Earlier readers, which a transport may still hold, fail from now on.
func (b *body) reader() (io.ReadCloser, int64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.try++
	b.offset = 0
	return io.NopCloser(&bodyReader{
		body: b,
		try:  b.try,
	}), b.length
}

// replayable reports whether everything read so far is buffered and the rest can
// be read.
func (b *body) replayable() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return !b.unbuffered && !b.tooLarge && !b.broken
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
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.lock.Lock()
	defer b.lock.Unlock()
	if r.try != b.try {
		return 0, errStaleReader
	}
	if b.offset < b.buffered.Len() {
		n := copy(p, b.buffered.Bytes()[b.offset:])
		b.offset += n
		return n, nil
	}
	return b.readSource(p)
}

// readSource reads the next bytes from the caller's request and buffers them
// while they fit.
func (b *body) readSource(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.broken = b.broken || err != nil && !errors.Is(err, io.EOF)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		b.tooLarge = true
		return 0, errTooLarge
	}
	if b.buffered.Len()+n > maxReplayBytes {
		b.unbuffered = true
	}
	if !b.unbuffered {
		b.buffered.Write(p[:n])
		b.offset = b.buffered.Len()
	}
	return n, err
}
