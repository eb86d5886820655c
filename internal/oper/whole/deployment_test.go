//go:build wholerun

package whole

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/oper/load"

	"github.com/pelletier/go-toml/v2"
	"github.com/shoenig/test/must"
)

// binary builds the program once and returns its path.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "mangostile")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "mangostile")
	out, err := exec.Command("go", "build", "-o", path, "mangostile").CombinedOutput()
	if err != nil {
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

// deployment is a running example: one process for the stand-ins and one for each
// entry VM.
type deployment struct {
	t              *testing.T
	dir            string
	token          string
	entries        []event.VM
	admins         map[string]string
	engines        []event.VM
	services       []event.VM
	controlAddress string
	log            string
	network        *network

	mu        sync.Mutex
	processes map[string]*process
	// edits are the edits of a run whose outcomes are checked after the load.
	edits []editAttempt
	// usage holds the CPU time and memory of each entry VM.
	usage map[string]*usage
}

type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// usage is the resource usage of one entry VM over all its incarnations. MaxMemory is the
// greatest resident memory that recordUsage has read, in bytes.
type usage struct {
	CPU       time.Duration
	MaxMemory int64
}

const operatorToken = "operator-token"

var loopbackPort = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)

// startDeployment starts an example's processes on free ports and imports its adapter
// table.
func startDeployment(t *testing.T, example, token string) *deployment {
	t.Helper()
	d := &deployment{
		t: t, dir: t.TempDir(), token: token, admins: map[string]string{}, processes: map[string]*process{}, usage: map[string]*usage{},
	}
	if keep := os.Getenv("TRIALS_DIR"); keep != "" {
		d.dir = filepath.Join(keep, strings.ReplaceAll(t.Name(), "/", "_"))
		must.NoError(t, os.MkdirAll(d.dir, 0o755))
	}
	d.copyExample(filepath.Join("..", "..", "..", "examples", example))
	t.Cleanup(d.close)
	d.startStandins()
	for _, vm := range d.entries {
		d.startEntry(vm.ID)
	}
	d.waitReady(d.entryIDs()...)
	d.checkRunning()
	d.importTable()
	return d
}

// copyExample copies the settings, replaces their ports by free ones and reads them.
func (d *deployment) copyExample(source string) {
	addresses := map[string]string{}
	files, err := filepath.Glob(filepath.Join(source, "*"))
	must.NoError(d.t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		must.NoError(d.t, err)
		text = loopbackPort.ReplaceAllFunc(text, func(address []byte) []byte {
			if addresses[string(address)] == "" {
				port, err := freePort()
				must.NoError(d.t, err)
				addresses[string(address)] = fmt.Sprintf("127.0.0.1:%d", port)
			}
			return []byte(addresses[string(address)])
		})
		must.NoError(d.t, os.WriteFile(filepath.Join(d.dir, filepath.Base(file)), text, 0o644))
	}
	d.readSettings()
}

type platformAddresses struct {
	Control string     `toml:"control_address"`
	Log     string     `toml:"log_address"`
	List    string     `toml:"vm_list_address"`
	VMs     []event.VM `toml:"vms"`
}

func (d *deployment) readSettings() {
	text, err := os.ReadFile(filepath.Join(d.dir, "standin.toml"))
	must.NoError(d.t, err)
	var standin platformAddresses
	must.NoError(d.t, toml.Unmarshal(text, &standin))
	d.controlAddress, d.log = standin.Control, standin.Log
	for _, vm := range standin.VMs {
		switch {
		case vm.Entry:
			d.entries = append(d.entries, vm)
		case vm.Kind == event.KindEngine:
			d.engines = append(d.engines, vm)
		default:
			d.services = append(d.services, vm)
		}
	}
	d.network, err = newNetwork(d.entries, standin.Log, standin.List)
	must.NoError(d.t, err)
	for _, vm := range d.entries {
		path := filepath.Join(d.dir, vm.ID+".toml")
		text, err := os.ReadFile(path)
		must.NoError(d.t, err)
		var own struct {
			EntryVM struct {
				Admin string `toml:"admin_address"`
			} `toml:"entry_vm"`
		}
		must.NoError(d.t, toml.Unmarshal(text, &own))
		d.admins[vm.ID] = own.EntryVM.Admin
		text = bytes.ReplaceAll(text, []byte(`"`+standin.Log+`"`), []byte(`"`+d.network.logs[vm.ID].Address()+`"`))
		text = bytes.ReplaceAll(text, []byte(`"`+standin.List+`"`), []byte(`"`+d.network.listViews[vm.ID]+`"`))
		must.NoError(d.t, os.WriteFile(path, text, 0o644))
	}
}

func (d *deployment) start(name string, args ...string) {
	path, err := binary()
	must.NoError(d.t, err)
	out, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must.NoError(d.t, err)
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = out, out
	must.NoError(d.t, cmd.Start())
	p := &process{cmd: cmd, log: out, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = cmd.Wait()
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[name] = p
}

// checkRunning fails the test if a process has ended unexpectedly, for example because
// another process took its port.
func (d *deployment) checkRunning() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.processes {
		select {
		case <-p.done:
			d.t.Fatalf("%s ended: %v: see %s.log", name, p.err, name)
		default:
		}
	}
}

func (d *deployment) startStandins() {
	d.start("standin", "standin", "--settings", filepath.Join(d.dir, "standin.toml"))
	d.eventually("the stand-ins answer", func() bool {
		status, _ := d.get(d.engines[len(d.engines)-1].Address, "/counters")
		return status == http.StatusOK
	})
}

func (d *deployment) startEntry(id string) {
	d.start(id, "serve", "--settings", filepath.Join(d.dir, id+".toml"))
}

func (d *deployment) entryIDs() []string {
	ids := make([]string, len(d.entries))
	for i, vm := range d.entries {
		ids[i] = vm.ID
	}
	return ids
}

func (d *deployment) entry(id string) event.VM {
	for _, vm := range d.entries {
		if vm.ID == id {
			return vm
		}
	}
	d.t.Fatalf("no entry VM %s", id)
	return event.VM{}
}

const startTimeout = 20 * time.Second

func (d *deployment) eventually(what string, condition func() bool) {
	d.t.Helper()
	end := time.Now().Add(startTimeout)
	for !condition() {
		if time.Now().After(end) {
			d.t.Fatalf("%s: not within %s", what, startTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (d *deployment) waitReady(ids ...string) {
	for _, id := range ids {
		d.eventually(id+" is ready", func() bool {
			status, _ := d.get(d.entry(id).ServeAddress, "/readyz")
			return status == http.StatusOK
		})
	}
}

var httpClient = http.Client{Timeout: 30 * time.Second}

func (d *deployment) get(address, path string) (int, []byte) {
	return d.call(http.MethodGet, address, path, nil)
}

func (d *deployment) call(method, address, path string, value any) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+address+path, jsonBody(value))
	must.NoError(d.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	var answer bytes.Buffer
	_, _ = answer.ReadFrom(resp.Body)
	return resp.StatusCode, answer.Bytes()
}

// jsonBody encodes value as the body of a request.
func jsonBody(value any) io.Reader {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return bytes.NewReader(body)
}

// edit sends an edit of the adapter table to an entry VM.
func (d *deployment) edit(id string, cells []event.Cell) event.EditOutcome {
	status, body := d.call(http.MethodPost, d.admins[id], "/admin/edits", event.Edit{Cells: cells})
	var outcome event.EditOutcome
	if status != http.StatusOK || json.Unmarshal(body, &outcome) != nil {
		return event.EditOutcome{Kind: event.EditUnknown, Message: fmt.Sprintf("status %d: %s", status, body)}
	}
	return outcome
}

// revision returns the revision of an entry VM's table, or -1 if it is unavailable.
func (d *deployment) revision(id string) int64 {
	status, body := d.get(d.admins[id], "/admin/status")
	answer := struct {
		Revision int64 `json:"revision"`
	}{-1}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return -1
	}
	return answer.Revision
}

// waitRevision waits until all entry VMs have applied the log up to a revision and
// returns how long that took.
func (d *deployment) waitRevision(revision int64) time.Duration {
	start := time.Now()
	for _, id := range d.entryIDs() {
		d.eventually(fmt.Sprintf("%s is at revision %d", id, revision), func() bool { return d.revision(id) >= revision })
	}
	return time.Since(start)
}

func (d *deployment) importTable() {
	file, err := os.Open(filepath.Join(d.dir, "adapters.csv"))
	must.NoError(d.t, err)
	defer func() { _ = file.Close() }()
	lines, err := csv.NewReader(file).ReadAll()
	must.NoError(d.t, err)
	var cells []event.Cell
	for _, line := range lines[1:] {
		for i, value := range line[1:] {
			cells = append(cells, event.Cell{Adapter: units.AdapterName(line[0]), Column: lines[0][i+1], Value: value})
		}
	}
	start := time.Now()
	outcome := d.edit(d.entries[0].ID, cells)
	must.EqOp(d.t, event.EditAccepted, outcome.Kind, must.Sprint(outcome.Message, outcome.Faults))
	d.waitRevision(int64(outcome.Offset) + 1)
	d.t.Logf("imported %d rows, in force on %d entry VMs after %s", len(lines)-1, len(d.entries), time.Since(start))
}

// kill kills an entry VM with SIGKILL.
func (d *deployment) kill(id string) { _ = d.stopProcess(id, syscall.SIGKILL) }

// leave stops an entry VM gracefully and waits for it.
func (d *deployment) leave(id string) error { return d.stopProcess(id, syscall.SIGTERM) }

const leaveTimeout = 40 * time.Second

func (d *deployment) stopProcess(name string, signal syscall.Signal) error {
	d.recordUsage(name)
	d.mu.Lock()
	p := d.processes[name]
	delete(d.processes, name)
	d.mu.Unlock()
	if p == nil {
		return nil
	}
	defer func() { _ = p.log.Close() }()
	_ = p.cmd.Process.Signal(signal)
	select {
	case <-p.done:
	case <-time.After(leaveTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
		return fmt.Errorf("%s did not end within %s of signal %s", name, leaveTimeout, signal)
	}
	return p.err
}

// recordUsage adds the CPU time of a running entry VM's process to its usage and updates
// MaxMemory. A second call for the same process counts its CPU time twice.
func (d *deployment) recordUsage(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.processes[name]
	if p == nil || !strings.HasPrefix(name, "entry-") {
		return
	}
	cpu, memory := processUsage(p.cmd.Process.Pid)
	u := d.usage[name]
	if u == nil {
		u = &usage{}
		d.usage[name] = u
	}
	u.CPU += cpu
	u.MaxMemory = max(u.MaxMemory, memory)
}

// clockTicks is the number of ticks per second in which /proc gives CPU time.
const clockTicks = 100

// processUsage returns the CPU time and the resident memory in bytes of a process.
func processUsage(pid int) (time.Duration, int64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, pages * int64(os.Getpagesize())
}

func (d *deployment) close() {
	for _, name := range append(d.entryIDs(), "standin") {
		if err := d.stopProcess(name, syscall.SIGTERM); err != nil {
			d.t.Errorf("%s: %v", name, err)
		}
	}
	d.network.close()
}

// findCutRequests looks for cut requests in the logs of the entry VMs. A request that an
// entry VM logged was in flight; any other came on a connection that was closing.
func (d *deployment) findCutRequests(cut []string) []string {
	var notes []string
	for _, id := range d.entryIDs() {
		text, err := os.ReadFile(filepath.Join(d.dir, id+".log"))
		must.NoError(d.t, err)
		for _, request := range cut {
			if bytes.Contains(text, []byte(request)) {
				notes = append(notes, fmt.Sprintf("FAULT request %s was cut in flight by %s", request, id))
			}
		}
	}
	return append(notes, fmt.Sprintf("%d cut tries were looked for in the logs", len(cut)))
}

// loadPlan returns the default load of the example.
func (d *deployment) loadPlan(seed uint64) load.Plan {
	plan := load.Plan{
		Token: d.token, Rate: 20, Duration: warmUp + 30*time.Second, WarmUp: warmUp, RepeatShare: 0.2, Seed: seed, Skew: 1.5,
		Mix:        load.Mix{Chat: 70, Letter: 15, Lookup: 10, Action: 5},
		ChatTokens: 64, LetterTokens: 160,
		Service: d.services[0].Service, ActionPath: "/release", LookupPath: "/stock",
	}
	if plan.Service == "orders" {
		plan.ActionPath, plan.Rate = "/orders", 6
	}
	for _, vm := range d.entries {
		plan.Entries = append(plan.Entries, vm.ServeAddress)
	}
	for _, vm := range d.engines {
		plan.Engines = append(plan.Engines, vm.Address)
	}
	for _, vm := range d.services {
		plan.Services = append(plan.Services, vm.Address)
	}
	var err error
	plan.Adapters, err = load.ReadAdapters(filepath.Join(d.dir, "adapters.csv"))
	must.NoError(d.t, err)
	return plan
}

// warmUp is the time for the first loads of the adapters. At the store's rates, most of it
// is spent loading the popular ones.
const warmUp = 30 * time.Second

// setFault sets the faults of one stand-in: log, store, vms or a backend server.
func (d *deployment) setFault(name, fault string) {
	status, body := d.call(http.MethodPost, d.controlAddress, "/fault/"+name, json.RawMessage(fault))
	must.EqOp(d.t, http.StatusOK, status, must.Sprint(string(body)))
}

// sleep waits for the given time or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
