package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"mangostile/internal/fake/relay"
)

// vm is an entry VM: a process of the deploy file and its path to the store.
type vm struct {
	name, ip, zone, region string
	dir                    string
	store                  *relay.Relay
	cmd                    *exec.Cmd
	done                   chan struct{}
	settings               string
}

// freeNet returns the first three numbers of loopback addresses on which the ports of entry VMs are free.
func freeNet() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 70+(os.Getpid()+i)%150, (os.Getpid()/150+i)%250)
		listener, err := net.Listen("tcp4", prefix+".1:8149")
		if err != nil {
			continue
		}
		_ = listener.Close()
		return prefix, nil
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// write writes the settings file.
func (v *vm) write(zones map[string]string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName=%s\nrole=entry-vm\nmachineClass=front\nserves=front\nip=%s\nzone=%s\nregion=%s\n", v.name, v.ip, v.zone, v.region)
	for zone, region := range zones {
		fmt.Fprintf(&b, "zones.%s=%s\n", zone, region)
	}
	fmt.Fprintf(&b, `listen.front=%[1]s:8149
listen.ready=%[1]s:8141
listen.control=%[1]s:8144
internalPorts=7380,7395
bootstrap=false
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
bounds.stabilityWindowMs=4000
bounds.drainMs=3000
bounds.graceS=8
bounds.configApplyMs=3000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=54
bounds.recoverS=12
bounds.fenceChecked=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.version_ms=5000
platform.address=%[2]s
platform.form=log
`, v.ip, v.store.Address())
	v.settings = filepath.Join(v.dir, v.name+".conf")
	return os.WriteFile(v.settings, []byte(b.String()), 0o600)
}

// start starts the process.
func (v *vm) start(command []string) error {
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"MANGOSTILE_BOOT=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + v.dir}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.done = cmd, make(chan struct{})
	done := v.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (v *vm) signal(sig syscall.Signal) { _ = v.cmd.Process.Signal(sig) }

func (v *vm) kill() {
	if v.cmd == nil {
		return
	}
	v.signal(syscall.SIGKILL)
	<-v.done
}

func (v *vm) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + v.ip + ":8141/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// deployedCommand returns the words of run of the only role of the deploy file.
func deployedCommand(path string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		key, value, _ := strings.Cut(scanner.Text(), "=")
		if strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s has no run line", path)
}
