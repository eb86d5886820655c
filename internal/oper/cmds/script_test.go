package cmds

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScripts runs operators' sessions against entry VMs and stand-ins in this
// process.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: startScriptNodes,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"mangostile": runScriptCommand,
		},
		RequireUniqueNames: true,
	})
}

// startScriptNodes starts three entry VMs with stand-ins and names them in the
// script's environment: ENTRY, ENTRY2 and ENTRY3 are admin addresses.
func startScriptNodes(env *testscript.Env) error {
	ctx, cancel := context.WithCancel(context.Background())
	d := &demo{w: &strings.Builder{}}
	err := d.start(ctx, false)
	env.Defer(func() {
		cancel()
		if d.standin != nil {
			d.standin.Close()
		}
		for range d.servers {
			<-d.ended
		}
	})
	if err != nil {
		return err
	}
	for i, address := range d.admin {
		env.Setenv(fmt.Sprintf("ENTRY%d", i+1), address)
		env.Setenv(fmt.Sprintf("SERVE%d", i+1), d.serve[i])
	}
	env.Values["demo"] = d
	return nil
}

// runScriptCommand runs the program's command line inside the test.
func runScriptCommand(ts *testscript.TestScript, neg bool, args []string) {
	root := newRootCmd()
	root.Writer, root.ErrWriter = ts.Stdout(), ts.Stderr()
	err := root.Run(context.Background(), append([]string{"mangostile"}, args...))
	if err != nil {
		fmt.Fprintln(ts.Stderr(), "mangostile: "+err.Error())
	}
	if neg != (err != nil) {
		ts.Fatalf("mangostile %s: error %v", strings.Join(args, " "), err)
	}
}
