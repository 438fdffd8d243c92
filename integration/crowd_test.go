package integration

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"storj.io/drpc/drpcwire"
)

const (
	// measuredLines is the number of header lines of the requests with which the
	// growth of memory was first measured.
	measuredLines = 3500
	// mostLines is the number of such lines in a header section just below the
	// 64 KiB that a node without a configuration allows.
	mostLines = 8000
	// legalHeadBytes is the size of a header section that a configuration allows.
	legalHeadBytes = 16384
	// legalLines is the number of header lines of that size. Most of them then
	// have distinct names.
	legalLines = 3000
	// heldTime is how long a client waits before it completes a header section. It
	// is within the 3 s that a configuration allows.
	heldTime = time.Second
	// trickleInterval is the time between two lines of a slow header section.
	trickleInterval = 100 * time.Millisecond
	// writeBytes is the number of bytes that a client writes at once.
	writeBytes = 64 << 10
	// endlessBytes is the number of bytes of header lines or empty lines that a
	// client writes on one connection before it only waits.
	endlessBytes = 4 << 20
	// sourceAddresses is the number of IP addresses of the clients of a crowd.
	sourceAddresses = 5
)

// An attack writes to a connection until a write fails. It may return earlier;
// then the client waits until the connection is closed.
type attack func(conn net.Conn, random *rand.Rand)

// A crowd is a number of concurrent clients. Each opens at most the given number
// of connections, one after the other, and all are closed after the duration.
type crowd struct {
	clients     int
	connections int
	duration    time.Duration
}

// A site is an address with the attacks that are run against it.
type site struct {
	address string
	attacks []attack
}

// attack runs the attacks of all sites. The clients are spread over the sites. A
// client takes the attacks of its site in turn, and starts with another one than
// its neighbour.
func (c crowd) attack(ctx context.Context, sites ...site) {
	ctx, cancel := context.WithTimeout(ctx, c.duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range c.clients {
		s := sites[i%len(sites)]
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 0))
			for n := 0; n < c.connections && ctx.Err() == nil; n++ {
				run := s.attacks[(i/len(sites)+n)%len(s.attacks)]
				connectAndRun(ctx, i, s.address, run, random)
			}
		})
	}
	group.Wait()
}

// connectAndRun runs an attack over one connection, and waits until either end
// has closed it. Responses are read and discarded. A refused connection is part
// of the attack and no error.
func connectAndRun(ctx context.Context, client int, address string, run attack, random *rand.Rand) {
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{
			IP: net.IPv4(127, 0, 0, byte(2+client%sourceAddresses)),
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		time.Sleep(trickleInterval)
		return
	}
	stop := context.AfterFunc(ctx, func() {
		_ = conn.Close()
	})
	defer stop()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
	run(conn, random)
	<-closed
}

// write writes data in parts, and reports whether the connection took it all.
func write(conn net.Conn, data []byte) bool {
	for len(data) > 0 {
		n, err := conn.Write(data[:min(len(data), writeBytes)])
		if err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}

// repeat writes data again and again.
func repeat(data string) attack {
	return func(conn net.Conn, _ *rand.Rand) {
		for write(conn, []byte(data)) {
			continue
		}
	}
}

// repeatHeld writes requests again and again. It writes the rest of each after
// heldTime.
func repeatHeld(head, rest string) attack {
	return func(conn net.Conn, _ *rand.Rand) {
		for write(conn, []byte(head)) {
			time.Sleep(heldTime)
			if !write(conn, []byte(rest)) {
				return
			}
		}
	}
}

// trickle writes the start of a header section at once and then one line at a
// time.
func trickle(start string) attack {
	return func(conn net.Conn, _ *rand.Rand) {
		ok := write(conn, []byte(start))
		for i := 0; ok; i++ {
			time.Sleep(trickleInterval)
			ok = write(conn, fmt.Appendf(nil, "slow%d:\r\n", i))
		}
	}
}

// endless writes a start and then numbered lines, up to endlessBytes.
func endless(start, line string) attack {
	data := []byte(start)
	for i := 0; len(data) < endlessBytes; i++ {
		data = append(data, strings.ReplaceAll(line, "#", fmt.Sprint(i))...)
	}
	return func(conn net.Conn, _ *rand.Rand) {
		write(conn, data)
	}
}

// idle writes nothing.
func idle(net.Conn, *rand.Rand) {}

// requestLine returns the start of a request up to its first header line.
func requestLine(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: node\r\n"
}

// numberedLines returns header lines in which each # of the form is replaced by
// the number of the line.
func numberedLines(count int, form string) string {
	var text strings.Builder
	for i := range count {
		text.WriteString(strings.ReplaceAll(form, "#", fmt.Sprint(i)))
	}
	return text.String()
}

// nameBytes are the bytes of short header names. Upper case is left out, because it
// gives no other names.
const nameBytes = "abcdefghijklmnopqrstuvwxyz0123456789!$%&'*+-.^_`|~"

// shortestLines returns header lines of five bytes with distinct names, just below
// 64 KiB. They are those that need the most memory for their bytes.
func shortestLines() string {
	const count = 12_000
	n := len(nameBytes)
	text := make([]byte, 0, 5*count)
	for i := range count {
		text = append(text, nameBytes[i/n/n%n], nameBytes[i/n%n], nameBytes[i%n], ':', '\n')
	}
	return string(text)
}

// legalHead returns a complete header section of legalHeadBytes that has the given
// number of header lines, those of the start included. Most have empty values, and
// as many of them have distinct names as the size allows. The last line is filled
// up to the size.
func legalHead(start string, lines int) string {
	var text strings.Builder
	text.WriteString(start)
	const lastLine = "z: \r\n\r\n"
	for i := strings.Count(start, "\n"); i < lines; i++ {
		room := (legalHeadBytes - len(lastLine) - text.Len()) / (lines - i)
		switch n := len(nameBytes); {
		case i < n || room <= len("a:\r\n"):
			text.WriteString(nameBytes[i%n:i%n+1] + ":\r\n")
		case room <= len("ab:\r\n"):
			text.WriteString(nameBytes[i/n%n:i/n%n+1] + nameBytes[i%n:i%n+1] + ":\r\n")
		default:
			text.WriteString("x" + nameBytes[i/n%n:i/n%n+1] + nameBytes[i%n:i%n+1] + ":\r\n")
		}
	}
	filler := legalHeadBytes - text.Len() - len(lastLine)
	text.WriteString("z: " + strings.Repeat("z", filler) + "\r\n\r\n")
	return text.String()
}

// shortLines returns attacks with complete requests of many short header lines.
func shortLines(path string) []attack {
	measured := requestLine(path) + numberedLines(measuredLines, "h#:\r\n")
	configured := strings.TrimSuffix(legalHead(requestLine(path), legalLines), "\r\n")
	return []attack{
		repeatHeld(requestLine(path)+numberedLines(mostLines, "h#:\r\n"), "\r\n"),
		repeatHeld(measured, "\r\n"),
		repeatHeld(configured, "\r\n"),
		repeat(measured + "\r\n"),
	}
}

// malformedLines returns attacks with header lines that are not legal, at the
// start, in the middle and at the end of many others.
func malformedLines(path string) []attack {
	start := requestLine(path)
	many := numberedLines(mostLines, "h#:\r\n")
	attacks := []attack{
		repeatHeld(start+many, "h\r\n\r\n"),
		repeatHeld(start+numberedLines(mostLines-1000, "h #:\r\n"), "\r\n"),
		repeatHeld(start+many, "h:\r\n f\r\n\r\n"),
		repeatHeld(start+numberedLines(mostLines-1000, "h #:\r\n"), ":\r\n\r\n"),
	}
	for _, line := range []string{
		"h#\r\n", ":#\r\n", " h#:\r\n", "h\x00#:\r\n", "h\xff#:\r\n", "h#:\r", "h#: \x01\r\n", "h(#):\r\n", "h#:\r\n f\r\n",
	} {
		attacks = append(attacks,
			repeat(start+numberedLines(measuredLines, line)+"\r\n"),
			repeatHeld(start+many+line, line+"\r\n"),
		)
	}
	return attacks
}

// oversizedHeads returns attacks with complete header sections beyond any limit.
// Some stop for heldTime just below the limit.
func oversizedHeads(path string) []attack {
	many := numberedLines(100_000, "g#:\r\n")
	return []attack{
		repeatHeld(requestLine(path)+numberedLines(mostLines, "h#:\r\n"), many+"\r\n"),
		repeatHeld(requestLine(path)+shortestLines(), "h: "+strings.Repeat("v", 1<<20)+"\r\n\r\n"),
		repeat(requestLine(path) + many + "\r\n"),
		repeatHeld(requestLine(path)+shortestLines(), strings.Repeat("n", 1<<20)+":\r\n\r\n"),
		repeat(requestLine("/" + strings.Repeat("p", 1<<20))),
	}
}

// endlessHeads returns attacks with header sections that do not end. Some stop for
// heldTime just below the limit.
func endlessHeads(path string) []attack {
	return []attack{
		repeatHeld(requestLine(path)+numberedLines(mostLines, "h#:\r\n"), numberedLines(100_000, "g#: #\r\n")),
		endless(requestLine(path), "h#:\r\n"),
		repeatHeld(requestLine(path)+shortestLines()+"h:\r\n", numberedLines(100_000, " folded #\r\n")),
		endless(requestLine(path)+"h:", " folded #\r\n"),
		repeatHeld(requestLine(path)+shortestLines(), "h: "+numberedLines(100_000, "#")),
		endless("GET /", "#"),
	}
}

// emptyLines returns attacks with empty lines before a request.
func emptyLines(path string) []attack {
	request := "POST " + path + " HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n"
	return []attack{
		endless("", "\r\n"),
		endless("", "\n"),
		endless(request, "\r\n"),
		repeat(strings.Repeat("\r\n", 10_000) + request),
		repeat(request + strings.Repeat("\r\n", 10_000)),
		func(conn net.Conn, _ *rand.Rand) {
			for write(conn, []byte("\r\n")) {
				time.Sleep(trickleInterval)
			}
		},
	}
}

// slowHeads returns attacks with header sections that end late or never.
func slowHeads(path string) []attack {
	return []attack{
		trickle(requestLine(path) + shortestLines()),
		trickle(requestLine(path) + numberedLines(mostLines, "h#:\r\n")),
		trickle(requestLine(path) + shortestLines()),
		trickle(requestLine(path) + shortestLines()),
		trickle(strings.TrimSuffix(legalHead(requestLine(path), legalLines), "\r\n")),
		trickle(requestLine(path) + shortestLines()),
		trickle(requestLine(path)),
	}
}

// allAttacks returns the attacks of all kinds.
func allAttacks(path string) []attack {
	attacks := []attack{idle}
	for _, kind := range []func(path string) []attack{
		shortLines, malformedLines, oversizedHeads, endlessHeads, emptyLines, slowHeads,
	} {
		attacks = append(attacks, kind(path)...)
	}
	return attacks
}

const (
	// overlayBytes is the number of bytes that a client sends on one connection
	// to an overlay port.
	overlayBytes = 4 << 20
	// announcedBytes is the length of a frame that is announced and not sent in
	// full.
	announcedBytes = 15 << 20
)

// frameStart returns the start of a drpc frame of the given kind and length.
func frameStart(kind drpcwire.Kind, message, length uint64) []byte {
	data := []byte{byte(kind)<<1 | 1}
	data = drpcwire.AppendVarint(data, 1)
	data = drpcwire.AppendVarint(data, message)
	return drpcwire.AppendVarint(data, length)
}

// randomBytes writes random bytes after a start, and then waits.
func randomBytes(start []byte) attack {
	return func(conn net.Conn, random *rand.Rand) {
		data := make([]byte, writeBytes)
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		ok := write(conn, start)
		for sent := 0; ok && sent < overlayBytes; sent += len(data) {
			ok = write(conn, data)
		}
	}
}

// unfinishedMessages returns attacks with frames that are announced and not sent in
// full: of an unknown method, as a message to a known method, and as a message in
// many small frames.
func unfinishedMessages() []attack {
	invoke := drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: []byte("/fireflymoor.messenger.Overlay/Link"),
		ID: drpcwire.ID{
			Stream:  1,
			Message: 1,
		},
		Kind: drpcwire.KindInvoke,
		Done: true,
	})
	small := drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: make([]byte, 200),
		ID: drpcwire.ID{
			Stream:  1,
			Message: 2,
		},
		Kind: drpcwire.KindMessage,
	})
	return []attack{
		randomBytes(frameStart(drpcwire.KindInvoke, 1, announcedBytes)),
		randomBytes(append(invoke[:len(invoke):len(invoke)], frameStart(drpcwire.KindMessage, 2, announcedBytes)...)),
		func(conn net.Conn, _ *rand.Rand) {
			write(conn, invoke)
			for sent := 0; sent < overlayBytes && write(conn, small); sent += len(small) {
				continue
			}
		},
	}
}

const (
	// streamLines is the number of header lines of a request over HTTP/2. Each
	// counts 32 bytes more there, so that more lines would be beyond the limit of
	// 64 KiB.
	streamLines = 1500
	// streamsPerConnection is the number of concurrent requests on a connection.
	streamsPerConnection = 100
)

// attackStreams sends requests with many short header lines and an unfinished body
// over HTTP/2 without TLS again and again, for attackTime.
func attackStreams(ctx context.Context, connections int, url string) {
	ctx, cancel := context.WithTimeout(ctx, attackTime)
	defer cancel()
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	header := http.Header{}
	for i := range streamLines {
		header[fmt.Sprintf("H%d", i)] = []string{""}
	}
	var group sync.WaitGroup
	for range connections {
		client := &http.Client{
			Transport: &http.Transport{
				Protocols: protocols,
			},
		}
		for range streamsPerConnection {
			group.Go(func() {
				for ctx.Err() == nil {
					sendStream(ctx, client, url, header)
				}
			})
		}
	}
	group.Wait()
}

// sendStream sends one request whose body ends after heldTime, and discards the
// response. A refused request is part of the attack and no error.
func sendStream(ctx context.Context, client *http.Client, url string, header http.Header) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, end := io.Pipe()
	time.AfterFunc(heldTime, func() {
		_ = end.Close()
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		panic(err)
	}
	request.Header = header
	response, err := client.Do(request)
	if err != nil {
		time.Sleep(trickleInterval)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
