package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longBody is the length of an upload, below the max_body_bytes of the
	// configuration.
	longBody = 512 << 10
	// pieceSize is the number of bytes that a consumer sends at a time.
	pieceSize     = 8 << 10
	pieceInterval = 5 * time.Millisecond
	// blockSize is the length of one numbered block of an upload.
	blockSize = 16
	uploads   = 40
	// earlyEvery is the number of uploads that a worker gets for each that it answers
	// early.
	earlyEvery = 20
	// longAnswer and shortAnswer are the lengths of the worker's answers on the
	// unsafe and the safe route.
	longAnswer  = 70_000
	shortAnswer = 6_000
)

// Prefixes of the routes.
const (
	unsafePrefix = "/lepu270/"
	safePrefix   = "/xapu221/"
)

// block returns the numbered block of an upload.
func block(number int) string {
	return fmt.Sprintf("%0*d\n", blockSize-1, number)
}

// uploadCheck collects what the worker found in the bodies of uploads.
type uploadCheck struct {
	lock    sync.Mutex
	changed int
	whole   int
	short   int
}

// read reads a body and compares it with what the consumer sends.
func (u *uploadCheck) read(d *deployment, id string, body io.Reader) {
	reader := bufio.NewReader(body)
	content := make([]byte, blockSize)
	number := 0
	changed := ""
	var err error
	for {
		if _, err = io.ReadFull(reader, content); err != nil {
			break
		}
		if changed == "" && string(content) != block(number) {
			changed = fmt.Sprintf("byte %d of the body should begin block %q and begins %q", number*blockSize, block(number), content)
		}
		number++
	}
	u.lock.Lock()
	defer u.lock.Unlock()
	switch {
	case changed != "":
		u.changed++
		d.write("worker got other bytes in %s: %s; read %d bytes in all, then %v", id, changed, number*blockSize, err)
	case err == io.EOF && number*blockSize == longBody:
		u.whole++
		d.write("worker read all of %s", id)
	default:
		u.short++
		d.write("worker read %d right bytes of %s, then %v", number*blockSize, id, err)
	}
}

// playEarly has one of two workers of a service answer some long uploads before it has
// read them and read on afterwards. Without trouble it answers all when it has read
// them, as the other one does.
func playEarly(d *deployment) (bool, error) {
	check := &uploadCheck{}
	caller, err := d.startPair(d.uploadServer(check, d.trouble),
		newRoute("r-unsafe", unsafePrefix, "unsafe", firstName), newRoute("r-safe", safePrefix, "safe", firstName))
	if err != nil {
		return false, err
	}
	other, err := d.startNode(2, 3, firstName)
	if err != nil {
		return false, err
	}
	if err := waitUntil("the third node is ready", func() bool { return ready(other.IP) }); err != nil {
		return false, err
	}
	if _, err := d.startWorker("i-33cc44dd", other.IP, firstName, d.uploadServer(check, false)); err != nil {
		return false, err
	}
	if err := d.waitForService(caller, unsafePrefix+"ready"); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	for i := range uploads {
		prefix := unsafePrefix
		if i%4 >= 2 {
			prefix = safePrefix
		}
		d.upload(caller, prefix+"2f", i%2 == 0)
	}
	time.Sleep(time.Second)
	check.lock.Lock()
	defer check.lock.Unlock()
	d.write("%d uploads: the workers read %d whole, %d broken off, %d with other bytes", uploads, check.whole, check.short, check.changed)
	return check.changed > 0, nil
}

// uploadServer returns the handler of a worker that reads uploads and checks them. If
// early is set, it answers one in earlyEvery of them before it has read it, beginning
// with the first that comes in chunks.
func (d *deployment) uploadServer(check *uploadCheck, early bool) http.HandlerFunc {
	var since atomic.Int64
	since.Store(earlyEvery)
	return func(out http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(idHeader)
		if request.ContentLength == 0 {
			_, _ = io.WriteString(out, "ok")
			return
		}
		length := longAnswer
		if strings.HasPrefix(request.URL.Path, safePrefix) {
			length = shortAnswer
		}
		now := early && since.Add(1) > earlyEvery && request.ContentLength < 0
		if now {
			since.Store(0)
		} else {
			check.read(d, id, request.Body)
		}
		out.Header().Set("Content-Length", fmt.Sprint(length))
		controller := http.NewResponseController(out)
		_ = controller.EnableFullDuplex()
		_, _ = io.WriteString(out, strings.Repeat("x", length))
		_ = controller.Flush()
		if now {
			d.write("worker has answered %s before it has read it", id)
			check.read(d, id, request.Body)
		}
	}
}

// upload sends a long body in pieces, with a length or in chunks, and reads the
// answer meanwhile.
func (d *deployment) upload(ip, target string, chunked bool) {
	id := newID()
	conn, err := net.Dial("tcp", address(ip, portOutbound))
	if err != nil {
		d.write("consumer could not connect for %s: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	answered := make(chan string, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			answered <- err.Error()
			return
		}
		body, err := io.ReadAll(response.Body)
		answered <- fmt.Sprintf("%d with %d bytes, stamp %q, error %v", response.StatusCode, len(body), response.Header.Get(stampHeader), err)
	}()
	framing := fmt.Sprintf("Content-Length: %d", longBody)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	d.write("consumer sends %s: POST %s, %s", id, target, framing)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n\r\n", target, host, idHeader, id, deadlineHeader, consumerTimeout.Milliseconds(), framing)
	_, err = io.WriteString(conn, head)
	for sent := 0; err == nil && sent < longBody; sent += pieceSize {
		err = writePiece(conn, sent, chunked)
		time.Sleep(pieceInterval)
	}
	if err == nil && chunked {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	select {
	case text := <-answered:
		d.write("consumer got for %s: %s (its sending ended with %v)", id, text, err)
	case <-time.After(consumerTimeout):
		d.write("consumer got nothing for %s", id)
	}
}

// writePiece writes the part of an upload that begins at an offset.
func writePiece(to io.Writer, offset int, chunked bool) error {
	piece := &strings.Builder{}
	for at := offset; at < offset+pieceSize; at += blockSize {
		piece.WriteString(block(at / blockSize))
	}
	text := piece.String()
	if chunked {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(to, text)
	return err
}

// startPair starts two sidecar machines, a worker of the first service beside one
// of them, and puts a configuration with the routes in force. It returns the
// address of the other machine.
func (d *deployment) startPair(serve http.HandlerFunc, routes ...route) (string, error) {
	caller, err := d.startNode(0, 1, secondName)
	if err != nil {
		return "", err
	}
	server, err := d.startNode(1, 2, firstName)
	if err != nil {
		return "", err
	}
	if _, err := d.accept("0", newConfiguration("r7", routes...), d.coreIPs()...); err != nil {
		return "", err
	}
	err = waitUntil("both nodes are ready", func() bool { return ready(caller.IP) && ready(server.IP) })
	if err != nil {
		return "", err
	}
	if _, err := d.startWorker("i-7f3a91c2", server.IP, firstName, serve); err != nil {
		return "", err
	}
	if _, err := d.startWorker("i-11aa22bb", caller.IP, secondName, nil); err != nil {
		return "", err
	}
	return caller.IP, nil
}
