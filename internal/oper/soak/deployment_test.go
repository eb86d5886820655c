package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mangostile/internal/fake/grid"
	"mangostile/internal/fake/relay"
	"mangostile/internal/oper/cmds"

	"github.com/shoenig/test/must"
)

// entryVariable is the environment variable that makes the test binary run as an entry
// VM with the settings in the file it names.
const entryVariable = "MANGOSTILE_SOAK_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(entryVariable); path != "" {
		os.Exit(cmds.Main([]string{"mangostile", "platform", "--settings", path}))
	}
	os.Exit(m.Run())
}

// Limits that are configured in the entry VMs or used by the checks.
const (
	handoverInterval = 3 * time.Second
	stopGrace        = 8 * time.Second
	// applyTimeout bounds the time until an entry VM uses a new configuration,
	// drainTimeout that until it sends nothing more to a leaving server.
	applyTimeout = 4 * time.Second
	drainTimeout = 4 * time.Second
	// settleWindow is the time after a fault in which its effects are still tolerated.
	settleWindow    = 5 * time.Second
	recoveryTimeout = 15 * time.Second
	// resumeSlack is how much less than handoverInterval the stand-in checks, and how long
	// it checks no orders after a paused process or a cut link resumes.
	resumeSlack = 300 * time.Millisecond
	// Within retryWindow, retryRatio retries per request and retryReserve more are allowed.
	retryRatio   = 0.2
	retryReserve = 60
	retryWindow  = 10 * time.Second
	// Lengths of streams, and time limits of callers, routes and the start.
	streamEvents  = 20
	eventInterval = 15 * time.Millisecond
	// lingerTime is the additional time of the longest requests.
	lingerTime       = 1500 * time.Millisecond
	requestTimeout   = 3 * time.Second
	routeTimeout     = 4 * time.Second
	readinessTimeout = 20 * time.Second
)

// deployment is the stand-in of the platform and the entry VMs that use it.
type deployment struct {
	*grid.Grid
	t        *testing.T
	plan     plan
	dir      string
	vms      []*vm
	history  history
	coverage coverage
	// deadly is nil if the plan has no deadly part.
	deadly *grid.Deadly

	mu      sync.Mutex
	servers []*server
	// serversStarted counts servers, to give each a unique name.
	serversStarted int
	// version is the version of the active configuration.
	version   int
	startedAt time.Time
}

// server is a replica that is reached through a relay.
type server struct {
	*grid.Replica
	relay *relay.Relay
}

// vm is one entry VM: its process, which may be restarted many times, and the relays
// from it to the store and from callers to it.
type vm struct {
	index int
	dir   string
	ip    string
	store *relay.Relay
	front *relay.Relay
	log   *os.File
	// faults records when faults affected this entry VM.
	faults spans

	mu      sync.Mutex
	process *process
}

// process is one incarnation of an entry VM.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	// stopRequested reports whether the test has sent a signal that ends the process.
	stopRequested atomic.Bool
}

// deployments counts deployments, to give concurrent ones different addresses.
var deployments atomic.Int64

// The second numbers of the addresses of a process, from firstNet on.
const (
	firstNet = 64
	netCount = 128
)

// reservation is the listener that reserveNet keeps open until the process ends.
var reservation net.Listener

// reserveNet returns the second number of all addresses of this process, which no other
// process has reserved.
var reserveNet = sync.OnceValues(func() (n int, err error) {
	for i := range netCount {
		n = firstNet + (os.Getpid()+i)%netCount
		if reservation, err = net.Listen("tcp4", fmt.Sprintf("127.%d.255.255:8149", n)); err == nil {
			return n, nil
		}
	}
	return 0, err
})

func deploy(t *testing.T, p plan, dir string) *deployment {
	t.Helper()
	g, err := grid.New(handoverInterval - resumeSlack)
	must.NoError(t, err)
	d := &deployment{Grid: g, t: t, plan: p, dir: dir, startedAt: time.Now()}
	g.OnRun, g.OnBackoff, g.OnRestart = d.history.recordRun, d.history.recordBackoff, d.replaceServer
	if p.deadly != nil {
		d.deadly = &grid.Deadly{Part: deadlyPartID, Prefill: p.deadly.prefill, Downtime: p.deadly.downtime}
		g.AddDeadly(d.deadly)
	}
	for range p.engines {
		d.startServer("llm")
	}
	if p.split {
		for range p.engines {
			d.startServer(nextEngines)
		}
	}
	for i := range 2 * p.plainServers {
		d.startServer([]string{"plain", "other"}[i%2])
	}
	d.configure()
	run := deployments.Add(1)
	ipNet, err := reserveNet()
	must.NoError(t, err)
	for i := range p.vms {
		v := &vm{index: i, dir: dir, ip: fmt.Sprintf("127.%d.%d.%d", ipNet, run%256, 1+i)}
		v.store, err = relay.New(d.StoreAddress(), 0)
		must.NoError(t, err)
		v.front, err = relay.New(v.frontAddress(), 0)
		must.NoError(t, err)
		v.log, err = os.Create(filepath.Join(dir, v.name()+".log"))
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(v.settingsPath(), []byte(v.settings()), 0o600))
		d.vms = append(d.vms, v)
		must.NoError(t, v.start())
	}
	return d
}

// startServer starts a replica of a service, at one of the plan's software versions, and its relay.
func (d *deployment) startServer(service string) {
	d.mu.Lock()
	version := fmt.Sprint((d.serversStarted + 1) / 2 % max(1, d.plan.versions))
	if service == nextEngines {
		version = nextEngines
	}
	d.mu.Unlock()
	d.startServerOf(service, version)
}

// startServerOf starts a replica of a service at a software version, and its relay.
func (d *deployment) startServerOf(service, version string) {
	d.mu.Lock()
	d.serversStarted++
	r := &grid.Replica{
		ID: fmt.Sprintf("%s-%d", service, d.serversStarted), Service: service, Zone: "z", Slots: d.plan.slots, Pace: 10 * time.Millisecond, Linger: lingerTime,
		Version: version,
	}
	d.mu.Unlock()
	if isEngine(service) {
		r.Model, r.AdapterSlots, r.Load, r.Events, r.Pace = "m", d.plan.adapterSlots, 100*time.Millisecond, streamEvents, eventInterval
	}
	s := &server{Replica: r}
	// The relay needs the replica's address, and the platform lists the relay's
	// address for the replica.
	r.OnListen = func(address string) string {
		var err error
		if s.relay, err = relay.New(address, 0); err != nil {
			return address
		}
		return s.relay.Address()
	}
	must.NoError(d.t, d.Start(r))
	must.NotNil(d.t, s.relay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, s)
}

// nextEngines is the service that shares the route of streams with llm in plans with a split.
const nextEngines = "next"

func isEngine(service string) bool { return service == "llm" || service == nextEngines }

// countVersion returns the number of running engines at the software version of a replica that has
// run a request.
func (d *deployment) countVersion(replica string) (n int) {
	version := d.history.softwareOf(replica)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		if isEngine(s.Service) && s.Version == version {
			n++
		}
	}
	return n
}

// targetServer maps the target of a fault to one of the running servers.
func (d *deployment) targetServer(target int) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[target%len(d.servers)]
}

// removeServer removes s from the targets of later faults. The replica keeps running.
func (d *deployment) removeServer(s *server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.servers {
		if d.servers[i] == s {
			d.servers = append(d.servers[:i:i], d.servers[i+1:]...)
			return
		}
	}
}

// replaceServer makes a restarted replica the target of later faults in place of the one
// that crashed.
func (d *deployment) replaceServer(old, next *grid.Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, s := range d.servers {
		if s.Replica == old {
			d.servers[i] = &server{Replica: next, relay: s.relay}
		}
	}
}

// lookupService returns the service that lookups use under a configuration version.
func lookupService(version int) string { return []string{"plain", "other"}[version%2] }

// configure writes the next configuration, each with another service for lookups.
func (d *deployment) configure() {
	d.mu.Lock()
	d.version++
	version := d.version
	d.mu.Unlock()
	route := func(path, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": path, "host": "h.example", "pathPrefix": path, "kind": kind, "service": service,
			"timeoutMs": routeTimeout.Milliseconds(), "targetLatencyMs": 900, "maxAttempts": attempts, "resumable": resumable, "gapAimMs": 400,
		}
	}
	streams := route("/stream/", "stream", "llm", 2, true)
	engine := map[string]any{
		"slots": d.plan.slots, "kvCapacityTokens": 100000, "weightsMb": 35000, "adapterSlots": d.plan.adapterSlots, "loadsPerS": 4,
		"models": []any{map[string]any{"name": "m", "weightsMb": 34000, "adapterMb": 40, "loadS": 0.6, "adapters": 100}},
	}
	services := []any{map[string]any{"name": "plain"}, map[string]any{"name": "other"}, map[string]any{"name": "llm", "engine": engine}}
	if d.plan.split {
		delete(streams, "service")
		streams["split"] = []any{
			map[string]any{"service": "llm", "weight": 10 + 80*(version%2)}, map[string]any{"service": nextEngines, "weight": 90 - 80*(version%2)},
		}
		services = append(services, map[string]any{"name": nextEngines, "engine": engine})
	}
	must.NoError(d.t, d.Configure(map[string]any{
		"version": version,
		"routes": []any{
			streams, route("/once/", "non_idempotent", "plain", 1, false),
			route("/look/", "idempotent", lookupService(version), 2, false),
		},
		"services": services,
		"limits":   map[string]any{"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
	}))
	d.history.recordVersion(version)
}

func (v *vm) name() string         { return fmt.Sprint("vm", v.index) }
func (v *vm) frontAddress() string { return v.ip + ":8149" }
func (v *vm) settingsPath() string { return filepath.Join(v.dir, v.name()+".conf") }

func (v *vm) settings() string {
	return fmt.Sprintf(`nodeName=%s
zone=%s
region=r
zones.z=r
zones.y=r
ip=%s
listen.front=%s
listen.ready=%s:8141
internalPorts=7380,7395
platform.address=%s
bounds.leaseMs=%d
bounds.graceS=%d
bounds.budgetRatio=%g
bounds.budgetSlack=%d
bounds.budgetWindowS=%d
`, v.name(), []string{"z", "y"}[v.index%2], v.ip, v.frontAddress(), v.ip, v.store.Address(), handoverInterval.Milliseconds(), int(stopGrace.Seconds()), retryRatio, retryReserve, int(retryWindow.Seconds()))
}

// start starts a process unless one is running.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), entryVariable+"="+v.settingsPath())
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = cmd.Wait()
	}()
	v.process = p
	return nil
}

func (v *vm) running() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// signal sends a signal to the process, if one is running.
func (v *vm) signal(sig syscall.Signal) {
	if p := v.running(); p != nil {
		// Sending a signal fails if the process has just ended, which is harmless.
		_ = p.cmd.Process.Signal(sig)
	}
}

// end sends a signal that ends the process and waits for it. If the process does not end
// within timeout, end kills it and returns false.
func (v *vm) end(sig syscall.Signal, timeout time.Duration) bool {
	p := v.running()
	if p == nil {
		return true
	}
	p.stopRequested.Store(true)
	v.signal(sig)
	ended := true
	select {
	case <-p.done:
	case <-time.After(timeout):
		ended = false
		v.signal(syscall.SIGKILL)
		<-p.done
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == p {
		v.process = nil
	}
	return ended
}

// ready queries the readiness endpoint as a load balancer does.
func (v *vm) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + v.ip + ":8141/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady() {
	for end := time.Now().Add(readinessTimeout); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, v := range d.vms {
			if v.ready() {
				n++
			}
		}
		if n == len(d.vms) {
			return
		}
		if time.Now().After(end) {
			d.t.Fatalf("seed %d: only %d of %d entry VMs are ready after %s", d.plan.seed, n, len(d.vms), readinessTimeout)
		}
	}
}

func (d *deployment) close() {
	for _, v := range d.vms {
		v.end(syscall.SIGKILL, time.Second)
		v.store.Close()
		v.front.Close()
		_ = v.log.Close()
	}
	d.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.relay.Close()
	}
}
