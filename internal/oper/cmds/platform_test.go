package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/node/fleet"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

const nodeConf = `nodeName=front-a-1
zone=a
region=south
zones.a=south
zones.b=north
ip=127.0.0.1
listen.front=127.0.0.1:1
listen.ready=127.0.0.1:2
internalPorts=7380,7395
platform.address=127.0.0.1:3
bounds.leaseMs=3000
`

// TestHangupReloadsAndDoesNotStop guards against a SIGHUP that ends the process and so
// aborts its requests in flight.
func TestHangupReloadsAndDoesNotStop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	must.NoError(t, os.WriteFile(path, []byte(nodeConf), 0o600))
	var out strings.Builder
	logger := hclog.New(&hclog.LoggerOptions{Output: &out})
	node := fleet.New(fleet.Options{Settings: fleet.Settings{ID: "front-a-1", Grace: 8 * clock.Second}, Logger: logger})
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGHUP
	done := make(chan struct{})
	go func() {
		handleSignals(signals, path, node, logger)
		close(done)
	}()
	must.NoError(t, os.WriteFile(path, []byte(nodeConf+"limits.memoryMb=x\n"), 0o600))
	time.Sleep(10 * time.Millisecond)
	signals <- syscall.SIGHUP
	close(signals)
	<-done
	must.StrContains(t, out.String(), "settings_not_reloaded")
	must.StrNotContains(t, out.String(), "entry_vm_stopping")
}
