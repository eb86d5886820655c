package cmds

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/logs"
	"mangostile/internal/node/edge"
	"mangostile/internal/node/server"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
)

// TestScripts runs scripted operator sessions against entry VMs and stand-ins in the test
// process.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: startScriptNodes,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"complete":      completeInScript,
			"completeuntil": completeUntil,
			"logfaults":     setLogFaults,
			"mangostile":    runScriptCommand,
			"writerows":     writeRows,
		},
		RequireUniqueNames: true,
	})
}

// startScriptNodes starts three entry VMs and the stand-ins for a script. Its environment
// holds the admin addresses in ENTRY1, ENTRY2 and ENTRY3 and the callers' addresses in
// SERVE1, SERVE2 and SERVE3.
func startScriptNodes(env *testscript.Env) error {
	ctx, cancel := context.WithCancel(context.Background())
	d := &demo{w: &strings.Builder{}}
	joinTimer := time.AfterFunc(joinTimeout, cancel)
	err := d.start(ctx, false)
	joinTimer.Stop()
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
	for _, s := range d.servers {
		if err := waitJoined(s, len(d.servers)); err != nil {
			return err
		}
	}
	for i, address := range d.adminAddresses {
		env.Setenv(fmt.Sprintf("ENTRY%d", i+1), address)
		env.Setenv(fmt.Sprintf("SERVE%d", i+1), d.serveAddresses[i])
	}
	env.Values["demo"] = d
	return nil
}

// joinTimeout bounds the time until the entry VMs have discovered each other.
const joinTimeout = 20 * time.Second

// waitJoined waits until an entry VM has discovered all members and can use all engines.
func waitJoined(s *server.Server, members int) error {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	joined := false
	for !joined {
		if !s.Query(ctx, func(c *entry.Core) {
			joined = len(c.Members.Members()) == members
			for _, b := range c.Router.Servers() {
				joined = joined && (b.Spec.Kind != event.KindEngine || b.Summary.Usable)
			}
		}) {
			return errors.New("the entry VMs did not discover each other and all engines in time")
		}
		time.Sleep(10 * time.Millisecond)
	}
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

// fingerprintText matches the fingerprint in the refusal of a quarantined request.
var fingerprintText = regexp.MustCompile(`fingerprint ([0-9a-f]{16})`)

// completeInScript requests a completion: complete ADDRESS REQUEST_ID MODEL [PROMPT]. It
// prints the status and the backend server, and sets REQUEST to the full request ID and
// FINGERPRINT to that of a refusal that names one.
func completeInScript(ts *testscript.TestScript, neg bool, args []string) {
	status, body := requestCompletion(ts, args)
	if neg == (status != fasthttp.StatusOK) {
		return
	}
	for _, s := range ts.Value("demo").(*demo).servers {
		lines, _ := s.Explain(units.RequestID(ts.Getenv("REQUEST")))
		ts.Logf("%+v", lines)
	}
	ts.Fatalf("status %d: %s", status, body)
}

func requestCompletion(ts *testscript.TestScript, args []string) (status int, body string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	prompt := "x"
	if len(args) > 3 {
		prompt = args[3]
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + args[0] + "/v1/completions")
	req.Header.Set(edge.HeaderRequestID, args[1])
	req.SetBodyString(`{"model":"` + args[2] + `","prompt":"` + prompt + `","max_tokens":2}`)
	ts.Check(fasthttp.DoTimeout(req, resp, 20*time.Second))
	ts.Setenv("REQUEST", string(resp.Header.Peek(edge.HeaderRequestID)))
	if found := fingerprintText.FindSubmatch(resp.Body()); found != nil {
		ts.Setenv("FINGERPRINT", string(found[1]))
	}
	fmt.Fprintf(ts.Stdout(), "%d %s\n", resp.StatusCode(), resp.Header.Peek(edge.HeaderBackendServer))
	return resp.StatusCode(), string(resp.Body())
}

// maxAttempts bounds the requests of completeUntil.
const maxAttempts = 10

// completeUntil repeats a completion until it has a status: completeuntil STATUS, followed
// by the arguments of complete.
func completeUntil(ts *testscript.TestScript, _ bool, args []string) {
	for range maxAttempts {
		status, _ := requestCompletion(ts, args[1:])
		if fmt.Sprint(status) == args[0] {
			return
		}
	}
	ts.Fatalf("no status %s in %d tries", args[0], maxAttempts)
}

// setLogFaults replaces the injected faults of the log service: logfaults [down]
// [lose_answers].
func setLogFaults(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("logfaults can't fail")
	}
	d := ts.Value("demo").(*demo)
	d.standin.Log.SetFaults(logs.Faults{Down: slices.Contains(args, "down"), LoseAnswers: slices.Contains(args, "lose_answers")})
}

// writeRows writes a CSV file with many rows: writerows FILE COUNT WEIGHT
// [EXPORT]. With EXPORT, the rows have the revision of that file.
func writeRows(ts *testscript.TestScript, neg bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	if neg {
		ts.Fatalf("writerows can't fail")
	}
	revision := ""
	if len(args) > 3 {
		exported, err := readSheet(args[3], "")
		ts.Check(err)
		revision = fmt.Sprint(exported.Revision)
	}
	var text strings.Builder
	text.WriteString("adapter,base,versions,callers,weight,read_at\n")
	for i := range count {
		fmt.Fprintf(&text, "adapter-%05d,straw-7b,\"v1:90,v2:10\",\"guild,kanoride\",%s,%s\n", i, args[2], revision)
	}
	ts.Check(os.WriteFile(args[0], []byte(text.String()), 0o600))
}
