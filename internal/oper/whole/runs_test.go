//go:build wholerun

package whole

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/engine"
	"mangostile/internal/oper/load"

	"github.com/shoenig/test/must"
)

var trials = []trial{
	{
		name: "guild_calm", example: "guild", description: "Nothing fails; an edit each second.",
		during: measureEdits,
	},
	{
		name: "guild_entry_vm_killed", example: "guild", description: "Entry VM entry-1 is killed after 8 s and replaced 5 s later.",
		during: func(ctx context.Context, d *deployment) []string {
			sleep(ctx, warmUp+8*time.Second)
			return killAndReplace(ctx, d, "entry-1")
		},
	},
	{
		name: "guild_log_outage", example: "guild", description: "The log service is down from 6 s to 18 s, with an edit each second and more actions.",
		adjustPlan: func(plan *load.Plan) { plan.Mix.Action = 15 },
		during:     editDuringLogOutage,
		after:      checkEdits,
	},
	{
		name: "guild_popularity_shift", example: "guild", description: "Other adapters become popular after 15 s and again 15 s later.",
		adjustPlan: func(plan *load.Plan) { plan.ShiftEvery = 15 * time.Second },
	},
	{
		name: "guild_engine_restarts", example: "guild", description: "Another engine crashes and starts cold every 4 s.",
		during: func(ctx context.Context, d *deployment) []string {
			sleep(ctx, warmUp+2*time.Second)
			return crashEngines(ctx, d, 6, 4*time.Second)
		},
	},
	{
		name: "guild_rolling_replacement", example: "guild", description: "All 7 entry VMs are asked to leave and replaced, one after the other.",
		during: replaceAll, noCuts: true,
	},
	{
		name: "guild_domain_cut", example: "guild", description: "Failure domain kandy is cut off from the others and the platform from 4 s to 12 s, and from 16 s to 22 s only what it sends is lost.",
		during: cutAndRestoreDomain,
	},
	{
		name: "guild_store_slow", example: "guild", description: "The weight store gives a tenth of its rate from 4 s to 24 s.",
		during: func(ctx context.Context, d *deployment) []string {
			sleep(ctx, warmUp+4*time.Second)
			d.setFault("store", `{"slow":10}`)
			sleep(ctx, 20*time.Second)
			d.setFault("store", `{}`)
			return nil
		},
	},
	{
		name: "guild_poison", example: "guild", description: "A request that crashes the engine that runs it is sent 12 times, one second apart.",
		during: sendPoison,
	},
	{
		name: "guild_two_faults", example: "guild", description: "The log service is down from 4 s to 16 s; entry VM entry-4 is killed after 8 s and replaced 5 s later.",
		during: logOutageAndKill("entry-4"),
	},
	{
		name: "kanoride_calm", example: "kanoride", description: "Nothing fails; an edit each second.",
		during: measureEdits,
	},
	{
		name: "kanoride_popularity_shift", example: "kanoride", description: "Other adapters become popular after 15 s and again 15 s later.",
		adjustPlan: func(plan *load.Plan) { plan.ShiftEvery = 15 * time.Second },
	},
	{
		name: "kanoride_two_faults", example: "kanoride", description: "The log service is down from 4 s to 16 s; entry VM entry-4 is killed after 8 s and replaced 5 s later.",
		during: logOutageAndKill("entry-4"),
	},
}

func killAndReplace(ctx context.Context, d *deployment, id string) []string {
	d.kill(id)
	sleep(ctx, 5*time.Second)
	start := time.Now()
	d.startEntry(id)
	d.waitReady(id)
	return []string{fmt.Sprintf("the replacement of %s was ready after %d ms", id, time.Since(start).Milliseconds())}
}

func crashEngines(ctx context.Context, d *deployment, count int, every time.Duration) []string {
	for i := range count {
		d.setFault(d.engines[i*3%len(d.engines)].ID, `{"crash":true}`)
		sleep(ctx, every)
	}
	return nil
}

func replaceAll(ctx context.Context, d *deployment) []string {
	sleep(ctx, warmUp)
	var notes []string
	longest := time.Duration(0)
	for _, id := range d.entryIDs() {
		start := time.Now()
		if err := d.leave(id); err != nil {
			notes = append(notes, fmt.Sprintf("FAULT %s was asked to leave: %v", id, err))
		}
		longest = max(longest, time.Since(start))
		d.startEntry(id)
		d.waitReady(id)
		sleep(ctx, 2*time.Second)
	}
	return append(notes, fmt.Sprintf("the longest leave took %d ms", longest.Milliseconds()))
}

func cutAndRestoreDomain(ctx context.Context, d *deployment) []string {
	for _, step := range []struct {
		wait        time.Duration
		cut, oneWay bool
	}{{warmUp + 4*time.Second, true, false}, {8 * time.Second, false, false}, {4 * time.Second, true, true}, {6 * time.Second, false, false}} {
		sleep(ctx, step.wait)
		d.network.cutDomain("kandy", step.cut, step.oneWay)
	}
	return nil
}

func logOutageAndKill(id string) func(context.Context, *deployment) []string {
	return func(ctx context.Context, d *deployment) []string {
		sleep(ctx, warmUp+4*time.Second)
		d.setFault("log", `{"down":true}`)
		sleep(ctx, 4*time.Second)
		d.kill(id)
		sleep(ctx, 5*time.Second)
		start := time.Now()
		d.startEntry(id)
		sleep(ctx, 3*time.Second)
		d.setFault("log", `{}`)
		d.waitReady(id)
		return []string{fmt.Sprintf("the replacement of %s, started 3 s before the log was back, was ready after %d ms", id, time.Since(start).Milliseconds())}
	}
}

// sendPoison repeats a request that crashes engines, as its caller would.
func sendPoison(ctx context.Context, d *deployment) []string {
	sleep(ctx, warmUp+2*time.Second)
	adapter := string(adapterName(d, 0))
	counts := map[string]int{}
	for i := range 12 {
		start := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entries[i%len(d.entries)].ServeAddress+"/v1/completions",
			jsonBody(map[string]any{"model": adapter, "prompt": "poison " + engine.PoisonMarker, "max_tokens": 8}))
		must.NoError(d.t, err)
		req.Header.Set("Authorization", "Bearer "+d.token)
		counts[answerCode(req)]++
		sleep(ctx, time.Second-time.Since(start))
	}
	return []string{fmt.Sprintf("answers to the poison request: %v", counts)}
}

func answerCode(req *http.Request) string {
	resp, err := httpClient.Do(req)
	if err != nil {
		return "broken"
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return fmt.Sprintf("%d %s ran=%s", resp.StatusCode, answer.Error.Code, answer.Error.Ran)
}

// editAttempt is an edit and its outcome.
type editAttempt struct {
	cell    event.Cell
	outcome event.EditOutcome
}

// attemptEdit changes the weight of adapter i through an entry VM chosen in rotation.
func attemptEdit(d *deployment, i int) editAttempt {
	id := d.entries[i%len(d.entries)].ID
	cell := event.Cell{
		Adapter: adapterName(d, i), Column: "weight", Value: fmt.Sprint(10 + i), ReadAt: units.Offset(max(0, d.revision(id))),
	}
	return editAttempt{cell, d.edit(id, []event.Cell{cell})}
}

// measureEdits measures how long edits take to become active on all entry VMs.
func measureEdits(ctx context.Context, d *deployment) []string {
	sleep(ctx, warmUp)
	var times []time.Duration
	var notes []string
	for i := range 20 {
		start := time.Now()
		attempt := attemptEdit(d, i)
		if attempt.outcome.Kind != event.EditAccepted {
			notes = append(notes, fmt.Sprintf("edit %d: %s %s", i, attempt.outcome.Kind, attempt.outcome.Message))
			continue
		}
		d.waitRevision(int64(attempt.outcome.Offset) + 1)
		times = append(times, time.Since(start))
		sleep(ctx, time.Second-time.Since(start))
	}
	slices.Sort(times)
	if len(times) == 0 {
		return append(notes, "FAULT no edit was accepted")
	}
	return append(notes, fmt.Sprintf("edits in force on all entry VMs: %d, p50 %d ms, longest %d ms", len(times),
		times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds()))
}

func editDuringLogOutage(ctx context.Context, d *deployment) []string {
	sleep(ctx, warmUp)
	d.edits = nil
	counts := map[event.EditKind]int{}
	for second := range 26 {
		switch second {
		case 6:
			d.setFault("log", `{"down":true}`)
		case 18:
			d.setFault("log", `{}`)
		}
		start := time.Now()
		attempt := attemptEdit(d, second)
		d.edits = append(d.edits, attempt)
		counts[attempt.outcome.Kind]++
		sleep(ctx, time.Second-time.Since(start))
	}
	return []string{fmt.Sprintf("edits by outcome: %v", counts)}
}

func adapterName(d *deployment, i int) units.AdapterName {
	adapters, err := load.ReadAdapters(filepath.Join(d.dir, "adapters.csv"))
	must.NoError(d.t, err)
	return adapters[i].Adapter
}

// checkEdits checks that all accepted edits, and no rejected ones, are active on all entry
// VMs.
func checkEdits(d *deployment) []string {
	last := units.Offset(0)
	for _, attempt := range d.edits {
		if attempt.outcome.Kind == event.EditAccepted {
			last = max(last, attempt.outcome.Offset)
		}
	}
	took := d.waitRevision(int64(last) + 1)
	notes := []string{fmt.Sprintf("all entry VMs had the last accepted edit %d ms after the load", took.Milliseconds())}
	for _, id := range d.entryIDs() {
		weights := d.column(id, "weight")
		for _, attempt := range d.edits {
			active := weights[string(attempt.cell.Adapter)] == attempt.cell.Value
			if active != (attempt.outcome.Kind == event.EditAccepted) && attempt.outcome.Kind != event.EditUnknown {
				notes = append(notes, fmt.Sprintf("FAULT edit of %s was answered %s and in force is %t on %s", attempt.cell.Adapter, attempt.outcome.Kind, active, id))
			}
		}
	}
	return notes
}

// column returns the values of a column of an entry VM's table by adapter.
func (d *deployment) column(id, column string) map[string]string {
	_, body := d.get(d.admins[id], "/admin/table")
	var table struct {
		Columns []string   `json:"columns"`
		Rows    [][]string `json:"rows"`
	}
	must.NoError(d.t, json.Unmarshal(body, &table))
	at := slices.Index(table.Columns, column) + 1
	values := map[string]string{}
	for _, row := range table.Rows {
		values[row[0]] = row[at]
	}
	return values
}
