package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"mangostile/internal/fake/grid"
)

// Bounds of the deployment, those of the settings that the platform writes.
const (
	leaseInterval   = 3 * time.Second
	stabilityWindow = 4 * time.Second
	grace           = 8 * time.Second
	readyTimeout    = 25 * time.Second
	// readyPeriod is the period of the balancer's readiness checks; after missesOut in a row an
	// entry VM gets no new connection.
	readyPeriod = time.Second
	missesOut   = 2
)

// programPath is the program that deploy/system.toml builds and runs.
const programPath = "target/mangostile"

// zone is a zone of a deployment.
type zone struct {
	name, region string
	vms          int
}

// machine is an entry VM: its address and its process, which may be started many times.
type machine struct {
	name string
	zone zone
	ip   string
	conf string
	log  *os.File

	mu sync.Mutex
	// cmd is nil while no process runs.
	cmd *exec.Cmd
	// undisturbedSince is the last start, or signal other than SIGHUP.
	undisturbedSince time.Time
	misses           int
}

func (m *machine) front() string { return m.ip + ":8149" }

// processes are those that were started. The zero value is ready to use.
type processes struct {
	mu   sync.Mutex
	list []*os.Process
}

// started holds the processes that must not outlive this one.
var started processes

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, process)
}

// kill kills all processes that have not been waited for.
func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.list {
		_ = process.Kill()
	}
}

// deployment is the platform's stand-in with the entry VMs.
type deployment struct {
	*grid.Grid
	record   *recorder
	dir      string
	zones    []zone
	machines []*machine
	// holders has the name of the machine that gave the last order, by zone.
	holders sync.Map
	stop    chan struct{}
	group   sync.WaitGroup
}

// newDeployment starts the store. start starts the entry VMs.
func newDeployment(r *recorder, zones []zone) (*deployment, error) {
	if _, err := os.Stat(programPath); err != nil {
		return nil, fmt.Errorf("run the build line of deploy/system.toml in the repository: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	g, err := grid.New(leaseInterval)
	if err != nil {
		return nil, err
	}
	return &deployment{Grid: g, record: r, dir: dir, zones: zones, stop: make(chan struct{})}, nil
}

// freeNet returns the first two numbers of loopback addresses that no other process uses.
func freeNet() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d", 64+rand.IntN(128))
		listener, err := net.Listen("tcp4", prefix+".1.1:8149")
		if err == nil {
			return prefix, listener.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

// start starts all entry VMs and waits until they are ready.
func (d *deployment) start() error {
	prefix, err := freeNet()
	if err != nil {
		return err
	}
	for i, z := range d.zones {
		for j := range z.vms {
			m := &machine{name: fmt.Sprintf("front-%s-%d", z.name, j+1), zone: z, ip: fmt.Sprintf("%s.%d.%d", prefix, i+1, j+1)}
			m.conf = filepath.Join(d.dir, m.name+".conf")
			if err := os.WriteFile(m.conf, []byte(d.settings(m)), 0o600); err != nil {
				return err
			}
			if m.log, err = os.Create(filepath.Join(d.dir, m.name+".log")); err != nil {
				return err
			}
			d.machines = append(d.machines, m)
		}
	}
	for _, m := range d.machines {
		if err := d.startMachine(m); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			if m.ready() {
				ready++
			}
		}
		if ready == len(d.machines) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d entry VMs are ready after %s", ready, len(d.machines), readyTimeout)
		}
	}
	d.group.Go(d.balance)
	return nil
}

func (d *deployment) settings(m *machine) string {
	var b strings.Builder
	for _, z := range d.zones {
		fmt.Fprintf(&b, "zones.%s=%s\n", z.name, z.region)
	}
	fmt.Fprintf(&b, `nodeName=%s
role=entry-vm
machineClass=front
serves=front
ip=%s
zone=%s
region=%s
listen.front=%s
listen.ready=%s:8141
listen.control=%s:8144
internalPorts=7380,7395
bootstrap=true
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
heartbeatMs=1200
bounds.stabilityWindowMs=%d
bounds.graceS=%d
bounds.drainMs=3000
bounds.configApplyMs=3000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=54
bounds.leaseMs=%d
bounds.version_ms=5000
platform.address=%s
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
`, m.name, m.ip, m.zone.name, m.zone.region, m.front(), m.ip, m.ip, stabilityWindow.Milliseconds(), int(grace.Seconds()), leaseInterval.Milliseconds(), d.StoreAddress())
	return b.String()
}

// startMachine starts the process of an entry VM as the deploy file does.
func (d *deployment) startMachine(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command(programPath, "platform")
	cmd.Env = append(os.Environ(), "MANGOSTILE_BOOT="+m.conf)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return err
	}
	started.add(cmd.Process)
	m.cmd, m.undisturbedSince = cmd, time.Now()
	d.record.write("started", "vm", m.name, "pid", cmd.Process.Pid)
	return nil
}

// kill sends SIGKILL to the processes of some entry VMs at the same moment, and starts them again
// after a time.
func (d *deployment) kill(machines []*machine, downtime time.Duration) {
	for _, m := range machines {
		m.mu.Lock()
		m.undisturbedSince = time.Now()
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
		d.record.write("killed", "vm", m.name)
	}
	for _, m := range machines {
		m.reap()
	}
	d.group.Go(func() {
		if !d.sleep(downtime) {
			return
		}
		for _, m := range machines {
			if err := d.startMachine(m); err != nil {
				d.record.write("not_started", "vm", m.name, "error", err)
			}
		}
	})
}

// reap waits for the end of the process.
func (m *machine) reap() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Wait()
		m.cmd = nil
	}
}

// sleep reports false if the deployment was closed meanwhile.
func (d *deployment) sleep(t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-d.stop:
		return false
	}
}

// inTouch reports whether the process of an entry VM has run undisturbed for the stability window.
func (m *machine) inTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd != nil && time.Since(m.undisturbedSince) >= stabilityWindow
}

// ready makes the balancer's readiness check.
func (m *machine) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ip + ":8141/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// balance checks the readiness of each entry VM every readyPeriod.
func (d *deployment) balance() {
	for d.sleep(readyPeriod) {
		for _, m := range d.machines {
			ready := m.ready()
			m.mu.Lock()
			if m.misses++; ready {
				m.misses = 0
			}
			m.mu.Unlock()
		}
	}
}

// lastHolder returns the machine that gave the last order to a replica of a region, nil if none did.
func (d *deployment) lastHolder(region string) *machine {
	for _, z := range d.zones {
		holder, ok := d.holders.Load(z.name)
		if !ok || z.region != region {
			continue
		}
		for _, m := range d.machines {
			if m.name == holder {
				return m
			}
		}
	}
	return nil
}

func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.misses < missesOut
}

// pick returns the entry VM that the balancer chooses for a new connection of a client in a zone:
// one in rotation there, all of the zone's if fewer than half are, and those of the nearest zones
// if none is.
func (d *deployment) pick(from zone) *machine {
	var all, in, near, far []*machine
	for _, m := range d.machines {
		switch ok := m.inRotation(); {
		case m.zone.name == from.name:
			all = append(all, m)
			if ok {
				in = append(in, m)
			}
		case ok && m.zone.region == from.region:
			near = append(near, m)
		case ok:
			far = append(far, m)
		}
	}
	list := in
	switch {
	case len(in) > 0 && 2*len(in) < len(all):
		list = all
	case len(in) > 0:
	case len(near) > 0:
		list = near
	case len(far) > 0:
		list = far
	default:
		list = all
	}
	return list[rand.IntN(len(list))]
}

// close ends all processes and the stand-ins, and removes the folder of settings and logs unless
// REVIEW_KEEP names a place for it.
func (d *deployment) close() {
	close(d.stop)
	d.group.Wait()
	for _, m := range d.machines {
		m.mu.Lock()
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
		m.reap()
		if m.log != nil {
			_ = m.log.Close()
		}
	}
	d.Close()
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Println("logs:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}
