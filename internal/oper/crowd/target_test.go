package crowd

import (
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
	"testing"
	"time"

	"mangostile/internal/fake/grid"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// Limits of the process under test, which are also the bounds that the tests check.
const (
	memoryMB       = 96
	maxDescriptors = 320
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 64 << 10
)

// startTimeout bounds the time until a process is ready.
const startTimeout = 30 * time.Second

// binary builds the program once, without the race detector, which multiplies memory.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "mangostile")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "mangostile")
	if out, err := exec.Command("go", "build", "-o", path, "mangostile").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := binary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// ownIP returns a loopback address that belongs to this process.
func ownIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 192+pid>>14%32, pid>>7%128, 1+pid%128)
}

// target is a process under test.
type target struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  string
	// front takes callers' requests.
	front string
	// readyAddress and readyPath answer whether the process is ready.
	readyAddress, readyPath string
	// inner are the addresses that are not for callers.
	inner []string
	// path has a route, headers are those that each request needs. NUMBER is replaced.
	path, headers string
}

// eachProgram runs a test on both programs.
func eachProgram(t *testing.T, test func(t *testing.T, p *target)) {
	for _, program := range []struct {
		name  string
		start func(*testing.T) *target
	}{{"platform", startPlatform}, {"serve", startServe}} {
		t.Run(program.name, func(t *testing.T) {
			p := program.start(t)
			p.awaitReady(t)
			test(t, p)
		})
	}
}

func startPlatform(t *testing.T) *target {
	g, err := grid.New(time.Second)
	must.NoError(t, err)
	t.Cleanup(g.Close)
	must.NoError(t, g.Start(&grid.Replica{ID: "p0", Service: "plain", Zone: "z"}))
	must.NoError(t, g.Configure(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "once", "host": "h.example", "pathPrefix": "/once/", "kind": "non_idempotent", "service": "plain",
			"timeoutMs": 60000, "targetLatencyMs": 900, "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "plain"}},
		"limits":   map[string]any{"maxBodyBytes": maxBodyBytes, "maxHeaderBytes": maxHeaderBytes, "headerTimeoutMs": 10000, "idleTimeoutMs": 60000},
	}))
	ip := ownIP()
	settings := filepath.Join(t.TempDir(), "node.conf")
	must.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, `nodeName=vm0
zone=z
region=r
zones.z=r
ip=%[1]s
listen.front=%[1]s:8149
listen.ready=%[1]s:8141
internalPorts=7380,7395
platform.address=%[2]s
limits.memoryMb=%[3]d
limits.maxFds=%[4]d
`, ip, g.StoreAddress(), memoryMB, maxDescriptors), 0o600))
	p := start(t, "platform", "--settings", settings)
	p.front, p.readyAddress, p.readyPath = ip+":8149", ip+":8141", "/ready"
	p.inner = []string{ip + ":8141", ip + ":7390", ip + ":7380"}
	p.path, p.headers = "/once/x", "Host: h.example\r\nRequest-Id: NUMBER\r\nDeadline-Ms: 60000\r\n"
	return p
}

func startServe(t *testing.T) *target {
	ip, dir := ownIP(), t.TempDir()
	standin := filepath.Join(dir, "standin.toml")
	must.NoError(t, os.WriteFile(standin, fmt.Appendf(nil, `control_address = "%[1]s:7500"
log_address = "%[1]s:7501"
vm_list_address = "%[1]s:7502"

[[vms]]
id = "vm0"
entry = true
address = "%[1]s:7503"
serve_address = "%[1]s:7504"
failure_domain = "z"
region = "r"
state = "live"

[[vms]]
id = "plain-1"
address = "%[1]s:7506"
failure_domain = "z"
region = "r"
state = "live"
kind = "service"
service = "plain"
`, ip), 0o600))
	settings := filepath.Join(dir, "vm0.toml")
	must.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, `[entry_vm]
id = "vm0"
failure_domain = "z"
region = "r"
serve_address = "%[1]s:7504"
admin_address = "%[1]s:7505"
peer_address = "%[1]s:7503"

[platform]
log_address = "%[1]s:7501"
vm_list_address = "%[1]s:7502"

[limits]
memory_mb = %[2]d
max_body_bytes = %[3]d
max_header_bytes = %[4]d

[[services]]
name = "plain"
deadline_ms = 30000
`, ip, memoryMB, maxBodyBytes, maxHeaderBytes), 0o600))
	start(t, "standin", "--settings", standin)
	p := start(t, "serve", "--settings", settings)
	p.front, p.readyAddress, p.readyPath = ip+":7504", ip+":7504", "/readyz"
	p.inner = []string{ip + ":7505", ip + ":7503"}
	p.path, p.headers = "/services/plain/x", "Host: h.example\r\nX-Request-Id: NUMBER\r\n"
	return p
}

// start starts a process of the program, with its limit of descriptors unless it is a stand-in.
func start(t *testing.T, args ...string) *target {
	t.Helper()
	path, err := binary()
	must.NoError(t, err)
	p := &target{done: make(chan struct{}), log: filepath.Join(t.TempDir(), args[0]+".log")}
	out, err := os.Create(p.log)
	must.NoError(t, err)
	p.cmd = exec.Command(path, args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	must.NoError(t, p.cmd.Start())
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
		_ = out.Close()
	})
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	if args[0] != "standin" {
		limit := unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
		must.NoError(t, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	}
	return p
}

func (p *target) awaitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(startTimeout); !p.ready() || !p.tryOrdinary(); time.Sleep(50 * time.Millisecond) {
		p.mustLive(t)
		must.True(t, time.Now().Before(end), must.Sprint("not ready", p.lastLog()))
	}
}

func (p *target) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.readyAddress + p.readyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// mustLive fails the test if the process has ended.
func (p *target) mustLive(t *testing.T) {
	t.Helper()
	select {
	case <-p.done:
		t.Fatalf("the process ended: %s", p.lastLog())
	default:
	}
}

func (p *target) lastLog() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-2000):])
}

// descriptors returns the number of open descriptors of the process.
func (p *target) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// watchDescriptors counts the open descriptors of the process until the function that it returns is called,
// which returns the highest count.
func (p *target) watchDescriptors() (end func() int) {
	stop, highest := make(chan struct{}), make(chan int)
	go func() {
		ticker := time.NewTicker(watchPeriod)
		defer ticker.Stop()
		most := 0
		for {
			most = max(most, p.descriptors())
			select {
			case <-ticker.C:
			case <-stop:
				highest <- most
				return
			}
		}
	}()
	return func() int {
		close(stop)
		return <-highest
	}
}

// peakMB returns the largest resident memory of the process so far.
func (p *target) peakMB(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	must.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			must.NoError(t, err)
			return kb >> 10
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}

// dial opens a connection that receives little ahead of its reader.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	return dialer.Dial("tcp4", address)
}
