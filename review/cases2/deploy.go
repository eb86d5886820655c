package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mangostile/internal/fake/grid"
)

// Limits of a machine of the small sites.
const (
	memoryMB    = 284
	descriptors = 4100
)

// zonesOfSite are the zones of the small site, with their regions.
var zonesOfSite = []string{"kano-a=ng-north", "kaduna-b=ng-north", "lagos-a=ng-south"}

// handover is bounds.leaseMs of the small sites.
const handover = 3 * time.Second

// startTimeout bounds the time until an entry VM is ready.
const startTimeout = 20 * time.Second

// entryVM is one process of the program under test.
type entryVM struct {
	name, zone, region  string
	front, ready, peers string
	settings            string
	env                 []string
	logPath             string
	cmd                 *exec.Cmd
	done                chan struct{}
}

// deployment is a small system: the platform's stand-in, and entry VMs as processes.
type deployment struct {
	grid   *grid.Grid
	dir    string
	vms    []*entryVM
	record *recorder
}

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

// note writes a line with the time since the start in seconds.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() { _ = r.file.Close() }

func newDeployment(r *recorder) (*deployment, error) {
	g, err := grid.New(handover)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		g.Close()
		return nil, err
	}
	return &deployment{grid: g, dir: dir, record: r}, nil
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, vm := range d.vms {
		vm.kill()
	}
	d.grid.Close()
	_ = os.RemoveAll(d.dir)
}

// freePorts returns n free ports of an address, in a row.
func freePorts(ip string, n int) (int, error) {
	for base := 20000 + os.Getpid()%20000; base < 60000; base += n {
		if allFree(ip, base, n) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row on %s", n, ip)
}

func allFree(ip string, base, n int) bool {
	for port := base; port < base+n; port++ {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// portsPerVM are those for callers, the balancer and operators, and the internal ones.
const portsPerVM = 8

// add writes the settings of an entry VM, which are those of the small sites. zones lists all zones as
// ZONE=REGION.
func (d *deployment) add(name, zone, region, store string, zones []string) (*entryVM, error) {
	ip := fmt.Sprintf("127.0.1.%d", 1+len(d.vms))
	base, err := freePorts(ip, portsPerVM)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(base+i)) }
	vm := &entryVM{
		name: name, zone: zone, region: region, front: at(0), ready: at(1), peers: at(3),
		settings: filepath.Join(d.dir, name+".conf"), logPath: filepath.Join(d.dir, name+".log"),
	}
	text := fmt.Sprintf(`nodeName=%[1]s
role=entry-vm
machineClass=front
serves=front
ip=%[2]s
zone=%[3]s
region=%[4]s
listen.front=%[5]s
listen.ready=%[6]s
listen.control=%[7]s
internalPorts=%[8]d,%[9]d
bootstrap=true
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=%[10]d
limits.maxFds=%[11]d
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
bounds.stabilityWindowMs=4000
bounds.drainMs=3000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=54
bounds.recoverS=12
bounds.fenceChecked=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.version_ms=5000
platform.address=%[12]s
platform.form=log
`, name, ip, zone, region, at(0), at(1), at(2), base+3, base+portsPerVM-1, memoryMB, descriptors, cmp.Or(store, d.grid.StoreAddress()))
	for _, z := range zones {
		text += "zones." + z + "\n"
	}
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.vms = append(d.vms, vm)
	return vm, nil
}

// processes are those that were started and have not ended.
type processes struct {
	mu   sync.Mutex
	open map[*os.Process]bool
}

// started are the processes of the entry VMs.
var started processes

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = map[*os.Process]bool{}
	}
	p.open[process] = true
}

func (p *processes) remove(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, process)
}

// killAll kills the processes, also those that are stopped. None can be added afterwards.
func (p *processes) killAll() {
	p.mu.Lock()
	for process := range p.open {
		_ = process.Kill()
	}
}

// program is the one that the build line of the deploy file builds.
const program = "target/mangostile"

// start starts the process with the command of the deploy file.
func (vm *entryVM) start() error {
	out, err := os.OpenFile(vm.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, "platform")
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOSTILE_BOOT=" + vm.settings}, vm.env...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	started.add(cmd.Process)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait()
		started.remove(cmd.Process)
	}()
	vm.cmd, vm.done = cmd, done
	return nil
}

func (vm *entryVM) signal(sig syscall.Signal) {
	if vm.cmd != nil {
		_ = vm.cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits for that.
func (vm *entryVM) kill() {
	if vm.cmd == nil {
		return
	}
	vm.signal(syscall.SIGCONT)
	vm.signal(syscall.SIGKILL)
	<-vm.done
	vm.cmd = nil
}

// ended reports whether the process has ended.
func (vm *entryVM) ended() bool {
	select {
	case <-vm.done:
		return true
	default:
		return false
	}
}

// isReady asks as the balancer does.
func (vm *entryVM) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.ready+"/ready", nil)
	if err != nil {
		return false
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (vm *entryVM) awaitReady() error {
	for end := time.Now().Add(startTimeout); !vm.isReady(); time.Sleep(50 * time.Millisecond) {
		if vm.ended() || time.Now().After(end) {
			return fmt.Errorf("%s is not ready: %s", vm.name, vm.lastLog())
		}
	}
	return nil
}

func (vm *entryVM) lastLog() string {
	text, err := os.ReadFile(vm.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-1500):])
}

// memory returns a value in MB of the process's status: VmRSS, or VmHWM for the most so far.
func (vm *entryVM) memory(key string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, key+":"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}
