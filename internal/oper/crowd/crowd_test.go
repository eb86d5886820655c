package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"mangostile/internal/fake/grid"

	"github.com/shoenig/test/must"
)

const chunked = "Transfer-Encoding: chunked\r\n"

// legalBodies are clients with bodies of legal size, whole, in pieces and in chunks, of which three
// quarters stop just short of the end and stay.
func (p *target) legalBodies(n int, address, path string) (crowd []client) {
	chunks := inChunks(body, 1000, "")
	for i := range n {
		short := 5
		if i%4 == 0 {
			short = 0
		}
		crowd = append(crowd, client{address, func(conn net.Conn) {
			switch i % 3 {
			case 0:
				_, _ = io.WriteString(conn, p.head("POST", path, fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes))+body[short:])
			case 1:
				inPieces(conn, p.head("POST", path, fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes))+body[short:], 4<<10, 0)
			default:
				_, _ = io.WriteString(conn, p.head("POST", path, chunked)+chunks)
				if short == 0 {
					_, _ = io.WriteString(conn, "0\r\n\r\n")
				}
			}
		}})
	}
	return crowd
}

// longBodies are clients with bodies far over the limit, of stated and of unstated length.
func (p *target) longBodies(n int, address, path string) (crowd []client) {
	chunk := inChunks(body, len(body), "")
	for i := range n {
		crowd = append(crowd, client{address, func(conn net.Conn) {
			extra, part := "Content-Length: 1000000000\r\n", body
			if i%2 == 0 {
				extra, part = chunked, chunk
			}
			_, err := io.WriteString(conn, p.head("POST", path, extra))
			for range 8 {
				if err == nil {
					_, err = io.WriteString(conn, part)
				}
			}
		}})
	}
	return crowd
}

// manyFields are clients with heads of very many short fields, long chunk extensions, or very many
// trailers, which stop before the end of the body.
func (p *target) manyFields(n, headBytes int, address, path string) (crowd []client) {
	fields := shortFields(headBytes)
	extended := inChunks(body[:400], 1, ";"+strings.Repeat("e", 3000))
	for i := range n {
		crowd = append(crowd, client{address, func(conn net.Conn) {
			switch i % 4 {
			case 0, 1:
				_, _ = io.WriteString(conn, p.head("POST", path, fields+"Content-Length: 10\r\n")+"x")
			case 2:
				_, _ = io.WriteString(conn, p.head("POST", path, chunked)+extended)
			default:
				_, _ = io.WriteString(conn, p.head("POST", path, chunked)+"1\r\nx\r\n0\r\n"+fields+fields+fields)
			}
		}})
	}
	return crowd
}

// manyElements are clients with a list of very many empty elements in the head, which stop before the end
// of the body.
func (p *target) manyElements(n, headBytes int, address, path string) (crowd []client) {
	list := grid.PromptHeader + ": " + strings.Repeat(",", headBytes) + "\r\nContent-Length: 10\r\n"
	for range n {
		crowd = append(crowd, client{address, func(conn net.Conn) {
			_, _ = io.WriteString(conn, p.head("POST", path, list)+"123456789")
		}})
	}
	return crowd
}

// pipelined are clients that send many requests ahead and never read.
func (p *target) pipelined(n, each int, address, path string) (crowd []client) {
	for range n {
		crowd = append(crowd, client{address, func(conn net.Conn) {
			for range each {
				if _, err := io.WriteString(conn, p.head("GET", path, "")); err != nil {
					return
				}
			}
		}})
	}
	return crowd
}

// slow are clients that send a byte at a time or read so, or stop half-way through head, body or answer.
func (p *target) slow(n int, address, path string) (crowd []client) {
	legal := fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)
	for i := range n {
		crowd = append(crowd, client{address, func(conn net.Conn) {
			head := p.head("POST", path, legal)
			switch i % 6 {
			case 0:
				inPieces(conn, head, 1, slowPause)
			case 1:
				inPieces(conn, head+body, len(head)+1, slowPause)
			case 2:
				_, _ = io.WriteString(conn, head[:len(head)/2])
			case 3:
				_, _ = io.WriteString(conn, head+body[:maxBodyBytes/2])
			case 4:
				_, _ = io.WriteString(conn, p.longAnswer(path))
				readSlowly(conn)
			default:
				_, _ = io.WriteString(conn, p.longAnswer(path))
				_, _ = io.ReadFull(conn, make([]byte, 100))
			}
		}})
	}
	return crowd
}

// longAnswer returns a request whose answer is long where ids are repeated and have no limit.
func (p *target) longAnswer(path string) string {
	id := strconv.FormatInt(requests.Add(1), 10) + strings.Repeat("i", 50<<10)
	return "POST " + path + " HTTP/1.1\r\n" + strings.ReplaceAll(p.headers, "NUMBER", id) + "Content-Length: 0\r\n\r\n"
}

// elsewhere are clients of all kinds at a path without a route, at the path that says ready, and at the
// addresses that are not for callers.
func (p *target) elsewhere(n int) (crowd []client) {
	crowd = append(crowd, p.anywhere(n, p.front, "/nowhere/x")...)
	crowd = append(crowd, p.anywhere(n, p.readyAddress, p.readyPath)...)
	for _, address := range p.inner {
		crowd = append(crowd, p.anywhere(n, address, "/metrics")...)
	}
	return crowd
}

func (p *target) anywhere(n int, address, path string) (crowd []client) {
	crowd = append(crowd, p.manyFields(n, 900<<10, address, path)...)
	crowd = append(crowd, p.legalBodies(n, address, path)...)
	crowd = append(crowd, p.pipelined(n, 200, address, path)...)
	return append(crowd, p.slow(n, address, path)...)
}

// TestLegalBodies answers (a): bodies of legal size, many at once, most of which never end.
func TestLegalBodies(t *testing.T) {
	eachProgram(t, func(t *testing.T, p *target) { p.run(t, p.legalBodies(200, p.front, p.path)) })
}

// TestLongBodies answers (b): bodies far over the limit, stated and unstated.
func TestLongBodies(t *testing.T) {
	eachProgram(t, func(t *testing.T, p *target) { p.run(t, p.longBodies(100, p.front, p.path)) })
}

// TestManyFields answers (c): thousands of short header fields, long chunk extensions and trailers.
func TestManyFields(t *testing.T) {
	eachProgram(t, func(t *testing.T, p *target) { p.run(t, p.manyFields(280, 60<<10, p.front, p.path)) })
}

// TestManyElements guards against heads of legal size that hold far more memory once they are parsed: lists of
// thousands of empty elements.
func TestManyElements(t *testing.T) {
	eachProgram(t, func(t *testing.T, p *target) { p.run(t, p.manyElements(280, 60<<10, p.front, p.path)) })
}

// TestOptionsOfEverythingIsNoSuccess guards against successes that no backend server gave: the HTTP server
// itself answered a caller's request for the options of the whole server.
func TestOptionsOfEverythingIsNoSuccess(t *testing.T) {
	eachProgram(t, func(t *testing.T, p *target) {
		conn, err := net.DialTimeout("tcp4", p.front, time.Second)
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
		must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(conn, p.head("OPTIONS", "*", "Content-Length: 0\r\n"))
		must.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.GreaterEq(t, 400, resp.StatusCode)
		must.NoError(t, resp.Body.Close())
	})
}

// TestUnreadAnswers answers (d): requests sent ahead whose answers are never read, on more connections
// than the process has descriptors.
func TestUnreadAnswers(t *testing.T) {
	eachProgram(t, func(t *testing.T, p *target) {
		p.run(t, append(p.pipelined(40, 2000, p.front, p.path), p.pipelined(360, 10, p.front, p.path)...))
	})
}

// TestSlowClients answers (e): clients that send or read a byte at a time, or stop half-way, on more
// connections than the process has descriptors.
func TestSlowClients(t *testing.T) {
	eachProgram(t, func(t *testing.T, p *target) { p.run(t, p.slow(400, p.front, p.path)) })
}

// TestElsewhere answers (f): the same at paths without a route, at the path that says ready and at the
// addresses for metrics, entry VMs and operators.
func TestElsewhere(t *testing.T) {
	eachProgram(t, func(t *testing.T, p *target) { p.run(t, p.elsewhere(20)) })
}

// TestMixedCrowd answers (g): clients of all kinds at once.
func TestMixedCrowd(t *testing.T) {
	eachProgram(t, func(t *testing.T, p *target) {
		crowd := p.legalBodies(60, p.front, p.path)
		crowd = append(crowd, p.longBodies(30, p.front, p.path)...)
		crowd = append(crowd, p.manyFields(60, 60<<10, p.front, p.path)...)
		crowd = append(crowd, p.pipelined(60, 200, p.front, p.path)...)
		crowd = append(crowd, p.slow(120, p.front, p.path)...)
		p.run(t, append(crowd, p.elsewhere(5)...))
	})
}
