package conns

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// longUpload is longer than what a connection's buffers take.
var longUpload = strings.Repeat("x", 12<<20)

// TestEarlyAnswerThatBreaksOffIsNotComplete guards against a part of an answer that passes for all of it:
// a backend server answers an upload before it has read it, without a length, and resets the connection.
// The reset may be noticed by the write, and the read then finds an end.
func TestEarlyAnswerThatBreaksOffIsNotComplete(t *testing.T) {
	for _, tc := range []struct {
		name string
		body string
		end  func(conn *net.TCPConn)
	}{
		{"reset during the upload", longUpload, func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
		{"closed during the upload", longUpload, func(*net.TCPConn) {}},
		{"ends its half during the upload, and resets", longUpload, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
		}},
		{"reset after the upload", "short", func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, func(conn net.Conn, r *bufio.Reader) {
				for line := ""; line != "\r\n"; {
					line, _ = r.ReadString('\n')
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: one\r\n\r\npart")
				time.Sleep(20 * time.Millisecond)
				tc.end(conn.(*net.TCPConn))
			})
			var p Pool
			for range 10 {
				_, err := do(t, &p, address, request(tc.body))
				must.Error(t, err)
			}
		})
	}
}

// TestWholeAnswersWithoutLength checks that an answer which its connection ends is complete if it ends
// as agreed and the whole request was sent.
func TestWholeAnswersWithoutLength(t *testing.T) {
	for name, body := range map[string]string{"short": "short", "long": longUpload} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, func(conn net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: one\r\n\r\nall")
				}
			})
			var p Pool
			got, err := do(t, &p, address, request(body))
			must.NoError(t, err)
			must.Eq(t, "all", got)
		})
	}
}

// TestStatusesThatAreNone guards against answers with a status that no answer has.
func TestStatusesThatAreNone(t *testing.T) {
	for _, line := range []string{"000 None", "099 None", "600 None", "999 None", "OK", "", "2x0 OK", "-20 OK", "+20 OK", "20 OK", "2000 OK"} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, func(conn net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: one\r\nContent-Length: 4\r\n\r\ntext", line)
				}
			})
			var p Pool
			_, err := do(t, &p, address, request("short"))
			var invalid *InvalidAnswerError
			must.True(t, errors.As(err, &invalid), must.Sprint(err))
		})
	}
}

// TestInterimAnswersWithoutEnd checks that a backend server which sends nothing but interim answers ends
// the exchange.
func TestInterimAnswersWithoutEnd(t *testing.T) {
	for _, status := range []string{"100 Continue", "101 Switching Protocols", "103 Early Hints", "199 None"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, func(conn net.Conn, r *bufio.Reader) {
				_, _, err := readRequest(r)
				for err == nil {
					_, err = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n\r\n", status)
				}
			})
			var p Pool
			_, err := do(t, &p, address, request("short"))
			must.Error(t, err)
		})
	}
}
