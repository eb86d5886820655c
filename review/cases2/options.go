package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"mangostile/internal/fake/grid"
)

// optionsCount is the number of requests of the client.
const optionsCount = 10

// optionsAnswers sends OPTIONS requests for everything, or for a path that has a route, and looks for
// successes that no replica signed.
func optionsAnswers(r *recorder, trouble bool) (int, error) {
	d, err := newDeployment(r)
	if err != nil {
		return unable, err
	}
	defer d.close()
	if err := d.grid.Start(&grid.Replica{ID: "i-1", Service: "orders", Zone: "kano-a", Version: "v1", Pace: 60 * time.Millisecond}); err != nil {
		return unable, err
	}
	d.grid.OnRun = func(run grid.Run) { r.note("replica %s runs %s", run.Replica, run.ID) }
	if err := d.grid.Configure(plainConfig()); err != nil {
		return unable, err
	}
	vm, err := d.add("front-kano-a-1", "kano-a", "ng-north", "", zonesOfSite)
	if err != nil {
		return unable, err
	}
	if err := vm.start(); err != nil {
		return unable, err
	}
	if err := vm.awaitReady(); err != nil {
		return unable, err
	}
	target := "/orders/x"
	if trouble {
		target = "*"
	}
	unsigned := 0
	for i := range optionsCount {
		id := fmt.Sprint("options-", i)
		status, stamp, err := options(vm.front, target, id)
		if err != nil {
			return unable, err
		}
		r.note("client sends OPTIONS %s as %s and has status %d, Server-Stamp %q, %d runs", target, id, status, stamp, d.grid.Runs(id, http.MethodOptions+target))
		if status/100 == 2 && stamp == "" {
			unsigned++
		}
	}
	r.say("%d of %d answers to OPTIONS %s were successes without a Server-Stamp", unsigned, optionsCount, target)
	if unsigned > 0 {
		return broken, nil
	}
	return held, nil
}

// options sends a request on a new connection.
func options(front, target, id string) (status int, stamp string, err error) {
	conn, err := net.DialTimeout("tcp4", front, 2*time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", target, id); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodOptions})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, grid.Stamp(resp.Header), err
}
