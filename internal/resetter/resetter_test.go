package resetter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// waitLimit bounds the time for one response over the loopback interface.
const waitLimit = 5 * time.Second

// TestArm guards against a response to an HTTP/1.0 request that is cut off and looks
// complete, however its connection ends, and against a complete one that looks cut off.
func TestArm(t *testing.T) {
	for name, tc := range map[string]struct {
		// end ends the response, after disarm was called if disarmed is set.
		end      func(server *http.Server)
		disarmed bool
	}{
		"return":                     {end: func(*http.Server) {}, disarmed: true},
		"panic":                      {end: func(*http.Server) { panic(http.ErrAbortHandler) }},
		"close":                      {end: func(s *http.Server) { _ = s.Close() }},
		"close after it was written": {end: func(s *http.Server) { _ = s.Close() }, disarmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := &http.Server{
				ReadHeaderTimeout: waitLimit,
			}
			server.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				disarm := Arm(request.Context())
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				if tc.disarmed {
					disarm()
				}
				tc.end(server)
			})
			Attach(server)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(waitLimit)))
			_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
			is.NoErr(err)
			_, err = io.ReadAll(conn)
			if tc.disarmed {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, unix.ECONNRESET))
		})
	}
}

// serverVariable is set in the environment of the process that TestKilledProcess kills.
const serverVariable = "RESETTER_TEST_SERVER"

// TestMain serves responses without end if it runs in that process.
func TestMain(m *testing.M) {
	if os.Getenv(serverVariable) == "" {
		os.Exit(m.Run())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{
		ReadHeaderTimeout: waitLimit,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			Arm(request.Context())
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			<-request.Context().Done()
		}),
	}
	Attach(server)
	fmt.Println(listener.Addr())
	_ = server.Serve(listener)
}

// TestKilledProcess guards against a response to an HTTP/1.0 request that looks complete
// because the process that wrote it was killed.
func TestKilledProcess(t *testing.T) {
	is := is.New(t)
	process := exec.CommandContext(t.Context(), os.Args[0])
	process.Env = append(os.Environ(), serverVariable+"=yes")
	stdout, err := process.StdoutPipe()
	is.NoErr(err)
	is.NoErr(process.Start())
	defer func() { _ = process.Process.Kill() }()
	address, err := bufio.NewReader(stdout).ReadString('\n')
	is.NoErr(err)
	conn, err := net.Dial("tcp", strings.TrimSpace(address))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(waitLimit)))
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.ReadFull(response.Body, make([]byte, len("part")))
	is.NoErr(err)
	is.NoErr(process.Process.Kill())
	_ = process.Wait()
	_, err = io.ReadAll(response.Body)
	is.True(errors.Is(err, unix.ECONNRESET))
}
