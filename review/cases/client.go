package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Limits of clients.
const (
	connectTimeout = time.Second
	streamDeadline = 15 * time.Second
)

// attempt is one client attempt and its answer.
type attempt struct {
	id, path, model string
	// resumes and lastEvent are set if the attempt takes up a stream.
	resumes   string
	lastEvent int
	machine   *machine
	inTouch   bool
	sentAt    time.Time
	// status is 0 if no answer came.
	status   int
	stamp    string
	answered string
	// events are the ids of the events received, in their order.
	events []int
	// software are the versions of the software that made the events, in the order of their first
	// one, and softwareFrom the ids of these.
	software     []string
	softwareFrom []int
	complete     bool
	err          error
}

// send makes the attempt on a new connection.
func (a *attempt) send(timeout time.Duration) {
	a.sentAt, a.inTouch = time.Now(), a.machine.inTouch()
	conn, err := net.DialTimeout("tcp4", a.machine.front(), connectTimeout)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(a.sentAt.Add(timeout))
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", a.path, a.id, timeout.Milliseconds())
	if a.model != "" {
		fmt.Fprintf(&b, "Model: %s\r\nToken-Counts: 100,60\r\n", a.model)
	}
	if a.lastEvent > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", a.lastEvent, a.resumes)
	}
	b.WriteString("Content-Length: 0\r\n\r\n")
	if _, a.err = io.WriteString(conn, b.String()); a.err != nil {
		return
	}
	a.read(bufio.NewReader(conn))
}

// read reads the answer, a stream of events if its status is 200.
func (a *attempt) read(in *bufio.Reader) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("Server-Stamp")
	if a.status != http.StatusOK {
		text, err := io.ReadAll(resp.Body)
		a.answered, a.err = strings.TrimSpace(string(text)), err
		return
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok && err == nil {
			n, parseErr := strconv.Atoi(id)
			if parseErr != nil {
				a.err = parseErr
				return
			}
			a.events = append(a.events, n)
		}
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok && err == nil && len(a.events) > 0 {
			_, software, _ := strings.Cut(data, " ")
			a.noteSoftware(software)
		}
		if err != nil {
			a.complete = err == io.EOF
			if !a.complete {
				a.err = err
			}
			return
		}
	}
}

// began reports whether the stream has begun or gone on.
func (a *attempt) began() bool { return a.status == http.StatusOK && (len(a.events) > 0 || a.complete) }

// log records the attempt.
func (a *attempt) log(r *recorder) {
	last := a.lastEvent
	if n := len(a.events); n > 0 {
		last = a.events[n-1]
	}
	r.write("attempt", "id", a.id, "vm", a.machine.name, "in_touch", a.inTouch, "resumes", a.resumes, "after_event", a.lastEvent, "status", a.status, "stamp", a.stamp,
		"last_event", last, "complete", a.complete, "took_ms", time.Since(a.sentAt).Milliseconds(), "answer", strconv.Quote(a.answered), "error", a.err)
}

// noteSoftware records the version that made the last event.
func (a *attempt) noteSoftware(software string) {
	if n := len(a.software); n > 0 && a.software[n-1] == software {
		return
	}
	a.software = append(a.software, software)
	a.softwareFrom = append(a.softwareFrom, a.events[len(a.events)-1])
}
