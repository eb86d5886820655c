package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"mangostile/internal/fake/grid"
)

// The crowd of the case.
const (
	// crowdSize is below the number of descriptors of a machine of the small sites.
	crowdSize = 1900
	// crowdTime is how long a crowd stays at most.
	crowdTime = 10 * time.Second
	// fieldBytes is the length of the field with many parts. With it a head has less than half of
	// limits.maxHeaderBytes.
	fieldBytes = 7000
	// workTime is that of the ordinary requests that are in flight.
	workTime      = 8 * time.Second
	ordinaryCount = 4
	memoryPeriod  = 20 * time.Millisecond
	// The rule speaks of processes that end three times, on a tenth of the machines and two at least.
	crowdedVMs    = 2
	crowdRounds   = 3
	leastEnds     = 3
	leastMachines = 2
)

// plainConfig is a configuration with one route to a plain service, with the limits of the small sites.
func plainConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "orders", "host": "h.example", "pathPrefix": "/orders/", "kind": "non_idempotent", "service": "orders",
			"timeoutMs": 15000, "targetLatencyMs": 400, "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "orders", "healthPath": "/health", "maxConnections": 100}},
		"limits":   map[string]any{"maxBodyBytes": 4 << 20, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// ordinary makes an ordinary request and returns its status, 0 if there was no whole answer.
func ordinary(front, path, id string) (status int, err error) {
	client := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+front+path, strings.NewReader("an order"))
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "15000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// crowd sends requests of legal size whose Prompt-Prefix has very many short parts, and whose bodies stop
// one byte short of their end, to two entry VMs. As the platform does, it kills a process that exceeds the
// memory of its machine, and starts it again.
func crowd(r *recorder, trouble bool) (int, error) {
	d, err := newDeployment(r)
	if err != nil {
		return unable, err
	}
	defer d.close()
	if err := d.grid.Start(&grid.Replica{ID: "i-1", Service: "orders", Zone: "kano-a", Version: "v1", Pace: 60 * time.Millisecond, Linger: workTime}); err != nil {
		return unable, err
	}
	d.grid.OnRun = func(run grid.Run) { r.note("replica %s runs %s", run.Replica, run.ID) }
	if err := d.grid.Configure(plainConfig()); err != nil {
		return unable, err
	}
	var group sync.WaitGroup
	results := make([]crowdResult, crowdedVMs)
	for i := range crowdedVMs {
		vm, err := d.add(fmt.Sprint("front-kano-a-", i+1), "kano-a", "ng-north", "", zonesOfSite)
		if err != nil {
			return unable, err
		}
		group.Go(func() {
			for round := 0; round < crowdRounds && results[i].err == nil; round++ {
				results[i].round(r, vm, round, trouble)
			}
		})
	}
	group.Wait()
	machines, lost := 0, 0
	for i, result := range results {
		if result.err != nil {
			return unable, fmt.Errorf("%s: %w", d.vms[i].name, result.err)
		}
		r.say("%s: its processes ended %d times, with at most %d MB of %d; %d of %d ordinary requests in flight were lost", d.vms[i].name, result.ends, result.most, memoryMB, result.lost, crowdRounds*ordinaryCount)
		lost += result.lost
		if result.ends >= leastEnds {
			machines++
		}
	}
	if machines >= leastMachines {
		return broken, nil
	}
	if lost > 0 {
		return unable, fmt.Errorf("%d ordinary requests were lost although few processes ended", lost)
	}
	return held, nil
}

// crowdResult is what was seen of one entry VM.
type crowdResult struct {
	ends, lost, most int
	err              error
}

// round starts the process unless it runs, and has a crowd come and leave.
func (c *crowdResult) round(r *recorder, vm *entryVM, round int, trouble bool) {
	if vm.cmd == nil {
		if c.err = vm.start(); c.err == nil {
			c.err = vm.awaitReady()
		}
	}
	name := fmt.Sprint(vm.name, "-", round)
	if c.err != nil {
		return
	}
	if status, err := ordinary(vm.front, "/orders/x", "calm-"+name); status != http.StatusOK {
		c.err = fmt.Errorf("an ordinary request in calm: status %d, %w", status, err)
		return
	}
	var accepted sync.WaitGroup
	var mu sync.Mutex
	for i := range ordinaryCount {
		accepted.Go(func() {
			id := fmt.Sprintf("order-%s-%d", name, i)
			r.note("client sends %s to %s", id, vm.name)
			status, err := ordinary(vm.front, "/orders"+grid.LingerPath, id)
			r.note("client has of %s: status %d %v", id, status, err)
			mu.Lock()
			defer mu.Unlock()
			if status == 0 {
				c.lost++
			}
		})
	}
	time.Sleep(time.Second)
	prefix := "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
	if trouble {
		prefix = strings.Repeat(",", fieldBytes)
	}
	r.note("%d clients send %s requests with a head of %d bytes and 9 of the 10 bytes of the body", crowdSize, vm.name, len(crowdHead(0, prefix)))
	leave := make(chan struct{})
	var clients sync.WaitGroup
	for i := range crowdSize {
		clients.Go(func() { crowdClient(vm.front, crowdHead(i, prefix), leave) })
	}
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && !vm.ended(); time.Sleep(memoryPeriod) {
		used := vm.memory("VmRSS")
		c.most = max(c.most, used)
		if used > memoryMB {
			r.note("%s has %d MB of %d and is killed", vm.name, used, memoryMB)
			vm.signal(syscall.SIGKILL)
			<-vm.done
		}
	}
	close(leave)
	clients.Wait()
	accepted.Wait()
	if vm.ended() {
		vm.cmd = nil
		c.ends++
		return
	}
	if status, err := ordinary(vm.front, "/orders/x", "after-"+name); status != http.StatusOK {
		c.err = fmt.Errorf("an ordinary request after the crowd: status %d, %w", status, err)
	}
}

// crowdClient sends all but the last byte of a request and stays.
func crowdClient(front, head string, leave <-chan struct{}) {
	conn, err := net.DialTimeout("tcp4", front, 2*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(crowdTime))
	if _, err := io.WriteString(conn, head+"123456789"); err == nil {
		<-leave
	}
}

// crowdHead is the head of a request of the crowd.
func crowdHead(i int, prefix string) string {
	return fmt.Sprintf("POST /orders/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd-%d\r\nDeadline-Ms: 15000\r\nPrompt-Prefix: %s\r\nContent-Length: 10\r\n\r\n", i, prefix)
}
